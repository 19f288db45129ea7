//! Configuration changes and the decisions on them.

use crate::{DomainName, TeamDocument, TeamName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use uuid::Uuid;

/// Version of a document or drain; 0 before the first change, incremented by each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct DocumentVersion(pub u64);

impl DocumentVersion {
    /// Returns the next version.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a change; every resend carries the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(pub Uuid);

/// SHA-256 of a change without its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeDigest(pub [u8; 32]);

/// The action that a change performs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ChangeAction {
    /// Replaces the team's document.
    Document(TeamDocument),
    /// Takes a failure domain out of service.
    Drain(DomainName),
    /// Brings a failure domain back into service.
    Undrain(DomainName),
}

/// A change as an operator proposes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id of the change, the same in every resend.
    pub id: ChangeId,
    /// The version that the change replaces.
    pub expected_version: DocumentVersion,
    /// The requested action.
    pub action: ChangeAction,
}

impl ChangeRequest {
    /// Returns the digest that distinguishes two changes with the same id.
    pub fn digest(&self) -> ChangeDigest {
        let text = serde_json::to_vec(&(&self.expected_version, &self.action)).unwrap_or_default();
        ChangeDigest(Sha256::digest(text).into())
    }
}

/// The decision on a change. A resend gets the answer of the first submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The change is in the replicated state until another change replaces it.
    Accepted {
        /// The new version.
        version: DocumentVersion,
    },
    /// The change was refused and changed nothing.
    Refused {
        /// Category of the refusal.
        kind: RefusalKind,
        /// The version in force.
        current: DocumentVersion,
        /// Explanation for the operator.
        reason: String,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// The expected version is not the current one, because another change was accepted first.
    Conflict,
    /// A service of the document belongs to another team.
    ServiceHeld {
        /// The team that holds the service.
        team: TeamName,
    },
    /// The id was already used for another change.
    IdReused,
    /// The document is not valid.
    Invalid,
}
