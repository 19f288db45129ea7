//! Whether a request was executed, as far as the system knows.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Execution outcome of a request, stated in every answer that the system itself generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// No server has executed the request, and none will.
    NotRun,
    /// A server executed the request.
    Ran,
    /// A server may have executed the request.
    Unknown,
}

impl CallOutcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
