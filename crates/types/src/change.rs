//! Changes of the configuration, and how each was decided.

use crate::{DomainName, TeamDocument, TeamName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use uuid::Uuid;

/// The version of one document or drain; 0 before the first change, plus 1 at each.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct DocumentVersion(pub u64);

impl DocumentVersion {
    /// Returns the version that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a change over all its resends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ChangeId(pub Uuid);

/// SHA-256 of a change without its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeDigest(pub [u8; 32]);

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ChangeAction {
    /// Puts the team's document in force in place of its former one.
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
    /// The same over all resends.
    pub id: ChangeId,
    /// The version that the change replaces.
    pub expected_version: DocumentVersion,
    /// What to do.
    pub action: ChangeAction,
}

impl ChangeRequest {
    /// Returns the digest that tells two changes with the same id apart.
    pub fn digest(&self) -> ChangeDigest {
        let text = serde_json::to_vec(&(&self.expected_version, &self.action)).unwrap_or_default();
        ChangeDigest(Sha256::digest(text).into())
    }
}

/// How a change was decided. A resent change gets the first answer again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAnswer {
    /// The change is in the replicated state and stays there until another replaces it.
    Accepted {
        /// The new version.
        version: DocumentVersion,
    },
    /// The change was refused and changed nothing.
    Refused {
        /// Why.
        kind: RefusalKind,
        /// The version in force.
        current: DocumentVersion,
        /// Explanation for operators.
        reason: String,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// Another change was accepted at the expected version.
    Conflict,
    /// Another team holds a service of the document.
    ServiceHeld {
        /// The holder.
        team: TeamName,
    },
    /// The id was used before for another change.
    IdReused,
    /// The document is not valid.
    Invalid,
}
