//! Bootstraps the set of replicas from seeds, joins it, and removes lost members.

use crate::membership::{MemberHealth, plan_member_removal};
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

/// Period of the checks of the set of replicas.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Timeout of one membership change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between log lines about a pending join.
const JOIN_LOG_PERIOD: Duration = Duration::from_secs(5);

/// Settings of a [`MembershipManager`].
pub struct MembershipSettings {
    /// Host name of this process.
    pub host: HostName,
    /// Address at which other replicas reach this one.
    pub address: SocketAddr,
    /// Addresses of the replicas that bootstrap a new set of replicas.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time. Only then do the seeds bootstrap the set
    /// of replicas; all other replicas join it.
    pub is_first_start: bool,
    /// Minimum number of active voters that must remain when a lost one is removed.
    pub min_voters: usize,
}

/// Keeps this replica a member of the set of replicas, and removes lost members while it leads.
pub struct MembershipManager {
    settings: MembershipSettings,
    replica: ReplicaHandle,
    leader: Arc<LeaderClient>,
    logger: Logger,
    /// When each member was last active; maintained only while this replica leads.
    last_active: BTreeMap<ReplicaId, Instant>,
    /// When the pending join was last logged.
    join_logged_at: Option<Instant>,
}

/// Returns the identity of a seed when the system starts for the first time: the FNV-1a hash of its
/// address. All seeds thus bootstrap the same set of replicas without communication.
pub fn seed_identity(address: SocketAddr) -> ReplicaId {
    let hash = address.to_string().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    ReplicaId(hash)
}

impl MembershipManager {
    /// Returns a manager that makes and keeps `replica` a member of the set of replicas.
    pub fn new(
        settings: MembershipSettings,
        replica: ReplicaHandle,
        leader: Arc<LeaderClient>,
        logger: Logger,
    ) -> Self {
        Self {
            settings,
            replica,
            leader,
            logger,
            last_active: BTreeMap::new(),
            join_logged_at: None,
        }
    }

    /// Checks the set of replicas periodically until the timer service or the replica stops.
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

    /// Makes the change that is due: promotion, join or bootstrap of this replica, and removal of a
    /// lost member if it leads.
    async fn check(&mut self, status: &ReplicaStatus) {
        let own = status.members.iter().find(|member| member.member.id == status.id);
        match own.map(|own| own.member.role) {
            Some(MemberRole::Voter) => {}
            Some(MemberRole::Learner) => {
                self.change_membership(MembershipChange::Promote(status.id)).await
            }
            None if status.is_initialised => self.join(status.id).await,
            None => self.bootstrap_or_join(status.id).await,
        }
        if status.is_leader {
            self.remove_lost_member(status).await;
        } else {
            self.last_active.clear();
        }
    }

    async fn bootstrap_or_join(&mut self, id: ReplicaId) {
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
        if self.join_logged_at.is_none_or(|logged_at| logged_at.elapsed() > JOIN_LOG_PERIOD) {
            self.join_logged_at = Some(Instant::now());
            info!(self.logger, "asking to join the set of replicas"; "id" => %id);
        }
        let (host, address) = (self.settings.host.clone(), self.settings.address);
        let member = Member { id, host, address, role: MemberRole::Learner };
        self.change_membership(MembershipChange::AddLearner(member)).await;
    }

    /// Removes one lost member if that is safe. The replica that replaces it joins by itself.
    async fn remove_lost_member(&mut self, status: &ReplicaStatus) {
        let now = Instant::now();
        self.last_active.retain(|id, _| status.members.iter().any(|m| m.member.id == *id));
        let mut members = Vec::with_capacity(status.members.len());
        for member in &status.members {
            let is_self = member.member.id == status.id;
            let last_active = self.last_active.entry(member.member.id).or_insert(now);
            if is_self || member.is_active == Some(true) {
                *last_active = now;
            }
            let inactive_for = now.saturating_duration_since(*last_active);
            members.push(MemberHealth { status: member.clone(), inactive_for });
        }
        if let Some(change) = plan_member_removal(&members, self.settings.min_voters) {
            info!(self.logger, "replacing a lost member"; "change" => format!("{change:?}"),
                "members" => members.len());
            self.change_membership(change).await;
        }
    }

    async fn change_membership(&self, change: MembershipChange) {
        let text = format!("{change:?}");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        match self.leader.change_membership(change, deadline).await {
            // The leader has accepted the change, which need not be committed yet.
            SubmitResult::Applied(_) => {
                info!(self.logger, "set of replicas changes"; "change" => text);
            }
            // Refused while another change is in progress; retried at the next check.
            SubmitResult::Refused(_) | SubmitResult::Unknown => {}
        }
    }
}

/// Returns a placeholder host name for a seed, of which only the address is known.
fn seed_host(address: SocketAddr) -> HostName {
    let text = address.ip().to_string().replace(':', "-");
    text.parse()
        .unwrap_or_else(|_| unreachable!("the IP address of a seed is always a valid host name"))
}
