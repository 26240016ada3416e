//! The output and the exit code of a command.

use std::process;

use serde::Serialize;

/// Description of the exit codes in the output of `--help`.
pub const EXIT_HELP: &str = "\
Exit codes:
  0  done: the document is valid, the publication accepted, every daemon answered
  1  could not be done; of a publication: nothing was appended, and nothing will be
  2  the file has faults, or the command line has
  3  refused: another version was accepted first
  4  not known yet: the publication was sent, but the log could not be read in time";

/// The exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed and had no effect.
    Failed,
    /// The input has faults.
    Faulty,
    /// Another operator's publication was accepted first.
    Refused,
    /// The command may or may not have taken effect.
    Unknown,
}

/// The output and the exit code of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// The result, written to standard output.
    pub text: String,
    /// Additional information, written to standard error.
    pub notes: String,
    /// The exit code of the process.
    pub exit: Exit,
}

impl Report {
    /// Creates a report with a result in text form. Adds a line end if there is none.
    #[must_use]
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self {
            text: with_line_end(text.into()),
            notes: String::new(),
            exit,
        }
    }

    /// Creates a report with a result as one line of JSON.
    #[must_use]
    pub fn json<T>(exit: Exit, value: &T) -> Self
    where
        T: Serialize,
    {
        let text = serde_json::to_string(value).expect("the output types always serialize to JSON");
        Self::new(exit, text)
    }

    /// Creates the report of a command that failed with `error`.
    #[must_use]
    pub fn failure(error: &anyhow::Error) -> Self {
        Self::new(Exit::Failed, String::new()).with_notes(format!("{error:#}"))
    }

    /// Returns the report with these notes. Adds a line end if there is none.
    #[must_use]
    pub fn with_notes(mut self, notes: impl Into<String>) -> Self {
        self.notes = with_line_end(notes.into());
        self
    }
}

fn with_line_end(mut text: String) -> String {
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    text
}

impl Exit {
    /// Returns the numeric exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Faulty => 2,
            Self::Refused => 3,
            Self::Unknown => 4,
        }
    }
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}
