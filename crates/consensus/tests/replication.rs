//! Replication to followers that answer late or not at all: how much a leader sends them.

use hawthornhill_consensus::{
    Consensus, CoreSettings, Envelope, HardState, LogIndex, Member, MemberRole, Membership,
    Message, ReadToken, ReplicaId, RestoredState, SnapshotImage, Term,
};
use std::collections::{BTreeMap, VecDeque};
use types::{CallerLimits, Command, EntryIncarnation, LogTime, RoutingDocument, RoutingVersion};

/// Voters of the simulated group, the leader included.
const VOTERS: u64 = 19;
/// Simulated steps per tick; messages are delivered between ticks.
const STEPS_PER_TICK: u64 = 10;

/// A leader and the followers that it replicates to. Each link delivers in order after a delay.
struct LeaderGroup {
    replicas: Vec<Consensus>,
    /// Delay of messages between the leader and each follower, in steps; `None` if they are lost.
    delays: BTreeMap<ReplicaId, Option<u64>>,
    links: BTreeMap<(ReplicaId, ReplicaId), VecDeque<(u64, Envelope)>>,
    now: u64,
    /// Entries and messages sent by the leader to each follower.
    entries_sent: BTreeMap<ReplicaId, usize>,
    messages_sent: BTreeMap<ReplicaId, usize>,
}

impl LeaderGroup {
    /// Elects replica 1 and commits the first entry of its term.
    fn new() -> Self {
        let member = |id: u64| Member {
            id: ReplicaId(id),
            host: format!("core-{id}").parse().expect("name"),
            address: ([10, 0, 0, 1], id as u16).into(),
            domain: None,
            role: MemberRole::Voter,
        };
        let image = SnapshotImage {
            index: LogIndex(1),
            term: Term(1),
            time: LogTime::default(),
            membership: Membership::new((1..=VOTERS).map(member).collect()),
            state: Vec::new().into(),
        };
        let start = |id: u64| {
            let restored = RestoredState {
                hard_state: HardState { term: Term(1), voted_for: None },
                image: Some(image.clone()),
                entries: Vec::new(),
            };
            Consensus::new(ReplicaId(id), CoreSettings { seed: id, ..Default::default() }, restored)
        };
        let mut group = Self {
            replicas: (1..=VOTERS).map(start).collect(),
            delays: (2..=VOTERS).map(|id| (ReplicaId(id), Some(1))).collect(),
            links: BTreeMap::new(),
            now: 0,
            entries_sent: BTreeMap::new(),
            messages_sent: BTreeMap::new(),
        };
        let timeout = Envelope {
            from: ReplicaId(2),
            to: ReplicaId(1),
            term: Term(1),
            message: Message::TimeoutNow,
        };
        group.leader().step(timeout);
        group.run(3 * STEPS_PER_TICK, |_| {});
        assert!(group.leader().is_leader());
        assert_eq!(group.leader().commit(), group.leader().last_index());
        group.entries_sent.clear();
        group.messages_sent.clear();
        group
    }

    fn leader(&mut self) -> &mut Consensus {
        &mut self.replicas[0]
    }

    /// Runs steps. `input` acts on the leader before each of them.
    fn run(&mut self, steps: u64, mut input: impl FnMut(&mut Consensus)) {
        for _ in 0..steps {
            self.now += 1;
            input(&mut self.replicas[0]);
            for index in 0..self.replicas.len() {
                if self.now.is_multiple_of(STEPS_PER_TICK) {
                    self.replicas[index].tick();
                    self.replicas[index].start_read_round();
                }
                self.replicas[index].replicate();
                self.process_effects(index);
            }
            self.deliver();
        }
    }

    fn process_effects(&mut self, index: usize) {
        let mut effects = self.replicas[index].take_effects();
        if let Some(entry) = effects.entries.last() {
            self.replicas[index].mark_persisted(entry.index);
        }
        for envelope in effects.early_messages.drain(..).chain(effects.messages.drain(..)) {
            self.send(envelope);
        }
    }

    fn send(&mut self, envelope: Envelope) {
        let follower = if envelope.from == ReplicaId(1) { envelope.to } else { envelope.from };
        if envelope.from == ReplicaId(1) {
            *self.messages_sent.entry(envelope.to).or_default() += 1;
            if let Message::Append { entries, .. } = &envelope.message {
                *self.entries_sent.entry(envelope.to).or_default() += entries.len();
            }
        }
        if let Some(Some(delay)) = self.delays.get(&follower) {
            let link = self.links.entry((envelope.from, envelope.to)).or_default();
            link.push_back((self.now + delay, envelope));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for link in self.links.values_mut() {
            while link.front().is_some_and(|(at, _)| *at <= now) {
                due.extend(link.pop_front().map(|(_, envelope)| envelope));
            }
        }
        for envelope in due {
            let index = envelope.to.0 as usize - 1;
            self.replicas[index].step(envelope);
            self.process_effects(index);
        }
    }

    fn commits(&self, id: u64) -> LogIndex {
        self.replicas[id as usize - 1].commit()
    }
}

fn small_command(number: u64) -> Command {
    Command::RemoveEntry("entry".parse().expect("name"), EntryIncarnation(number))
}

/// Pattern: registrations arrive at a busy leader while its followers answer late. Guards against
/// heartbeats that repeat all unacknowledged entries: the slower the followers, the more the
/// leader sends, until it misses its own heartbeats and is deposed.
#[test]
fn entries_are_sent_once_to_followers_that_answer_late() {
    let mut group = LeaderGroup::new();
    group.delays.values_mut().for_each(|delay| *delay = Some(2 * STEPS_PER_TICK));
    let mut proposed = 0;
    group.run(40 * STEPS_PER_TICK, |leader| {
        proposed += 1;
        leader.propose(LogTime(proposed), small_command(proposed)).expect("leads");
        leader.queue_read(ReadToken(proposed)).expect("leads");
    });
    group.run(10 * STEPS_PER_TICK, |_| {});
    for id in 2..=VOTERS {
        let sent = group.entries_sent[&ReplicaId(id)];
        assert!(sent as u64 <= proposed, "replica {id} was sent {sent} of {proposed} entries");
        assert_eq!(group.commits(id), group.leader().commit(), "replica {id}");
    }
    assert_eq!(group.leader().commit(), group.leader().last_index());
}

/// Pattern: single commands at a high rate. Guards against one message per command and follower:
/// commands that arrive while a message is on its way are sent together.
#[test]
fn commands_that_arrive_during_a_round_trip_share_a_message() {
    let mut group = LeaderGroup::new();
    group.delays.values_mut().for_each(|delay| *delay = Some(4));
    let mut proposed = 0;
    let steps = 40 * STEPS_PER_TICK;
    group.run(steps, |leader| {
        proposed += 1;
        leader.propose(LogTime(proposed), small_command(proposed)).expect("leads");
    });
    for id in 2..=VOTERS {
        let sent = group.messages_sent[&ReplicaId(id)];
        // A round trip takes 8 steps, in which at most two messages with entries are on their way.
        let limit = 2 * steps / 8 + steps / STEPS_PER_TICK;
        assert!(sent as u64 <= limit, "replica {id} was sent {sent} messages, limit {limit}");
    }
    group.run(2 * STEPS_PER_TICK, |_| {});
    assert_eq!(group.leader().commit(), group.leader().last_index());
}

/// Pattern: the set of replicas is cut in two while the configuration changes. Guards against a
/// leader that repeats its log to replicas that it cannot reach, and so fills its send queues.
#[test]
fn unreachable_follower_is_sent_heartbeats_without_entries() {
    let mut group = LeaderGroup::new();
    let cut = [ReplicaId(18), ReplicaId(19)];
    group.delays.extend(cut.map(|id| (id, None)));
    let mut proposed = 0;
    group.run(100 * STEPS_PER_TICK, |leader| {
        proposed += 1;
        leader.propose(LogTime(proposed), small_command(proposed)).expect("leads");
    });
    for id in cut {
        let sent = group.entries_sent.get(&id).copied().unwrap_or_default();
        assert!(sent <= 2 * 64, "replica {id} was sent {sent} entries of {proposed}");
    }
    group.delays.extend(cut.map(|id| (id, Some(1))));
    group.run(20 * STEPS_PER_TICK, |_| {});
    for id in cut {
        assert_eq!(group.commits(id.0), group.leader().commit(), "replica {id}");
        let sent = group.entries_sent[&id] as u64;
        assert!(sent <= proposed + 2 * 64, "replica {id} was sent {sent} of {proposed} entries");
    }
}

/// Pattern: large configurations in quick succession. Guards against messages that occupy a link
/// and a receiver for so long that heartbeats behind them are late.
#[test]
fn large_commands_are_split_over_several_messages() {
    let mut group = LeaderGroup::new();
    group.delays.values_mut().for_each(|delay| *delay = None);
    let source: types::SourceText = "x".repeat(200_000).into();
    for version in 1..=20 {
        let document = RoutingDocument {
            version: RoutingVersion(version),
            routes: Vec::new(),
            pools: Vec::new(),
            limits: CallerLimits::default(),
        };
        let command = Command::PutRouting(document.into(), source.clone());
        group.leader().propose(LogTime(version), command).expect("leads");
    }
    group.leader().replicate();
    let effects = group.leader().take_effects();
    let messages = effects.early_messages.iter().chain(&effects.messages);
    let mut counts = messages.filter_map(|envelope| match &envelope.message {
        Message::Append { entries, .. } => Some(entries.len()),
        _ => None,
    });
    assert!(counts.all(|count| count <= 2), "a message has more than 400 kB of entries");
}
