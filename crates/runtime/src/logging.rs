//! Structured logging: JSON lines on standard output, or human-readable lines on standard error.

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text on standard error.
    #[default]
    Terminal,
    /// One JSON object per line on standard output.
    Json,
}

/// Maximum number of queued log lines in JSON format.
const MAX_QUEUED_JSON_LINES: usize = 2_048;

/// Returns the root logger of a process, from which its components derive their loggers.
pub fn root_logger(format: LogFormat, process: &str) -> Logger {
    let drain = match format {
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).build().fuse()
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stdout()).fuse();
            // If the queue is full, lines are dropped and counted, so that logging never blocks.
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_JSON_LINES).build().fuse()
        }
    };
    Logger::root(drain, o!("process" => process.to_owned()))
}
