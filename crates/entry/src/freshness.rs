//! Keeps the view of an entry fresh.
//!
//! The time at which a request was sent, not that of its answer, is what the view is fresh as of:
//! the leader answers only after a quorum round that began after the request arrived.

use crate::{EntryContext, LeaderFinder, leader::LeaderAnswer, roster::ServerRoster};
use peer::{FreshnessAnswer, FreshnessGrant, FreshnessRequest, PeerAnswer, PeerRequest};
use platform::{EventKind, EventTags};
use slog::{info, warn};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use types::ViewVersion;

/// Period of freshness requests.
const RENEW_PERIOD: Duration = Duration::from_millis(250);
/// Time allowed for one request.
const RENEW_TIMEOUT: Duration = Duration::from_millis(600);

/// Renews the freshness of the view until the process ends.
pub(crate) struct FreshnessKeeper {
    context: Arc<EntryContext>,
    leader: Arc<LeaderFinder>,
    roster: Arc<ServerRoster>,
    was_open: bool,
}

impl FreshnessKeeper {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        leader: Arc<LeaderFinder>,
        roster: Arc<ServerRoster>,
    ) -> Self {
        Self { context, leader, roster, was_open: false }
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = self.context.timer.subscribe(RENEW_PERIOD);
        loop {
            self.renew().await;
            self.note_gate();
            if ticks.tick().await.is_none() {
                return;
            }
        }
    }

    async fn renew(&mut self) {
        let sent = Instant::now();
        let version = self.context.view().version;
        let entry = Some(self.context.info.read().clone());
        let request = PeerRequest::Freshness(FreshnessRequest { entry, version });
        let answer = self.leader.ask(&request, RENEW_TIMEOUT, is_granted).await;
        match answer {
            Some(PeerAnswer::Freshness(answer)) => {
                if let FreshnessAnswer::Granted(grant) = *answer {
                    self.take_grant(grant, version, sent);
                }
            }
            _ => self.context.counters.freshness.count("not-confirmed"),
        }
    }

    fn take_grant(&self, grant: FreshnessGrant, asked: ViewVersion, sent: Instant) {
        self.leader.learn(&grant.replicas);
        let current = self.context.view();
        debug_assert_eq!(current.version, asked, "only this task changes the view");
        let mut view = (*current).clone();
        view.update(grant.update);
        if view.version != current.version {
            let detail = format!("view {}", view.version.0);
            let view = Arc::new(view);
            self.context.set_view(view.clone());
            // Lanes must know of drains before the gate is confirmed for this view.
            self.roster.view_changed(&view);
            let tags = EventTags::default();
            self.context.timeline.record(EventKind::ChangeInForce, tags, detail);
        }
        self.context.gate.confirm(sent);
        self.context.counters.freshness.count("confirmed");
    }

    fn note_gate(&mut self) {
        let is_open = self.context.is_open();
        if is_open == self.was_open {
            return;
        }
        self.was_open = is_open;
        let tags = EventTags::default();
        if is_open {
            info!(self.context.logger, "open to new work");
            self.context.timeline.record(EventKind::EntryOpened, tags, String::new());
        } else {
            warn!(self.context.logger, "closed to new work: the view cannot be confirmed");
            self.context.timeline.record(EventKind::EntryClosed, tags, String::new());
        }
    }
}

/// Says whether the answer to a freshness request comes from the leader.
pub(crate) fn is_granted(answer: &PeerAnswer) -> LeaderAnswer {
    match answer {
        PeerAnswer::Freshness(answer) => match answer.as_ref() {
            FreshnessAnswer::Granted(_) => LeaderAnswer::Here,
            FreshnessAnswer::NotLeader(hint) => LeaderAnswer::Elsewhere(*hint),
        },
        _ => LeaderAnswer::Elsewhere(None),
    }
}
