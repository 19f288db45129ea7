//! The view of this entry, as the keeper of its freshness sees it.

use crate::{EntryContext, catalog::ServerCatalog};
use follow::ViewHolder;
use std::{sync::Arc, time::Instant};
use types::{ClusterView, EntryInfo};

/// Passes views on to all parts that act on them.
pub(crate) struct EntryViewHolder {
    context: Arc<EntryContext>,
    catalog: Arc<ServerCatalog>,
}

impl EntryViewHolder {
    pub(crate) fn new(context: Arc<EntryContext>, catalog: Arc<ServerCatalog>) -> Self {
        Self { context, catalog }
    }
}

impl ViewHolder for EntryViewHolder {
    fn info(&self) -> EntryInfo {
        self.context.info.read().clone()
    }

    fn view(&self) -> Arc<ClusterView> {
        self.context.view()
    }

    fn install(&self, view: Arc<ClusterView>) {
        self.context.set_view(view.clone());
        // Pools must know of drains before the gate is confirmed for this view.
        self.catalog.view_changed(&view);
    }

    fn confirm(&self, sent: Instant) {
        self.context.gate.confirm(sent);
    }

    fn is_open(&self) -> bool {
        self.context.is_open()
    }
}
