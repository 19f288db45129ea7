//! Simulates a group of replicas with a faulty network and crashes before a disk sync, driven by
//! one seeded random number generator.

use hawthornhill_consensus::{
    Consensus, ConsensusError, CoreSettings, Effects, Envelope, HardState, InvariantChecker,
    LogEntry, LogIndex, Member, MemberRole, Membership, MembershipChange, ReadToken, ReplicaId,
    RestoredState, RetainedLog, SnapshotImage, Term,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use types::{Command, EntryIncarnation, LogTime};

/// Probability, per step, that a random replica creates a snapshot.
const SNAPSHOT_PERCENT: u32 = 3;

/// Probabilities and limits of the injected faults.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    /// Percentage of messages that are lost.
    pub loss_percent: u32,
    /// Percentage of messages that are delivered twice.
    pub duplicate_percent: u32,
    /// Maximum delay of a message in steps. Random delays also reorder messages.
    pub max_delay_steps: u64,
    /// Probability, per batch that needs a sync, that the replica crashes before the sync.
    pub crash_before_sync_permille: u32,
    /// Probability, per step, that a random link or all links of a random replica are blocked, or
    /// that all blocked links are healed.
    pub partition_permille: u32,
}

impl FaultPlan {
    /// No faults.
    pub const NO_FAULTS: Self = Self {
        loss_percent: 0,
        duplicate_percent: 0,
        max_delay_steps: 1,
        crash_before_sync_permille: 0,
        partition_permille: 0,
    };
    /// All faults at once.
    pub const ALL_FAULTS: Self = Self {
        loss_percent: 10,
        duplicate_percent: 10,
        max_delay_steps: 6,
        crash_before_sync_permille: 4,
        partition_permille: 8,
    };
}

/// The durable state of a replica, which survives a crash.
#[derive(Debug, Clone, Default)]
struct SimulatedDisk {
    hard_state: HardState,
    image: Option<SnapshotImage>,
    entries: Vec<LogEntry>,
}

struct SimulatedReplica {
    core: Option<Consensus>,
    disk: SimulatedDisk,
    applied: LogIndex,
    /// Steps until a crashed replica restarts.
    restart_in_steps: u32,
}

/// A simulated replica group.
pub struct SimulatedGroup {
    replicas: BTreeMap<ReplicaId, SimulatedReplica>,
    /// Messages in flight, each with the step at which it is delivered.
    in_flight: Vec<(u64, Envelope)>,
    /// Blocked links, each as sender and receiver.
    blocked_links: Vec<(ReplicaId, ReplicaId)>,
    pub checker: InvariantChecker,
    /// Reads that may be served, each with its leader and read index.
    pub reads: Vec<(ReplicaId, ReadToken, LogIndex)>,
    rng: SmallRng,
    pub plan: FaultPlan,
    /// Number of the current step.
    now: u64,
    next_command: u64,
    seed: u64,
}

/// Returns a member on a host of its own.
pub fn member(id: u64, role: MemberRole) -> Member {
    Member {
        id: ReplicaId(id),
        host: format!("host-{id}").parse().expect("valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: None,
        role,
    }
}

impl SimulatedGroup {
    /// Creates a group of voters with the identities 1 to `count`.
    pub fn new(count: u64, seed: u64, plan: FaultPlan) -> Self {
        let members = (1..=count).map(|id| member(id, MemberRole::Voter)).collect();
        let image = SnapshotImage {
            index: LogIndex(1),
            term: Term(1),
            time: LogTime(0),
            membership: Membership::new(members),
            state: Arc::from([]),
        };
        let mut group = Self {
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            blocked_links: Vec::new(),
            checker: InvariantChecker::default(),
            reads: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            plan,
            now: 0,
            next_command: 0,
            seed,
        };
        for id in 1..=count {
            let disk = SimulatedDisk { image: Some(image.clone()), ..SimulatedDisk::default() };
            group.add_replica(ReplicaId(id), disk);
        }
        group
    }

    fn add_replica(&mut self, id: ReplicaId, disk: SimulatedDisk) {
        let replica =
            SimulatedReplica { core: None, disk, applied: LogIndex(0), restart_in_steps: 0 };
        self.replicas.insert(id, replica);
        self.start(id);
    }

    /// Adds a replica with an empty disk.
    pub fn add_empty_replica(&mut self, id: u64) {
        self.add_replica(ReplicaId(id), SimulatedDisk::default());
    }

    /// Removes a replica and its disk permanently.
    pub fn remove(&mut self, id: ReplicaId) {
        self.replicas.remove(&id);
    }

    fn start(&mut self, id: ReplicaId) {
        let settings = CoreSettings { seed: self.seed, ..CoreSettings::default() };
        let replica = self.replicas.get_mut(&id).expect("known replica");
        let restored = RestoredState {
            hard_state: replica.disk.hard_state,
            image: replica.disk.image.clone(),
            entries: replica.disk.entries.clone(),
        };
        let core = Consensus::new(id, settings, restored);
        replica.applied = core.commit();
        self.checker.reset_applied(id, core.commit());
        replica.core = Some(core);
    }

    /// Crashes a replica, which restarts after `steps` steps.
    pub fn crash(&mut self, id: ReplicaId, steps: u32) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        replica.core = None;
        replica.restart_in_steps = steps;
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.replicas.keys().copied().collect()
    }

    pub fn core(&mut self, id: ReplicaId) -> Option<&mut Consensus> {
        self.replicas.get_mut(&id)?.core.as_mut()
    }

    /// Returns the leader of the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let term_if_leader = |(id, replica): (&ReplicaId, &SimulatedReplica)| {
            let core = replica.core.as_ref().filter(|core| core.is_leader())?;
            Some((core.term(), *id))
        };
        self.replicas.iter().filter_map(term_if_leader).max().map(|(_, id)| id)
    }

    /// Proposes a unique command at the leader, if there is one.
    pub fn propose(&mut self) -> Option<LogIndex> {
        let leader = self.leader()?;
        self.next_command += 1;
        let name = "entry".parse().expect("valid name");
        let command = Command::RemoveEntry(name, EntryIncarnation(self.next_command));
        let time = LogTime(self.now);
        self.core(leader)?.propose(time, command).ok()
    }

    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
    ) -> Option<Result<LogIndex, ConsensusError>> {
        let leader = self.leader()?;
        let time = LogTime(self.now);
        Some(self.core(leader)?.change_membership(time, change))
    }

    pub fn block_link(&mut self, from: ReplicaId, to: ReplicaId) {
        self.blocked_links.push((from, to));
    }

    /// Blocks all links from and to a replica.
    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.ids() {
            self.block_link(id, other);
            self.block_link(other, id);
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Runs one step: ticks every replica, delivers due messages and processes the effects.
    pub fn step(&mut self) {
        self.now += 1;
        self.change_random_links();
        for id in self.ids() {
            self.restart_if_due(id);
            if let Some(core) = self.core(id) {
                core.tick();
            }
            self.process_effects(id);
        }
        self.deliver();
        if self.rng.random_range(0..100) < SNAPSHOT_PERCENT {
            self.compact_random_replica();
        }
    }

    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Runs without faults for 660 steps, and checks that there is a leader and that every running
    /// member commits a command proposed 60 steps before the end.
    pub fn verify_progress(&mut self) {
        self.plan = FaultPlan::NO_FAULTS;
        self.heal();
        for _ in 0..600 {
            self.step();
        }
        let leader = self.leader().unwrap_or_else(|| panic!("no leader, seed {}", self.seed));
        let index = self.propose().expect("leader accepts the command");
        self.run(60);
        let members = self.core(leader).map(|core| core.membership().clone()).unwrap_or_default();
        for member in members.members() {
            if let Some(core) = self.core(member.id) {
                let commit = core.commit();
                assert!(
                    commit >= index,
                    "replica {} did not commit the last command, seed {}",
                    member.id,
                    self.seed
                );
            }
        }
    }

    fn restart_if_due(&mut self, id: ReplicaId) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        if replica.core.is_none() {
            if replica.restart_in_steps == 0 {
                self.start(id);
            } else {
                replica.restart_in_steps -= 1;
            }
        }
    }

    fn change_random_links(&mut self) {
        if self.rng.random_range(0..1000) >= self.plan.partition_permille {
            return;
        }
        if !self.blocked_links.is_empty() && self.rng.random_bool(0.6) {
            self.heal();
            return;
        }
        let ids = self.ids();
        let from = ids[self.rng.random_range(0..ids.len())];
        let to = ids[self.rng.random_range(0..ids.len())];
        if self.rng.random_bool(0.5) {
            self.isolate(from);
        } else {
            self.block_link(from, to);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let due: Vec<(u64, Envelope)> = due;
        for (_, envelope) in due {
            let to = envelope.to;
            if let Some(core) = self.core(to) {
                core.step(envelope);
                self.process_effects(to);
            }
        }
    }

    fn transmit(&mut self, envelope: Envelope) {
        if self.blocked_links.contains(&(envelope.from, envelope.to))
            || self.rng.random_range(0..100) < self.plan.loss_percent
        {
            return;
        }
        let copies =
            if self.rng.random_range(0..100) < self.plan.duplicate_percent { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.plan.max_delay_steps);
            self.in_flight.push((self.now + delay, envelope.clone()));
        }
    }

    fn process_effects(&mut self, id: ReplicaId) {
        loop {
            let Some(core) = self.core(id) else { return };
            core.replicate();
            core.start_read_round();
            let effects = core.take_effects();
            if effects.is_empty() {
                break;
            }
            if !self.process_batch(id, effects) {
                return;
            }
        }
        let replica = self.replicas.get(&id).expect("known replica");
        if let Some(core) = &replica.core {
            let result = self.checker.verify_replica(core);
            assert_eq!(result, Ok(()), "seed {}", self.seed);
        }
    }

    /// Processes one batch of effects. Returns false if the replica crashed before its sync.
    fn process_batch(&mut self, id: ReplicaId, effects: Effects) -> bool {
        for envelope in effects.early_messages.iter().cloned() {
            self.transmit(envelope);
        }
        let should_crash = self.rng.random_range(0..1000) < self.plan.crash_before_sync_permille;
        if effects.needs_sync() && should_crash {
            let steps = self.rng.random_range(0..40);
            self.crash(id, steps);
            return false;
        }
        self.sync(id, &effects);
        for envelope in effects.messages {
            self.transmit(envelope);
        }
        for entry in &effects.committed {
            let result = self.checker.verify_applied(id, entry);
            assert_eq!(result, Ok(()), "seed {}", self.seed);
            self.replicas.get_mut(&id).expect("known replica").applied = entry.index;
        }
        self.reads.extend(effects.reads.iter().map(|read| (id, read.token, read.index)));
        true
    }

    fn sync(&mut self, id: ReplicaId, effects: &Effects) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        if let Some(image) = &effects.install {
            replica.disk.image = Some(image.clone());
            replica.disk.entries.clear();
            replica.applied = image.index;
            self.checker.reset_applied(id, image.index);
        }
        if let Some(hard_state) = effects.hard_state {
            replica.disk.hard_state = hard_state;
        }
        if let Some(first) = effects.truncate_from {
            replica.disk.entries.retain(|entry| entry.index < first);
        }
        replica.disk.entries.extend(effects.entries.iter().cloned());
        if let (Some(last), Some(core)) = (effects.entries.last(), replica.core.as_mut()) {
            core.mark_persisted(last.index);
        }
    }

    /// Creates a snapshot at a random replica and compacts its log.
    fn compact_random_replica(&mut self) {
        let ids = self.ids();
        let id = ids[self.rng.random_range(0..ids.len())];
        let replica = self.replicas.get_mut(&id).expect("known replica");
        let applied = replica.applied;
        let Some(core) = replica.core.as_mut() else { return };
        let retained = RetainedLog { entries: 3, bytes: usize::MAX };
        if let Some(image) = core.compact(applied, Arc::from([]), retained) {
            replica.disk.image = Some(image.clone());
            let base = image.index;
            replica.disk.entries.retain(|entry| entry.index > base);
        }
    }
}
