//! Structured logs: JSON lines on standard output, or lines for people on standard error.

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};

/// The form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Lines that may wait to be written in JSON form.
const JSON_QUEUE_LIMIT: usize = 2_048;

/// Returns the logger that all parts of the process derive theirs from.
pub fn root_logger(format: LogFormat, process: &str) -> Logger {
    let drain = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).build().fuse()
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            // Lines that do not fit are dropped and counted, so that logging never blocks.
            slog_async::Async::new(drain).chan_size(JSON_QUEUE_LIMIT).build().fuse()
        }
    };
    Logger::root(drain, o!("process" => process.to_owned()))
}
