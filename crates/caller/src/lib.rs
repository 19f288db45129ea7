//! The peer "caller": the guide, the intake of requests over HTTP/1.1, and the graceful close.

mod guide;
mod intake;
mod listener;

pub use guide::{GuideAnswer, GuideEntry};
pub use intake::{CallHandler, IntakeSettings};
pub use listener::{CallerListener, IntakeError};
