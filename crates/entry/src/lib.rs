//! The entry: accepts requests of callers and forwards each to a backend server.
//!
//! The decisions are made in `policy`; this crate connects them to links, connections and timers.

mod active_call;
mod attempts;
mod catalog;
mod claims;
mod context;
mod dispatch;
mod node;
mod once;
mod owned_ranges;
mod prepared_call;
mod prober;
mod relay;
mod service_pool;
mod view_store;

pub use claims::{ClaimError, ClaimLedger, ReplicatedLedger};
pub use context::{EntryContext, EntryCounters};
pub use dispatch::CallDispatcher;
pub use node::{EntryError, EntryNode, EntrySettings};
