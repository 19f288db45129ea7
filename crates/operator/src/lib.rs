//! The operators' HTTPS interface with client certificates, its client, and the library with which
//! teams declare their services.

mod backend;
mod client;
mod declaration;
mod pages;
mod routes;

pub use backend::{BackendError, OperatorBackend};
pub use client::{ClientError, OperatorClient, OperatorEndpoint};
pub use declaration::{Declaration, ServiceDeclaration};
pub use pages::{EntryPage, ServerRow, StatusPage, VersionedDocument, VersionedDrain, ViewPage};
pub use routes::{ListenError, serve_operators};
