//! Errors of commands and their exit codes.

use operator::ClientError;
use thiserror::Error;
use types::ChangeAnswer;

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// Wrong usage, or an invalid document or file.
    #[error("{0}")]
    Usage(String),
    /// The change was refused.
    #[error("refused: {}", refusal_text(.0))]
    Refused(ChangeAnswer),
    /// The system refused the request.
    #[error("refused: {0}")]
    RefusedRequest(String),
    /// The system was not reachable, or the outcome is unknown.
    #[error("{0}")]
    Unreachable(String),
}

impl CtlError {
    /// Returns the exit code: 2 usage or invalid document, 3 conflict or refusal, 4 not reachable or
    /// outcome unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Refused(_) | Self::RefusedRequest(_) => 3,
            Self::Unreachable(_) => 4,
        }
    }
}

impl From<ClientError> for CtlError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Refused(reason) => Self::RefusedRequest(reason),
            ClientError::Key(error) => Self::Usage(error.to_string()),
            ClientError::NotReached { .. } | ClientError::Unknown { .. } => {
                Self::Unreachable(error.to_string())
            }
        }
    }
}

fn refusal_text(answer: &ChangeAnswer) -> String {
    match answer {
        ChangeAnswer::Accepted { .. } => "accepted".to_owned(),
        ChangeAnswer::Refused { reason, current, .. } => {
            format!("{reason} (version {current} is in force)")
        }
    }
}
