//! The peer "caller": the directory, the intake of requests over HTTP/1.1, and the graceful close.

mod directory;
mod intake;
mod listener;

pub use directory::{DirectoryAnswer, DirectoryEntry};
pub use intake::{CallHandler, IntakeSettings};
pub use listener::{CallerListener, IntakeError};
