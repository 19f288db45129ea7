//! What became of a request, as far as the system can tell.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The fate of a request, stated on every answer that the system makes itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// No server executed the request and none will.
    NotRun,
    /// A server executed the request.
    Ran,
    /// A server may have executed the request.
    Unknown,
}

impl CallOutcome {
    /// Returns the value used in the outcome header.
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
