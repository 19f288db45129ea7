//! Communication with callers over HTTP/1.1: the entry directory, requests to services, and
//! graceful shutdown.

mod directory;
mod intake;
mod listener;

pub use directory::{DirectoryAnswer, DirectoryEntry};
pub use intake::{CallHandler, ListenerSettings};
pub use listener::{CallerListener, ListenError};
