//! Records which servers announce themselves to this replica and reports them to the leader.

use parking_lot::Mutex;
use peer::{PeerLink, PeerRequest, PeerTarget};
use replica::{KnownLeader, ReplicaHandle};
use runtime::TimerService;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use types::{Announcement, ServerIncarnation, ServerName};

/// Period of the reports; a fraction of the server lease that the leader renews when it gets one.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Servers that announced themselves since the last report.
#[derive(Default)]
pub(crate) struct LivenessReporter {
    servers: Mutex<BTreeMap<ServerName, ServerIncarnation>>,
}

impl LivenessReporter {
    /// Records that a server is alive, also if its announcement changes nothing.
    pub(crate) fn record(&self, announcement: &Announcement) {
        self.servers.lock().insert(announcement.server.clone(), announcement.incarnation);
    }

    /// Reports to the leader periodically until the timer service stops. Without a leader, the
    /// servers are kept for the next report.
    pub(crate) async fn run(
        self: Arc<Self>,
        replica: ReplicaHandle,
        link: Arc<dyn PeerLink>,
        timer: TimerService,
    ) {
        let mut ticks = timer.subscribe(REPORT_PERIOD);
        let leader = replica.leader();
        while ticks.tick().await.is_some() {
            let known_leader = leader.borrow().clone();
            if known_leader == KnownLeader::Unknown || self.servers.lock().is_empty() {
                continue;
            }
            let servers = std::mem::take(&mut *self.servers.lock()).into_iter().collect();
            match known_leader {
                KnownLeader::Unknown => {}
                KnownLeader::Local => replica.record_servers_seen(servers),
                KnownLeader::Remote(leader) => {
                    let target = PeerTarget { host: leader.host, address: leader.address };
                    link.send(&target, PeerRequest::ServersSeen(servers));
                }
            }
        }
    }
}
