//! The entry: takes requests of callers and brings each to a server.
//!
//! Decisions live in `policy`; this package wires them to links, connections and timers.

mod active_call;
mod attempts;
mod catalog;
mod claims;
mod context;
mod dispatch;
mod holder;
mod node;
mod once;
mod owned_shards;
mod prepared_call;
mod prober;
mod relay;
mod service_pool;

pub use claims::{ClaimError, ClaimLedger, ReplicatedLedger};
pub use context::{EntryContext, EntryCounters};
pub use dispatch::CallDispatcher;
pub use node::{EntryError, EntryNode, EntrySettings};
