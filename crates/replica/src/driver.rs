//! The thread that drives the consensus core: inputs in, durable effects out.
//!
//! All inputs that wait are taken as one batch, so that one sync serves them all.

mod effects;
mod reads;
mod relays;
mod report;
mod snapshots;

use crate::{
    ReplicaHandle, ReplicaStatus,
    entry_watch::EntryWatch,
    server_watch::ServerWatch,
    store::{ReplicaStore, StoreError},
};
use consensus::{
    Consensus, ConsensusError, CoreSettings, Effects, LeaderHint, LogIndex, Member,
    MembershipChange, ReadToken, ReadyRead, ReplicaId, RestoredState, Term,
};
use parking_lot::RwLock;
use peer::{
    ConsensusMessage, FreshnessAnswer, FreshnessRequest, PackedView, PeerLink, PeerTarget,
    ReadIndexRequest, SubmitAnswer,
};
use reads::ParkedFreshness;
use relays::RelayQueue;
use runtime::{
    DecisionCounters, EventKind, EventTags, EventTimeline, Logger, ReplicaAddress, TimerService,
    wall_clock_ms,
};
use slog::{info, warn};
use snapshots::decode_state;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
};
use types::{
    ClusterState, Command, DomainName, HostName, LogTime, ServerIncarnation, ServerName,
    SourceText, ViewVersion,
};

/// Inputs that may wait for the thread.
const QUEUE_LIMIT: usize = 16_384;
/// Inputs taken as one batch.
const BATCH_LIMIT: usize = 4_096;
/// Period of the core's ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How long a stopping leader waits for its successor.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a request of an entry waits for a leader to be known; less than entries wait for an
/// answer, which is 600 ms.
pub const LEADER_WAIT: Duration = Duration::from_millis(400);

/// What a replica is started with.
pub struct ReplicaSettings {
    /// Identity bound to the data folder.
    pub identity: ReplicaId,
    /// Host name of this process.
    pub host: HostName,
    /// Where other processes reach this one.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Timing of the core.
    pub core: CoreSettings,
    /// How long a request of an entry waits for a leader to be known, see [`LEADER_WAIT`].
    pub leader_wait: Duration,
    /// Links to the other replicas.
    pub link: Arc<dyn PeerLink>,
    /// Timer service.
    pub timer: TimerService,
    /// Time line.
    pub timeline: EventTimeline,
    /// Counters of decisions.
    pub counters: DecisionCounters,
    /// Log.
    pub logger: Logger,
}

pub(crate) enum ReplicaInput {
    Tick(Instant),
    Message(ConsensusMessage),
    Submit(Command, oneshot::Sender<SubmitAnswer>),
    ChangeMembership(MembershipChange, oneshot::Sender<SubmitAnswer>),
    Freshness(FreshnessRequest, oneshot::Sender<FreshnessAnswer>),
    ReadIndex(ReadIndexRequest, oneshot::Sender<Option<LogIndex>>),
    /// The leader's answer to the read index request of this replica.
    Relayed(Option<LogIndex>),
    ServersSeen(Vec<(ServerName, ServerIncarnation)>),
    Bootstrap(Vec<Member>, oneshot::Sender<Result<(), String>>),
    Status(oneshot::Sender<ReplicaStatus>),
    Stop(oneshot::Sender<()>),
}

struct PendingCommand {
    term: Term,
    reply: oneshot::Sender<SubmitAnswer>,
}

struct PendingFreshness {
    request: FreshnessRequest,
    reply: oneshot::Sender<FreshnessAnswer>,
}

struct ReplicaDriver {
    settings: ReplicaSettings,
    store: Box<dyn ReplicaStore>,
    core: Consensus,
    state: ClusterState,
    applied: LogIndex,
    view: Arc<RwLock<Arc<types::ClusterView>>>,
    routing_source: Arc<RwLock<SourceText>>,
    commands: BTreeMap<LogIndex, PendingCommand>,
    freshness: HashMap<ReadToken, PendingFreshness>,
    index_reads: HashMap<ReadToken, oneshot::Sender<Option<LogIndex>>>,
    relays: RelayQueue,
    packed_view: Option<(ViewVersion, PackedView)>,
    ready_reads: Vec<ReadyRead>,
    parked: Vec<ParkedFreshness>,
    next_token: u64,
    watch: EntryWatch,
    server_watch: ServerWatch,
    was_leader: bool,
    /// A tick has come since the last quorum round; one round serves all reads of a tick.
    round_is_due: bool,
    snapshot_bytes: u64,
    /// Where the senders of messages can be answered, members or not.
    origins: HashMap<ReplicaId, PeerTarget>,
    stalled: Option<Effects>,
    stopping: Option<(Instant, oneshot::Sender<()>)>,
}

/// Starts the replica's thread on the current tokio runtime.
pub fn start_replica(
    settings: ReplicaSettings,
    store: Box<dyn ReplicaStore>,
    restored: RestoredState,
) -> Result<ReplicaHandle, StoreError> {
    let (inputs, queue) = mpsc::channel(QUEUE_LIMIT);
    let mut ticks = settings.timer.subscribe(TICK_PERIOD);
    let tick_inputs = inputs.clone();
    tokio::spawn(async move {
        while let Some(now) = ticks.tick().await {
            if tick_inputs.send(ReplicaInput::Tick(now)).await.is_err() {
                return;
            }
        }
    });
    let driver = ReplicaDriver::new(settings, store, restored, inputs.downgrade())?;
    let (view, routing_source) = (driver.view.clone(), driver.routing_source.clone());
    let handle = ReplicaHandle { inputs, view, routing_source };
    let runtime = Handle::current();
    std::thread::spawn(move || {
        let _guard = runtime.enter();
        driver.run(queue);
    });
    Ok(handle)
}

impl ReplicaDriver {
    fn new(
        settings: ReplicaSettings,
        store: Box<dyn ReplicaStore>,
        restored: RestoredState,
        inputs: mpsc::WeakSender<ReplicaInput>,
    ) -> Result<Self, StoreError> {
        let state = decode_state(restored.image.as_ref())?;
        let applied = restored.image.as_ref().map_or(LogIndex(0), |image| image.index);
        let snapshot_bytes = restored.image.as_ref().map_or(0, |image| image.state.len() as u64);
        let core = Consensus::new(settings.identity, settings.core.clone(), restored);
        let view = Arc::new(RwLock::new(Arc::new(state.view().clone())));
        let routing_source = Arc::new(RwLock::new(state.routing_source().clone()));
        Ok(Self {
            settings,
            store,
            core,
            state,
            applied,
            view,
            routing_source,
            commands: BTreeMap::new(),
            freshness: HashMap::new(),
            index_reads: HashMap::new(),
            relays: RelayQueue::new(inputs),
            packed_view: None,
            ready_reads: Vec::new(),
            parked: Vec::new(),
            next_token: 0,
            watch: EntryWatch::new(Instant::now()),
            server_watch: ServerWatch::new(Instant::now()),
            was_leader: false,
            round_is_due: false,
            snapshot_bytes,
            origins: HashMap::new(),
            stalled: None,
            stopping: None,
        })
    }

    fn run(mut self, mut queue: mpsc::Receiver<ReplicaInput>) {
        while let Some(input) = queue.blocking_recv() {
            self.take_input(input);
            for _ in 1..BATCH_LIMIT {
                let Ok(input) = queue.try_recv() else {
                    break;
                };
                self.take_input(input);
            }
            self.carry_out();
            if self.stop_is_due() {
                return;
            }
        }
    }

    fn take_input(&mut self, input: ReplicaInput) {
        if self.stalled.is_some() {
            self.refuse_input(input);
            return;
        }
        match input {
            ReplicaInput::Tick(now) => self.tick(now),
            ReplicaInput::Message(message) => self.take_message(message),
            ReplicaInput::Submit(command, reply) => self.submit(command, reply),
            ReplicaInput::ChangeMembership(change, reply) => {
                self.change_membership(&change, reply);
            }
            ReplicaInput::Freshness(request, reply) => self.start_freshness(request, reply),
            ReplicaInput::ReadIndex(request, reply) => self.start_read_index(request, reply),
            ReplicaInput::Relayed(index) => self.take_read_index(index),
            ReplicaInput::ServersSeen(servers) => {
                self.server_watch.observe(servers, Instant::now());
            }
            ReplicaInput::Bootstrap(members, reply) => answer(reply, self.bootstrap(members)),
            ReplicaInput::Status(reply) => answer(reply, self.status()),
            ReplicaInput::Stop(reply) => self.begin_stop(reply),
        }
    }

    /// Answers an input while the disk refuses writes.
    fn refuse_input(&mut self, input: ReplicaInput) {
        let reason = "the disk of this replica refuses writes".to_owned();
        match input {
            ReplicaInput::Tick(_) | ReplicaInput::Message(_) | ReplicaInput::ServersSeen(_) => {}
            ReplicaInput::ReadIndex(_, reply) => answer(reply, None),
            ReplicaInput::Relayed(_) => self.take_read_index(None),
            ReplicaInput::Submit(_, reply) | ReplicaInput::ChangeMembership(_, reply) => {
                self.settings.counters.count("refused-disk");
                answer(reply, SubmitAnswer::Refused(reason));
            }
            ReplicaInput::Freshness(_, reply) => answer(reply, FreshnessAnswer::NotLeader(None)),
            ReplicaInput::Bootstrap(_, reply) => answer(reply, Err(reason)),
            ReplicaInput::Status(reply) => answer(reply, self.status()),
            ReplicaInput::Stop(reply) => self.stopping = Some((Instant::now(), reply)),
        }
    }

    fn tick(&mut self, now: Instant) {
        self.core.tick();
        self.round_is_due = true;
        if self.core.is_leader() && self.was_leader {
            let mut commands = self.watch.expirations(self.state.view(), now);
            commands.extend(self.server_watch.expirations(self.state.view(), now));
            for command in commands {
                self.propose_own(command);
            }
        }
    }

    fn propose_own(&mut self, command: Command) {
        // A replica that has just lost leadership leaves the command to its successor.
        let _ = self.core.propose(LogTime(wall_clock_ms()), command);
    }

    fn submit(&mut self, command: Command, reply: oneshot::Sender<SubmitAnswer>) {
        match self.core.propose(LogTime(wall_clock_ms()), command) {
            Ok(index) => {
                let term = self.core.term();
                self.commands.insert(index, PendingCommand { term, reply });
            }
            Err(error) => answer(reply, self.refusal(error)),
        }
    }

    fn change_membership(
        &mut self,
        change: &MembershipChange,
        reply: oneshot::Sender<SubmitAnswer>,
    ) {
        let result = self.core.change_membership(LogTime(wall_clock_ms()), change);
        match result {
            Ok(_) => answer(reply, SubmitAnswer::Accepted),
            Err(error) => answer(reply, self.refusal(error)),
        }
    }

    fn refusal(&self, error: ConsensusError) -> SubmitAnswer {
        match error {
            ConsensusError::NotLeader(hint) => SubmitAnswer::NotLeader(self.leader_address(hint)),
            ConsensusError::Membership(error) => SubmitAnswer::Refused(error.to_string()),
        }
    }

    fn leader_address(&self, LeaderHint(leader): LeaderHint) -> Option<ReplicaAddress> {
        let member = self.core.membership().get(leader?)?;
        let address = ReplicaAddress { host: member.host.clone(), address: member.address };
        (member.id != self.settings.identity).then_some(address)
    }

    fn begin_stop(&mut self, reply: oneshot::Sender<()>) {
        self.core.transfer_leadership();
        self.stopping = Some((Instant::now() + TRANSFER_TIMEOUT, reply));
    }

    fn stop_is_due(&mut self) -> bool {
        let is_due = match &self.stopping {
            Some((deadline, _)) => !self.core.is_leader() || Instant::now() >= *deadline,
            None => false,
        };
        if is_due && let Some((_, reply)) = self.stopping.take() {
            answer(reply, ());
        }
        is_due
    }

    fn take_message(&mut self, message: ConsensusMessage) {
        let target = PeerTarget { host: message.host, address: message.address };
        self.origins.insert(message.envelope.from, target);
        self.core.step(message.envelope);
    }

    fn note_leadership(&mut self) {
        let is_leader = self.core.is_leader();
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        let term = self.core.term().0;
        if is_leader {
            self.watch = EntryWatch::new(Instant::now());
            self.server_watch = ServerWatch::new(Instant::now());
            self.settings.counters.count("leader-elected");
            info!(self.settings.logger, "leading"; "term" => term);
            self.record(EventKind::LeaderElected, EventTags::default(), format!("term {term}"));
        } else {
            self.settings.counters.count("leader-lost");
            warn!(self.settings.logger, "no longer leading"; "term" => term);
            self.record(EventKind::LeaderLost, EventTags::default(), format!("term {term}"));
            self.drop_pending();
        }
    }

    /// Answers all waiting requests, whose fate this replica can no longer tell.
    fn drop_pending(&mut self) {
        for pending in std::mem::take(&mut self.commands).into_values() {
            answer(pending.reply, SubmitAnswer::Unknown);
        }
        for pending in std::mem::take(&mut self.freshness).into_values() {
            answer(pending.reply, FreshnessAnswer::NotLeader(None));
        }
        for reply in std::mem::take(&mut self.index_reads).into_values() {
            answer(reply, None);
        }
        self.expire_parked(Instant::now() + self.settings.leader_wait);
        self.drop_relays();
        self.ready_reads.clear();
    }
}

/// Answers a request. A requester that no longer waits needs no answer.
fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
