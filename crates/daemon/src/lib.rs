//! The daemon: wires the roles of one process together.

mod backend;
mod handler;
mod metrics_page;
mod process;
mod settings_page;
mod site;

pub use process::{DaemonProcess, ProcessError};
pub use settings_page::SETTINGS_PAGE;
pub use site::{SiteProcess, SiteRole};
