//! The entry: accepts requests of callers and sends each to a backend server, directly or through
//! another entry.
//!
//! `policy` makes the decisions; this crate connects it to links, connections and timers.

mod active_call;
mod attempts;
mod catalog;
mod claims;
mod context;
mod dispatch;
mod dispatcher_api;
mod node;
mod once;
mod owned_ranges;
mod prepared_call;
mod prober;
mod service_pool;
mod view_store;

pub use claims::{ClaimError, ClaimLedger, ReplicatedLedger};
pub use context::{EntryContext, EntryCounters};
pub use dispatch::CallDispatcher;
pub use node::{EntryError, EntryNode, EntrySettings};
