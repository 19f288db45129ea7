//! Gives the task that keeps the view fresh access to this entry's view.

use crate::{EntryContext, catalog::ServerCatalog};
use follow::ViewStore;
use std::{sync::Arc, time::Instant};
use types::{ClusterView, EntryInfo};

/// Installs new views in the entry's context and its server catalog.
pub(crate) struct EntryViewStore {
    context: Arc<EntryContext>,
    catalog: Arc<ServerCatalog>,
}

impl EntryViewStore {
    pub(crate) fn new(context: Arc<EntryContext>, catalog: Arc<ServerCatalog>) -> Self {
        Self { context, catalog }
    }
}

impl ViewStore for EntryViewStore {
    fn info(&self) -> EntryInfo {
        self.context.info.read().clone()
    }

    fn view(&self) -> Arc<ClusterView> {
        self.context.view()
    }

    fn install(&self, view: Arc<ClusterView>) {
        self.context.set_view(view.clone());
        // The pools must apply drains before `confirm` lets new work start under this view.
        self.catalog.view_changed(&view);
    }

    fn confirm(&self, sent: Instant) {
        self.context.gate.confirm(sent);
    }

    fn is_open(&self) -> bool {
        self.context.is_open()
    }
}
