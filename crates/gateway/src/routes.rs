//! The routes that an entry has installed.

use crate::call::CallerRequest;
use http::header;
use std::sync::Arc;
use types::{RouteSpec, RouteTable, RoutingDocument};

/// A routing document and the route table built from it.
pub(crate) struct InstalledRoutes {
    pub(crate) document: Arc<RoutingDocument>,
    pub(crate) table: RouteTable,
}

impl InstalledRoutes {
    /// Returns the route that matches the host and path of a request.
    pub(crate) fn find(&self, request: &CallerRequest) -> Option<&Arc<RouteSpec>> {
        let host = request_host(request)?;
        self.table.find(&host, request.target.path())
    }
}

/// Returns the host of a request without its port, in lower case. The target's authority takes
/// precedence over `Host`.
fn request_host(request: &CallerRequest) -> Option<String> {
    let host_field = request.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = request.target.authority().map(|authority| authority.as_str()).or(host_field)?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    (!host.is_empty()).then(|| host.to_ascii_lowercase())
}
