//! The daemon: starts, connects and stops the roles of one process.

mod backend;
mod handler;
mod metrics_page;
mod process;
mod settings_page;
mod site;

pub use process::{DaemonProcess, ProcessError};
pub use settings_page::SETTINGS_PAGE;
pub use site::{SiteProcess, SiteRole};
