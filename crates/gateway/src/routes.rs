//! The routes that an entry holds.

use crate::call::CallerRequest;
use http::header;
use std::sync::Arc;
use types::{RouteSpec, RouteTable, RoutingDocument};

/// Routes with the document that they were indexed from.
pub(crate) struct InstalledRoutes {
    pub(crate) document: Arc<RoutingDocument>,
    pub(crate) table: RouteTable,
}

impl InstalledRoutes {
    /// Returns the route of a request, if there is one for its host and path.
    pub(crate) fn find(&self, request: &CallerRequest) -> Option<&Arc<RouteSpec>> {
        let host = request_host(request)?;
        self.table.find(&host, request.target.path())
    }
}

/// Returns the host of a request without its port, in lower case.
fn request_host(request: &CallerRequest) -> Option<String> {
    let named = request.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = request.target.authority().map(|authority| authority.as_str()).or(named)?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    (!host.is_empty()).then(|| host.to_ascii_lowercase())
}
