//! Structured logs: lines of text or JSON, written to standard error or a file.

use std::io::{self, Write};

use anyhow::Context as _;
use fireflywheel::settings;
use flexi_logger::{DeferredNow, FileSpec, FormatFunction, LogSpecification, Logger, LoggerHandle};
use log::kv;
use serde_json::{Map, Value};

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts logging for the whole process. Logging ends when the handle is dropped.
///
/// # Errors
///
/// Returns an error when the file can't be written or logging was started before.
pub fn start(settings: &settings::Log) -> anyhow::Result<LoggerHandle> {
    // Other crates log at most warnings.
    let specification = LogSpecification::builder()
        .default(settings.level.min(log::LevelFilter::Warn))
        .module("fireflywheel", settings.level)
        .build();
    let format: FormatFunction = match settings.format {
        settings::Format::Text => text,
        settings::Format::Json => json,
    };
    let logger = Logger::with(specification).format(format);
    let logger = match &settings.file {
        Some(file) => logger.log_to_file(FileSpec::try_from(file)?).append(),
        None => logger.log_to_stderr(),
    };
    logger.start().context("logging can't be started")
}

fn text(writer: &mut dyn Write, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
    write!(
        writer,
        "{} {:5} {}",
        now.format(TIME_FORMAT),
        record.level(),
        record.args()
    )?;
    for (key, value) in &fields(record) {
        write!(writer, " {key}={value}")?;
    }
    Ok(())
}

pub(crate) fn json(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let mut line = fields(record);
    line.insert(
        "time".to_owned(),
        now.format(TIME_FORMAT).to_string().into(),
    );
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    serde_json::to_writer(writer, &line).map_err(io::Error::from)
}

fn fields(record: &log::Record<'_>) -> Map<String, Value> {
    let mut fields = Fields::default();
    // The visit can't fail, since the visitor never returns an error.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

#[derive(Default)]
struct Fields(Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
