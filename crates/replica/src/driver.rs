//! The thread that feeds inputs to the consensus core and executes the effects that it returns.
//!
//! Queued inputs are processed in batches, so that one disk sync covers many of them.

mod effects;
mod reads;
mod relays;
mod report;
mod snapshots;

use crate::{
    HistoryLimits, KnownLeader, MemberList, ReplicaHandle, ReplicaStatus,
    entry_leases::EntryLeases,
    input_queue::{InputClass, InputQueue, InputSender, WeakInputSender},
    server_leases::ServerLeases,
    store::{ReplicaStore, StoreError},
    transfer_cache::TransferCache,
};
use consensus::{
    Consensus, ConsensusError, CoreSettings, Effects, LeaderHint, LogIndex, Member,
    MembershipChange, MembershipError, ReadToken, ReadyRead, ReplicaId, RestoredState, Term,
};
use parking_lot::RwLock;
use peer::{
    ConsensusMessage, FreshnessAnswer, FreshnessRequest, PeerLink, PeerTarget, ReadIndexRequest,
    SubmitAnswer,
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
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    runtime::Handle,
    sync::{oneshot, watch},
};
use types::{
    ClusterState, Command, DomainName, HostName, LogTime, ServerIncarnation, ServerName, SourceText,
};

/// Maximum number of membership changes that wait for the one in progress.
const MAX_WAITING_CHANGES: usize = 64;
/// Tick period of the consensus core.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// How long a stopping leader waits for the leadership transfer to complete.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long an entry's request waits for a leader to be elected. Shorter than the entry's own
/// timeout of 600 ms.
pub const LEADER_WAIT: Duration = Duration::from_millis(400);

/// Configuration and services of a replica.
pub struct ReplicaSettings {
    /// Replica identity stored in the data folder.
    pub identity: ReplicaId,
    /// Host name of this process.
    pub host: HostName,
    /// Peer address of this process.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Timing of the consensus core.
    pub core: CoreSettings,
    /// Limits on what the replica keeps for entries and followers that lag.
    pub history: HistoryLimits,
    /// How long an entry's request waits for a leader to be elected, see [`LEADER_WAIT`].
    pub leader_wait: Duration,
    /// Links to the other replicas.
    pub link: Arc<dyn PeerLink>,
    /// Timer service.
    pub timer: TimerService,
    /// Event timeline.
    pub timeline: EventTimeline,
    /// Decision counters.
    pub counters: DecisionCounters,
    /// Logger.
    pub logger: Logger,
}

pub(crate) enum ReplicaInput {
    Tick(Instant),
    Message(ConsensusMessage),
    Submit(Command, oneshot::Sender<SubmitAnswer>),
    ChangeMembership(MembershipChange, oneshot::Sender<SubmitAnswer>),
    Freshness(FreshnessRequest, oneshot::Sender<FreshnessAnswer>),
    ReadIndex(ReadIndexRequest, oneshot::Sender<Option<LogIndex>>),
    /// The leader's answer to this replica's read index request; `None` if the request failed.
    ReadIndexAnswer(Option<LogIndex>),
    ServersSeen(Vec<(ServerName, ServerIncarnation)>),
    Members(oneshot::Sender<MemberList>),
    Bootstrap(Vec<Member>, oneshot::Sender<Result<(), String>>),
    Status(oneshot::Sender<ReplicaStatus>),
    Stop(oneshot::Sender<()>),
}

impl ReplicaInput {
    pub(crate) fn class(&self) -> InputClass {
        match self {
            Self::Tick(_) | Self::Message(_) | Self::Stop(_) => InputClass::Consensus,
            Self::Submit(..)
            | Self::ChangeMembership(..)
            | Self::Bootstrap(..)
            | Self::Members(_)
            | Self::Status(_) => InputClass::Order,
            Self::Freshness(..) | Self::ReadIndex(..) | Self::ReadIndexAnswer(_) => {
                InputClass::Read
            }
            Self::ServersSeen(_) => InputClass::Renewal,
        }
    }
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
    pending_commands: BTreeMap<LogIndex, PendingCommand>,
    pending_freshness: HashMap<ReadToken, PendingFreshness>,
    /// Membership changes that wait until the one in progress is committed.
    waiting_changes: VecDeque<(MembershipChange, oneshot::Sender<SubmitAnswer>)>,
    pending_index_reads: HashMap<ReadToken, oneshot::Sender<Option<LogIndex>>>,
    relays: RelayQueue,
    transfers: TransferCache,
    ready_reads: Vec<ReadyRead>,
    parked: Vec<ParkedFreshness>,
    next_token: u64,
    entry_leases: EntryLeases,
    server_leases: ServerLeases,
    was_leader: bool,
    known_leader: watch::Sender<KnownLeader>,
    /// Whether a tick has passed since the last quorum round. One round serves all reads of a tick.
    is_round_due: bool,
    snapshot_bytes: u64,
    /// Reply addresses of message senders, including those that are not members.
    sender_targets: HashMap<ReplicaId, PeerTarget>,
    /// Effects whose disk write failed. Retried after each batch; inputs are rejected meanwhile.
    stalled: Option<Effects>,
    /// Deadline of the leadership transfer, and the reply to the stop request.
    stopping: Option<(Instant, oneshot::Sender<()>)>,
}

/// Starts the replica's thread, which uses the current tokio runtime.
///
/// # Errors
///
/// Fails if the restored snapshot cannot be decoded.
pub fn start_replica(
    settings: ReplicaSettings,
    store: Box<dyn ReplicaStore>,
    restored: RestoredState,
) -> Result<ReplicaHandle, StoreError> {
    let (inputs, queue) = InputSender::new(settings.counters.clone());
    let mut ticks = settings.timer.subscribe(TICK_PERIOD);
    let tick_inputs = inputs.downgrade();
    tokio::spawn(async move {
        while let Some(now) = ticks.tick().await {
            match tick_inputs.upgrade() {
                Some(inputs) => inputs.send(ReplicaInput::Tick(now)),
                None => return,
            }
        }
    });
    let driver = ReplicaDriver::new(settings, store, restored, inputs.downgrade())?;
    let (view, routing_source) = (driver.view.clone(), driver.routing_source.clone());
    let leader = driver.known_leader.subscribe();
    let handle = ReplicaHandle { inputs, view, routing_source, leader };
    let runtime = Handle::current();
    std::thread::spawn(move || {
        let _guard = runtime.enter();
        driver.run(&queue);
        // Requests that were not processed fail, as do later ones.
        queue.clear();
    });
    Ok(handle)
}

impl ReplicaDriver {
    fn new(
        settings: ReplicaSettings,
        store: Box<dyn ReplicaStore>,
        restored: RestoredState,
        inputs: WeakInputSender,
    ) -> Result<Self, StoreError> {
        let state = decode_state(restored.image.as_ref(), &settings.history)?;
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
            pending_commands: BTreeMap::new(),
            pending_freshness: HashMap::new(),
            waiting_changes: VecDeque::new(),
            pending_index_reads: HashMap::new(),
            relays: RelayQueue::new(inputs),
            transfers: TransferCache::default(),
            ready_reads: Vec::new(),
            parked: Vec::new(),
            next_token: 0,
            entry_leases: EntryLeases::new(Instant::now()),
            server_leases: ServerLeases::new(Instant::now()),
            was_leader: false,
            known_leader: watch::Sender::new(KnownLeader::Unknown),
            is_round_due: false,
            snapshot_bytes,
            sender_targets: HashMap::new(),
            stalled: None,
            stopping: None,
        })
    }

    fn run(mut self, queue: &InputQueue) {
        while let Some(batch) = queue.take_batch() {
            batch.into_iter().for_each(|input| self.handle_input(input));
            self.process_effects();
            if self.try_finish_stop() {
                return;
            }
        }
    }

    fn handle_input(&mut self, input: ReplicaInput) {
        if self.stalled.is_some() {
            self.reject_input(input);
            return;
        }
        match input {
            ReplicaInput::Tick(now) => self.tick(now),
            ReplicaInput::Message(message) => self.handle_message(message),
            ReplicaInput::Submit(command, reply) => self.submit(command, reply),
            ReplicaInput::ChangeMembership(change, reply) => {
                self.change_membership(&change, reply);
            }
            ReplicaInput::Freshness(request, reply) => self.start_freshness(request, reply),
            ReplicaInput::ReadIndex(request, reply) => self.start_read_index(request, reply),
            ReplicaInput::ReadIndexAnswer(index) => self.handle_read_index(index),
            ReplicaInput::ServersSeen(servers) => {
                self.server_leases.observe(servers, Instant::now());
            }
            ReplicaInput::Members(reply) => send_reply(reply, self.member_list()),
            ReplicaInput::Bootstrap(members, reply) => send_reply(reply, self.bootstrap(members)),
            ReplicaInput::Status(reply) => send_reply(reply, self.status()),
            ReplicaInput::Stop(reply) => self.begin_stop(reply),
        }
    }

    /// Rejects an input while writes to the disk fail.
    fn reject_input(&mut self, input: ReplicaInput) {
        let reason = "the disk of this replica refuses writes".to_owned();
        match input {
            ReplicaInput::Tick(_) | ReplicaInput::Message(_) | ReplicaInput::ServersSeen(_) => {}
            ReplicaInput::ReadIndex(_, reply) => send_reply(reply, None),
            ReplicaInput::ReadIndexAnswer(_) => self.handle_read_index(None),
            ReplicaInput::Submit(_, reply) | ReplicaInput::ChangeMembership(_, reply) => {
                self.settings.counters.count("refused-disk");
                send_reply(reply, SubmitAnswer::Refused(reason));
            }
            ReplicaInput::Freshness(_, reply) => {
                send_reply(reply, FreshnessAnswer::NotLeader(None));
            }
            ReplicaInput::Members(reply) => send_reply(reply, self.member_list()),
            ReplicaInput::Bootstrap(_, reply) => send_reply(reply, Err(reason)),
            ReplicaInput::Status(reply) => send_reply(reply, self.status()),
            ReplicaInput::Stop(reply) => self.stopping = Some((Instant::now(), reply)),
        }
    }

    fn tick(&mut self, now: Instant) {
        self.core.tick();
        self.is_round_due = true;
        if self.core.is_leader() && self.was_leader {
            let mut commands = self.entry_leases.expirations(self.state.view(), now);
            commands.extend(self.server_leases.expirations(self.state.view(), now));
            for command in commands {
                self.propose_internal(command);
            }
        }
    }

    /// Proposes a command on behalf of the leader itself.
    fn propose_internal(&mut self, command: Command) {
        // Fails if leadership was just lost; the new leader then proposes the command.
        let _ = self.core.propose(LogTime(wall_clock_ms()), command);
    }

    fn submit(&mut self, command: Command, reply: oneshot::Sender<SubmitAnswer>) {
        match self.core.propose(LogTime(wall_clock_ms()), command) {
            Ok(index) => {
                let term = self.core.term();
                self.pending_commands.insert(index, PendingCommand { term, reply });
            }
            Err(error) => send_reply(reply, self.refusal(error)),
        }
    }

    fn change_membership(
        &mut self,
        change: &MembershipChange,
        reply: oneshot::Sender<SubmitAnswer>,
    ) {
        let result = self.core.change_membership(LogTime(wall_clock_ms()), change);
        match result {
            Ok(_) => send_reply(reply, SubmitAnswer::Accepted),
            Err(ConsensusError::Membership(MembershipError::ChangeInProgress))
                if self.waiting_changes.len() < MAX_WAITING_CHANGES =>
            {
                self.waiting_changes.push_back((change.clone(), reply));
            }
            Err(error) => send_reply(reply, self.refusal(error)),
        }
    }

    /// Makes the first of the waiting membership changes that is possible now.
    fn resume_waiting_changes(&mut self) {
        while !self.core.is_membership_change_in_progress()
            && let Some((change, reply)) = self.waiting_changes.pop_front()
        {
            // The requester may have given up and sent the change again.
            if !reply.is_closed() {
                self.change_membership(&change, reply);
            }
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

    /// Confirms a requested stop once leadership is transferred or the transfer has timed out.
    /// Returns whether the thread must end.
    fn try_finish_stop(&mut self) -> bool {
        let is_due = match &self.stopping {
            Some((deadline, _)) => !self.core.is_leader() || Instant::now() >= *deadline,
            None => false,
        };
        if is_due && let Some((_, reply)) = self.stopping.take() {
            send_reply(reply, ());
        }
        is_due
    }

    fn handle_message(&mut self, message: ConsensusMessage) {
        let target = PeerTarget { host: message.host, address: message.address };
        self.sender_targets.insert(message.envelope.from, target);
        self.core.step(message.envelope);
    }

    /// Reacts to a change of this replica's leadership, and publishes the known leader.
    fn update_leadership(&mut self) {
        let known_leader = match self.core.leader() {
            LeaderHint(None) => KnownLeader::Unknown,
            LeaderHint(Some(id)) if id == self.settings.identity => KnownLeader::Local,
            hint => self.leader_address(hint).map_or(KnownLeader::Unknown, KnownLeader::Remote),
        };
        self.known_leader.send_if_modified(|current| {
            let is_changed = *current != known_leader;
            *current = known_leader;
            is_changed
        });
        let is_leader = self.core.is_leader();
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        let term = self.core.term().0;
        if is_leader {
            self.entry_leases = EntryLeases::new(Instant::now());
            self.server_leases = ServerLeases::new(Instant::now());
            self.settings.counters.count("leader-elected");
            info!(self.settings.logger, "leading"; "term" => term);
            self.record(EventKind::LeaderElected, EventTags::default(), format!("term {term}"));
        } else {
            self.settings.counters.count("leader-lost");
            warn!(self.settings.logger, "no longer leading"; "term" => term);
            self.record(EventKind::LeaderLost, EventTags::default(), format!("term {term}"));
            self.fail_pending();
        }
    }

    /// Ends all pending requests, since this replica can no longer determine their outcome.
    fn fail_pending(&mut self) {
        for pending in std::mem::take(&mut self.pending_commands).into_values() {
            send_reply(pending.reply, SubmitAnswer::Unknown);
        }
        for (_, reply) in std::mem::take(&mut self.waiting_changes) {
            send_reply(reply, SubmitAnswer::NotLeader(None));
        }
        for pending in std::mem::take(&mut self.pending_freshness).into_values() {
            send_reply(pending.reply, FreshnessAnswer::NotLeader(None));
        }
        for reply in std::mem::take(&mut self.pending_index_reads).into_values() {
            send_reply(reply, None);
        }
        // The latest possible deadline, so that all parked requests expire.
        self.expire_parked(Instant::now() + self.settings.leader_wait);
        self.redirect_relays();
        self.ready_reads.clear();
    }
}

/// Sends a reply; does nothing if the requester has stopped waiting.
fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
