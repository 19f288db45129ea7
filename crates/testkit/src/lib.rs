//! Test doubles and drivers for tests and benchmarks: a fake server, an open-loop load driver, peer
//! links that simulate network partitions, and groups of real processes. Not part of a release.

mod announcer;
mod atomic_write;
mod behaviour;
mod fake_server;
mod http_client;
mod link_switch;
mod load_driver;
mod memory_net;
mod process_group;
mod selectors;
mod system;

pub use announcer::announce;
pub use atomic_write::write_atomically;
pub use behaviour::{FakeBehaviour, FakeMode, FakeStats, LoadReport};
pub use fake_server::{FakeServer, FakeServerSettings};
pub use http_client::{HttpAnswer, HttpClient, HttpRequest};
pub use link_switch::LinkSwitch;
pub use load_driver::{LoadPlan, LoadResults, latency_histogram, run_load};
pub use memory_net::MemoryNet;
pub use process_group::{GroupSettings, ProcessGroup, free_addresses};
pub use selectors::{InFlightSelector, RandomSelector};
pub use system::{
    TestSystem, execution_count, new_key, outcome, sleep_ms, test_document, wait_until,
};
