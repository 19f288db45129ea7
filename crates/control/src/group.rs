//! Bootstraps the set of replicas from seeds, joins it, and removes lost members.

use crate::{
    membership::{MemberHealth, VoterLimits, plan_membership_change},
    order_router::OrderRouter,
};
use consensus::{Member, MemberRole, MembershipChange, ReplicaId};
use follow::{LeaderClient, SubmitResult};
use peer::PeerLink;
use replica::{MemberList, MemberStatus, ReplicaHandle};
use runtime::{Logger, ReplicaAddress, TimerService};
use slog::{info, warn};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{DomainName, HostName};

/// Period of the checks of the set of replicas.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Timeout of one membership change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between log lines about a pending join.
const JOIN_LOG_PERIOD: Duration = Duration::from_secs(5);
/// Time without a leader after which a member asks to join again: it may have been removed while it
/// was away, and then no longer receives the log that says so.
const REJOIN_PERIOD: Duration = Duration::from_secs(4);

/// Settings of a [`MembershipManager`].
pub struct MembershipSettings {
    /// Host name of this process.
    pub host: HostName,
    /// Address at which other replicas reach this one.
    pub address: SocketAddr,
    /// Addresses of the replicas that bootstrap a new set of replicas.
    pub seeds: Vec<SocketAddr>,
    /// Failure domain of this process.
    pub domain: DomainName,
    /// Whether the whole system starts for the first time. Only then do the seeds bootstrap the set
    /// of replicas; all other replicas join it.
    pub is_first_start: bool,
    /// Limits on the number of voters.
    pub limits: VoterLimits,
}

/// Keeps this replica a member of the set of replicas. While it leads, replaces lost members and
/// chooses the voters.
pub struct MembershipManager {
    settings: MembershipSettings,
    replica: ReplicaHandle,
    leader: Arc<LeaderClient>,
    router: OrderRouter,
    logger: Logger,
    /// When each member was last active; maintained only while this replica leads.
    last_active: BTreeMap<ReplicaId, Instant>,
    /// When the pending join was last logged.
    join_logged_at: Option<Instant>,
    /// When a leader was last known, or when this replica last asked to join again.
    leader_known_at: Instant,
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
        link: Arc<dyn PeerLink>,
        logger: Logger,
    ) -> Self {
        let router = OrderRouter::new(replica.clone(), link);
        Self {
            settings,
            replica,
            leader,
            router,
            logger,
            last_active: BTreeMap::new(),
            join_logged_at: None,
            leader_known_at: Instant::now(),
        }
    }

    /// Checks the set of replicas periodically until the timer service or the replica stops.
    pub async fn run(mut self, timer: TimerService) {
        let mut ticks = timer.subscribe(CHECK_PERIOD);
        loop {
            let Ok(list) = self.replica.members().await else {
                return;
            };
            self.check(&list).await;
            if ticks.tick().await.is_none() {
                return;
            }
        }
    }

    /// Makes the change that is due: join or bootstrap of this replica, an update of its record, or,
    /// if it leads, the next change of the set.
    async fn check(&mut self, list: &MemberList) {
        let now = Instant::now();
        if list.has_leader {
            self.leader_known_at = now;
        }
        match list.members.iter().find(|member| member.member.id == list.id) {
            Some(own) if !list.has_leader => {
                self.leader.set_replicas(&other_addresses(list));
                if now.saturating_duration_since(self.leader_known_at) > REJOIN_PERIOD {
                    self.leader_known_at = now;
                    self.join(own.member.id).await;
                }
            }
            Some(own) => self.update_record(&own.member).await,
            None if list.is_initialised => self.join(list.id).await,
            None => self.bootstrap_or_join(list.id).await,
        }
        if list.is_leader {
            self.change_members(list).await;
        } else {
            self.last_active.clear();
        }
    }

    /// Completes the record of a member that was formed from a seed address.
    async fn update_record(&self, own: &Member) {
        let (host, address) = (self.settings.host.clone(), self.settings.address);
        let domain = Some(self.settings.domain.clone());
        let current = Member { host, address, domain, ..own.clone() };
        if current != *own {
            self.route_change(MembershipChange::Update(current)).await;
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
            domain: None,
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
        let domain = Some(self.settings.domain.clone());
        let member = Member { id, host, address, domain, role: MemberRole::Learner };
        let change = MembershipChange::AddLearner(member);
        let text = format!("{change:?}");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let result = self.leader.change_membership(change, deadline).await;
        self.log_change(&text, &result);
    }

    /// Makes the next change of the set of replicas, if one is due.
    async fn change_members(&mut self, list: &MemberList) {
        let now = Instant::now();
        self.last_active.retain(|id, _| list.members.iter().any(|m| m.member.id == *id));
        let mut members = Vec::with_capacity(list.members.len());
        for member in &list.members {
            let is_self = member.member.id == list.id;
            let last_active = self.last_active.entry(member.member.id).or_insert(now);
            if is_self || member.is_active == Some(true) {
                *last_active = now;
            }
            let inactive_for = now.saturating_duration_since(*last_active);
            members.push(MemberHealth { status: member.clone(), inactive_for });
        }
        if let Some(change) = plan_membership_change(&members, list.id, self.settings.limits) {
            self.route_change(change).await;
        }
    }

    async fn route_change(&self, change: MembershipChange) {
        let text = format!("{change:?}");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let result = self.router.change_membership(&change, deadline).await;
        self.log_change(&text, &result);
    }

    fn log_change(&self, change: &str, result: &SubmitResult) {
        match result {
            // The leader has accepted the change, which need not be committed yet.
            SubmitResult::Applied(_) => {
                info!(self.logger, "set of replicas changes"; "change" => change);
            }
            // Retried at the next check, if it is still due.
            SubmitResult::Refused(_) | SubmitResult::Unknown => {}
        }
    }
}

/// Returns the addresses of all members but the replica itself.
fn other_addresses(list: &MemberList) -> Vec<ReplicaAddress> {
    let others = list.members.iter().filter(|member| member.member.id != list.id);
    let address = |status: &MemberStatus| ReplicaAddress {
        host: status.member.host.clone(),
        address: status.member.address,
    };
    others.map(address).collect()
}

/// Returns a placeholder host name for a seed, of which only the address is known.
fn seed_host(address: SocketAddr) -> HostName {
    let text = address.ip().to_string().replace(':', "-");
    text.parse()
        .unwrap_or_else(|_| unreachable!("the IP address of a seed is always a valid host name"))
}
