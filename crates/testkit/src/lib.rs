//! Fakes for tests and measurements: a server, a load driver, a link that can be cut, and a group
//! of real processes. Not shipped.

mod announcer;
mod behaviour;
mod fake_server;
mod http_client;
mod link_switch;
mod load_driver;
mod memory_net;
mod process_group;
mod selectors;
mod system;
mod whole_file;

pub use announcer::announce;
pub use behaviour::{FakeBehaviour, FakeMode, FakeStats, LoadReport};
pub use fake_server::{FakeServer, FakeServerSettings};
pub use http_client::{HttpAnswer, HttpClient, HttpRequest};
pub use link_switch::LinkSwitch;
pub use load_driver::{LoadPlan, LoadReportCard, latency_histogram, run_load};
pub use memory_net::MemoryNet;
pub use process_group::{GroupSettings, ProcessGroup, free_addresses};
pub use selectors::{InFlightSelector, RandomSelector};
pub use system::{System, document, new_key, outcome, pause, runs, wait_until};
pub use whole_file::write_whole;
