//! Collects which servers announced themselves here, and reports them to the leader.

use follow::LeaderClient;
use parking_lot::Mutex;
use peer::{PeerLink, PeerRequest};
use runtime::TimerService;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use types::{Announcement, ServerIncarnation, ServerName};

/// Period of reports; a fraction of the lease of a server.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Servers heard of since the last report.
#[derive(Default)]
pub(crate) struct SightingBatch {
    servers: Mutex<BTreeMap<ServerName, ServerIncarnation>>,
}

impl SightingBatch {
    /// Notes an announcement that changed nothing but shows that its server is alive.
    pub(crate) fn note(&self, announcement: &Announcement) {
        self.servers.lock().insert(announcement.server.clone(), announcement.incarnation);
    }

    /// Reports to the leader periodically until the timer service ends. Without a leader the batch
    /// is kept for the next period.
    pub(crate) async fn run(
        self: Arc<Self>,
        leader: Arc<LeaderClient>,
        link: Arc<dyn PeerLink>,
        timer: TimerService,
    ) {
        let mut ticks = timer.subscribe(REPORT_PERIOD);
        while ticks.tick().await.is_some() {
            let Some(target) = leader.leader() else {
                continue;
            };
            let batch = std::mem::take(&mut *self.servers.lock());
            if !batch.is_empty() {
                link.send(&target, PeerRequest::ServersSeen(batch.into_iter().collect()));
            }
        }
    }
}
