//! Forms the set of replicas from seeds, joins it, and replaces members that are lost.

use crate::membership::{MemberHealth, plan_member_change};
use consensus::{Member, MemberRole, MembershipChange, ReplicaId};
use follow::{LeaderClient, SubmitResult};
use replica::{ReplicaHandle, ReplicaStatus};
use runtime::{Logger, TimerService};
use slog::{info, warn};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::HostName;

/// Period of the checks.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Time allowed for one change of the set.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between reports that this replica has no set to take part in.
const WAITING_REPORT_PERIOD: Duration = Duration::from_secs(5);

/// What a keeper is started with.
pub struct GroupSettings {
    /// Host name of this process.
    pub host: HostName,
    /// Where other replicas reach this one.
    pub address: SocketAddr,
    /// Addresses of the replicas that form a new set.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    pub is_first_start: bool,
    /// The fewest voters that must remain when a lost one is removed.
    pub min_voters: usize,
}

/// Keeps this replica a member, and the set complete while this replica leads.
pub struct GroupKeeper {
    settings: GroupSettings,
    replica: ReplicaHandle,
    leader: Arc<LeaderClient>,
    logger: Logger,
    /// When each member was last active; kept while this replica leads.
    active: BTreeMap<ReplicaId, Instant>,
    reported: Option<Instant>,
}

/// Returns the identity of the replica at an address when the system starts for the first time, so
/// that all seeds form the same set without talking to each other (FNV-1a).
pub fn seed_identity(address: SocketAddr) -> ReplicaId {
    let hash = address.to_string().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    ReplicaId(hash)
}

impl GroupKeeper {
    /// Returns a keeper of the set that this replica belongs to.
    pub fn new(
        settings: GroupSettings,
        replica: ReplicaHandle,
        leader: Arc<LeaderClient>,
        logger: Logger,
    ) -> Self {
        Self { settings, replica, leader, logger, active: BTreeMap::new(), reported: None }
    }

    /// Checks periodically until the timer service or the replica ends.
    pub async fn run(mut self, timer: TimerService) {
        let mut ticks = timer.subscribe(CHECK_PERIOD);
        loop {
            let Ok(status) = self.replica.status().await else {
                return;
            };
            self.check(&status).await;
            if ticks.tick().await.is_none() {
                return;
            }
        }
    }

    async fn check(&mut self, status: &ReplicaStatus) {
        let own = status.members.iter().find(|member| member.member.id == status.id);
        match own.map(|own| own.member.role) {
            Some(MemberRole::Voter) => {}
            Some(MemberRole::Learner) => self.change(MembershipChange::Promote(status.id)).await,
            None if status.is_initialised => self.join(status.id).await,
            None => self.form_or_join(status.id).await,
        }
        if status.is_leader {
            self.replace_lost(status).await;
        } else {
            self.active.clear();
        }
    }

    async fn form_or_join(&mut self, id: ReplicaId) {
        let is_seed = self.settings.seeds.contains(&self.settings.address);
        if !(self.settings.is_first_start && is_seed) {
            self.join(id).await;
            return;
        }
        let members = self.settings.seeds.iter().map(|address| Member {
            id: seed_identity(*address),
            host: seed_host(*address),
            address: *address,
            role: MemberRole::Voter,
        });
        match self.replica.bootstrap(members.collect()).await {
            Ok(()) => info!(self.logger, "set of replicas formed";
                "seeds" => format!("{:?}", self.settings.seeds)),
            Err(reason) => warn!(self.logger, "set of replicas not formed"; "reason" => reason),
        }
    }

    async fn join(&mut self, id: ReplicaId) {
        if self.reported.is_none_or(|reported| reported.elapsed() > WAITING_REPORT_PERIOD) {
            self.reported = Some(Instant::now());
            info!(self.logger, "asking to join the set of replicas"; "id" => %id);
        }
        let (host, address) = (self.settings.host.clone(), self.settings.address);
        let member = Member { id, host, address, role: MemberRole::Learner };
        self.change(MembershipChange::AddLearner(member)).await;
    }

    async fn replace_lost(&mut self, status: &ReplicaStatus) {
        let now = Instant::now();
        self.active.retain(|id, _| status.members.iter().any(|m| m.member.id == *id));
        let mut members = Vec::with_capacity(status.members.len());
        for member in &status.members {
            let is_self = member.member.id == status.id;
            let seen = self.active.entry(member.member.id).or_insert(now);
            if is_self || member.is_active == Some(true) {
                *seen = now;
            }
            let silence = now.saturating_duration_since(*seen);
            members.push(MemberHealth { status: member.clone(), silence });
        }
        if let Some(change) = plan_member_change(&members, self.settings.min_voters) {
            info!(self.logger, "replacing a lost member"; "change" => format!("{change:?}"),
                "members" => members.len());
            self.change(change).await;
        }
    }

    async fn change(&self, change: MembershipChange) {
        let text = format!("{change:?}");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        match self.leader.change_membership(change, deadline).await {
            SubmitResult::Applied(_) => {
                info!(self.logger, "set of replicas changes"; "change" => text);
            }
            // Refused while another change is in progress; asked again at the next check.
            SubmitResult::Refused(_) | SubmitResult::Unknown => {}
        }
    }
}

/// Returns the host name that stands for a seed, of which only the address is known.
fn seed_host(address: SocketAddr) -> HostName {
    let text = address.ip().to_string().replace(':', "-");
    text.parse().unwrap_or_else(|_| unreachable!("an IP number is a valid host name"))
}
