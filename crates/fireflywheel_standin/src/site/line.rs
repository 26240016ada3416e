//! The lines that a worker writes to standard output. A test evaluates them after the run.

use std::fmt;
use std::io;
use std::str::FromStr;

use smol_str::SmolStr;

/// An event of a worker as a line of text. The lines remain available after the worker has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Line {
    /// A request started to run; contains its attempt id.
    Run(SmolStr),
    /// An order was accepted; contains the lease holder that sent it and the fencing token.
    Order(SmolStr, u64),
    /// A load from the weight store began.
    Fetch,
    /// A load was ordered for which the worker lacks the memory.
    Overcommitted,
}

impl Line {
    /// Writes the line in a single call. While a process ends, standard output has no buffer, and what is written in parts may
    /// arrive in part.
    ///
    /// # Errors
    /// If the writer fails.
    pub fn write_to<W>(&self, writer: &mut W) -> io::Result<()>
    where
        W: io::Write,
    {
        writer.write_all(format!("{self}\n").as_bytes())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Run(id) => write!(f, "run {id}"),
            Self::Order(holder, fencing_token) => write!(f, "order {holder} {fencing_token}"),
            Self::Fetch => f.write_str("fetch"),
            Self::Overcommitted => f.write_str("overcommitted"),
        }
    }
}

impl FromStr for Line {
    type Err = UnknownLine;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["run", id] => Ok(Self::Run(id.into())),
            ["order", holder, fencing_token] => {
                let fencing_token = fencing_token.parse().map_err(|_| UnknownLine)?;
                Ok(Self::Order(holder.into(), fencing_token))
            }
            ["fetch"] => Ok(Self::Fetch),
            ["overcommitted"] => Ok(Self::Overcommitted),
            _ => Err(UnknownLine),
        }
    }
}

/// The text is not a line that a worker writes.
#[derive(Clone, Copy, Debug)]
pub struct UnknownLine;

impl fmt::Display for UnknownLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a line of a worker")
    }
}

impl std::error::Error for UnknownLine {}
