//! A group of replicas over a faulty network and faulty disks, driven by one seeded generator.

use hawthornhill_consensus::{
    Consensus, ConsensusError, CoreSettings, Effects, Envelope, HardState, InvariantChecker,
    LogEntry, LogIndex, Member, MemberRole, Membership, MembershipChange, ReadToken, ReplicaId,
    Restored, SnapshotImage, Term,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use types::{Command, EntryIncarnation, LogTime};

/// Chances of faults, in percent of the occasions.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    /// A message is lost.
    pub loss: u32,
    /// A message is delivered twice.
    pub duplicate: u32,
    /// A message is delayed by up to this many steps, which also reorders.
    pub max_delay: u64,
    /// A replica crashes between writing and syncing, in tenths of a percent.
    pub crash_before_sync_permille: u32,
    /// A cut or heal happens in a step, in tenths of a percent.
    pub cut_permille: u32,
}

impl FaultPlan {
    /// No faults.
    pub const CALM: Self = Self {
        loss: 0,
        duplicate: 0,
        max_delay: 1,
        crash_before_sync_permille: 0,
        cut_permille: 0,
    };
    /// All faults at once.
    pub const STORM: Self = Self {
        loss: 10,
        duplicate: 10,
        max_delay: 6,
        crash_before_sync_permille: 4,
        cut_permille: 8,
    };
}

/// What survives a crash.
#[derive(Debug, Clone, Default)]
struct Disk {
    hard_state: HardState,
    image: Option<SnapshotImage>,
    entries: Vec<LogEntry>,
}

struct Node {
    core: Option<Consensus>,
    disk: Disk,
    applied: LogIndex,
    down_for: u32,
}

/// The whole group.
pub struct Group {
    nodes: BTreeMap<ReplicaId, Node>,
    wire: Vec<(u64, Envelope)>,
    cuts: Vec<(ReplicaId, ReplicaId)>,
    pub check: InvariantChecker,
    pub reads: Vec<(ReplicaId, ReadToken, LogIndex)>,
    rng: SmallRng,
    pub plan: FaultPlan,
    now: u64,
    next_command: u64,
    seed: u64,
}

pub fn member(id: u64, role: MemberRole) -> Member {
    Member {
        id: ReplicaId(id),
        host: format!("host-{id}").parse().expect("valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        role,
    }
}

impl Group {
    /// Forms a group of voters with ids from 1 on.
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
            nodes: BTreeMap::new(),
            wire: Vec::new(),
            cuts: Vec::new(),
            check: InvariantChecker::default(),
            reads: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            plan,
            now: 0,
            next_command: 0,
            seed,
        };
        for id in 1..=count {
            let disk = Disk { image: Some(image.clone()), ..Disk::default() };
            group.add_node(ReplicaId(id), disk);
        }
        group
    }

    fn add_node(&mut self, id: ReplicaId, disk: Disk) {
        let node = Node { core: None, disk, applied: LogIndex(0), down_for: 0 };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// Adds a replica with an empty disk.
    pub fn add_empty(&mut self, id: u64) {
        self.add_node(ReplicaId(id), Disk::default());
    }

    /// Loses a replica with its disk for good.
    pub fn lose(&mut self, id: ReplicaId) {
        self.nodes.remove(&id);
    }

    fn start(&mut self, id: ReplicaId) {
        let settings = CoreSettings { seed: self.seed, ..CoreSettings::default() };
        let node = self.nodes.get_mut(&id).expect("known node");
        let restored = Restored {
            hard_state: node.disk.hard_state,
            image: node.disk.image.clone(),
            entries: node.disk.entries.clone(),
        };
        let core = Consensus::new(id, settings, restored);
        node.applied = core.commit();
        self.check.reset_applied(id, core.commit());
        node.core = Some(core);
    }

    /// Crashes a replica; it starts again after some steps.
    pub fn crash(&mut self, id: ReplicaId, steps: u32) {
        let node = self.nodes.get_mut(&id).expect("known node");
        node.core = None;
        node.down_for = steps;
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.nodes.keys().copied().collect()
    }

    pub fn core(&mut self, id: ReplicaId) -> Option<&mut Consensus> {
        self.nodes.get_mut(&id)?.core.as_mut()
    }

    /// Returns the leader of the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let leads = |(id, node): (&ReplicaId, &Node)| {
            let core = node.core.as_ref().filter(|core| core.is_leader())?;
            Some((core.term(), *id))
        };
        self.nodes.iter().filter_map(leads).max().map(|(_, id)| id)
    }

    /// Proposes a command that differs from all others at the leader, if there is one.
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

    pub fn cut(&mut self, from: ReplicaId, to: ReplicaId) {
        self.cuts.push((from, to));
    }

    /// Cuts a replica off in both directions.
    pub fn isolate(&mut self, id: ReplicaId) {
        for other in self.ids() {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Runs one step: a tick at every replica, deliveries, and the work they cause.
    pub fn step(&mut self) {
        self.now += 1;
        self.random_cut();
        for id in self.ids() {
            self.restart_if_due(id);
            if let Some(core) = self.core(id) {
                core.tick();
            }
            self.carry_out(id);
        }
        self.deliver();
        if self.rng.random_range(0..100) < 3 {
            self.compact_one();
        }
    }

    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Runs without faults until all replicas that are members hold the same committed log.
    pub fn settle(&mut self) {
        self.plan = FaultPlan::CALM;
        self.heal();
        for _ in 0..600 {
            self.step();
        }
        let leader = self.leader().unwrap_or_else(|| panic!("no leader, seed {}", self.seed));
        let index = self.propose().expect("leader takes commands");
        self.run(60);
        let members = self.core(leader).map(|core| core.membership().clone()).unwrap_or_default();
        for member in members.members() {
            if let Some(core) = self.core(member.id) {
                let commit = core.commit();
                assert!(commit >= index, "{} lags, seed {}", member.id, self.seed);
            }
        }
    }

    fn restart_if_due(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).expect("known node");
        if node.core.is_none() {
            if node.down_for == 0 {
                self.start(id);
            } else {
                node.down_for -= 1;
            }
        }
    }

    fn random_cut(&mut self) {
        if self.rng.random_range(0..1000) >= self.plan.cut_permille {
            return;
        }
        if !self.cuts.is_empty() && self.rng.random_bool(0.6) {
            self.heal();
            return;
        }
        let ids = self.ids();
        let from = ids[self.rng.random_range(0..ids.len())];
        let to = ids[self.rng.random_range(0..ids.len())];
        if self.rng.random_bool(0.5) {
            self.isolate(from);
        } else {
            self.cut(from, to);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.wire).into_iter().partition(|(at, _)| *at <= now);
        self.wire = later;
        let due: Vec<(u64, Envelope)> = due;
        for (_, envelope) in due {
            let to = envelope.to;
            if let Some(core) = self.core(to) {
                core.step(envelope);
                self.carry_out(to);
            }
        }
    }

    fn transmit(&mut self, envelope: Envelope) {
        if self.cuts.contains(&(envelope.from, envelope.to))
            || self.rng.random_range(0..100) < self.plan.loss
        {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.plan.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.plan.max_delay);
            self.wire.push((self.now + delay, envelope.clone()));
        }
    }

    fn carry_out(&mut self, id: ReplicaId) {
        loop {
            let Some(core) = self.core(id) else { return };
            core.replicate();
            core.start_round();
            let effects = core.take_effects();
            if effects.is_empty() {
                break;
            }
            if !self.carry_out_batch(id, effects) {
                return;
            }
        }
        let node = self.nodes.get(&id).expect("known node");
        if let Some(core) = &node.core {
            let result = self.check.verify_replica(core);
            assert_eq!(result, Ok(()), "seed {}", self.seed);
        }
    }

    /// Returns false if the replica crashed.
    fn carry_out_batch(&mut self, id: ReplicaId, effects: Effects) -> bool {
        for envelope in effects.early_messages.iter().cloned() {
            self.transmit(envelope);
        }
        let crashes = self.rng.random_range(0..1000) < self.plan.crash_before_sync_permille;
        if effects.needs_sync() && crashes {
            let steps = self.rng.random_range(0..40);
            self.crash(id, steps);
            return false;
        }
        self.sync(id, &effects);
        for envelope in effects.messages {
            self.transmit(envelope);
        }
        for entry in &effects.committed {
            let result = self.check.verify_applied(id, entry);
            assert_eq!(result, Ok(()), "seed {}", self.seed);
            self.nodes.get_mut(&id).expect("known node").applied = entry.index;
        }
        self.reads.extend(effects.reads.iter().map(|read| (id, read.token, read.index)));
        true
    }

    fn sync(&mut self, id: ReplicaId, effects: &Effects) {
        let node = self.nodes.get_mut(&id).expect("known node");
        if let Some(image) = &effects.install {
            node.disk.image = Some(image.clone());
            node.disk.entries.clear();
            node.applied = image.index;
            self.check.reset_applied(id, image.index);
        }
        if let Some(hard_state) = effects.hard_state {
            node.disk.hard_state = hard_state;
        }
        if let Some(first) = effects.truncate_from {
            node.disk.entries.retain(|entry| entry.index < first);
        }
        node.disk.entries.extend(effects.entries.iter().cloned());
        if let (Some(last), Some(core)) = (effects.entries.last(), node.core.as_mut()) {
            core.persisted(last.index);
        }
    }

    /// Makes a snapshot at one replica.
    fn compact_one(&mut self) {
        let ids = self.ids();
        let id = ids[self.rng.random_range(0..ids.len())];
        let node = self.nodes.get_mut(&id).expect("known node");
        let applied = node.applied;
        let Some(core) = node.core.as_mut() else { return };
        if let Some(image) = core.compact(applied, Arc::from([]), 3) {
            node.disk.image = Some(image.clone());
            let base = image.index;
            node.disk.entries.retain(|entry| entry.index > base);
        }
    }
}
