//! What stewards tell the other entries about the servers they look after.

use crate::{Announcement, EntryIncarnation, EntryName, ServerIncarnation, ServerName};
use serde::{Deserialize, Serialize};

/// The version of a steward's book of servers; plus 1 at each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct BookVersion(pub u64);

/// How much work a server may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerStage {
    /// Only its steward gives it work.
    Cold,
    /// All entries give it work.
    Warm,
    /// No new work.
    Leaving,
}

/// A server as its steward knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// How much work it may be given.
    pub stage: ServerStage,
}

/// One start of a steward.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StewardId {
    /// The entry.
    pub entry: EntryName,
    /// Its incarnation; a book's versions count within one.
    pub incarnation: EntryIncarnation,
}

/// Sent by every steward to every entry in each beat period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StewardBeat {
    /// The steward.
    pub steward: StewardId,
    /// The version of its book.
    pub version: BookVersion,
}

/// Asks a steward for what changed in its book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookRequest {
    /// The incarnation that the asker knows; another one is answered with the whole book.
    pub incarnation: EntryIncarnation,
    /// The version that the asker has.
    pub since: BookVersion,
}

/// One difference between two versions of a book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BookChange {
    /// A server is new or has changed.
    Put(ServerRecord),
    /// A server is gone.
    Remove(ServerName),
}

/// What changed in a steward's book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookDelta {
    /// The steward.
    pub steward: StewardId,
    /// The changes build on an empty book, not on the version asked for.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<BookChange>,
    /// The version reached; lower than the book's when more is to be pulled.
    pub version: BookVersion,
}

/// Tells a steward that a server looks cold, slow or dead to another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The server.
    pub server: ServerName,
    /// The incarnation in which it was suspected.
    pub incarnation: ServerIncarnation,
    /// Why.
    pub kind: SuspectKind,
}

/// Why a server is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectKind {
    /// An answer carried another incarnation, or connections were lost: it may be cold.
    Restarted,
    /// It declared that it is leaving.
    Leaving,
    /// It refused a connection.
    Unreachable,
}
