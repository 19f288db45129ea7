//! Locates the current leader of the replicas and sends requests to it.

use crate::grants::{AnswerSource, freshness_source, into_grant};
use consensus::MembershipChange;
use futures_util::{
    StreamExt,
    future::{Either, select},
    stream::FuturesUnordered,
};
use parking_lot::Mutex;
use peer::{
    FreshnessRequest, PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget, SubmitAnswer,
    replicas_digest,
};
use rand::seq::SliceRandom;
use runtime::ReplicaAddress;
use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{ClusterView, Command, CommandAnswer, RequestReport, ViewVersion};

/// Time allowed for one attempt to submit a command or a membership change.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// Additional time for the leader's answer after the timeout at which the other replicas are asked
/// too. The largest view that the system is designed for takes about 2 s over a link of 2 Mbit/s.
const LARGE_ANSWER_TIME: Duration = Duration::from_millis(2_500);
/// Pause before the other replicas are asked again while the leader's answer is outstanding.
const RECHECK_PAUSE: Duration = Duration::from_millis(150);
/// Pause before a command is submitted again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The addresses of the replicas.
#[derive(Debug)]
struct ReplicaTargets {
    /// The replicas that the settings name.
    seeds: Vec<PeerTarget>,
    /// The replicas that a leader named last, or until then the seeds given at the start.
    known: Vec<PeerTarget>,
    leader: Option<PeerTarget>,
}

impl ReplicaTargets {
    /// Returns the known replicas, followed by the seeds at other addresses.
    fn all(&self) -> Vec<PeerTarget> {
        let is_new = |seed: &&PeerTarget| self.known.iter().all(|t| t.address != seed.address);
        let seeds = self.seeds.iter().filter(is_new);
        self.known.iter().chain(seeds).cloned().collect()
    }
}

/// Result of asking several replicas at the same time.
#[derive(Default)]
struct FanOutResult {
    /// The leader's answer, if one of the replicas asked is the leader.
    answer: Option<PeerAnswer>,
    /// One of the replicas named the excluded replica as the leader.
    has_named_excluded: bool,
}

/// Outcome of a command or a membership change by its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResult {
    /// A command was committed and applied, or a leader accepted a membership change.
    Applied(CommandAnswer),
    /// The leader did not accept the command. Contains the reason.
    Refused(String),
    /// The outcome is not known by the deadline; the command may or may not take effect.
    Unknown,
}

/// Sends requests to the current leader of the replicas.
pub struct LeaderClient {
    link: Arc<dyn PeerLink>,
    targets: Mutex<ReplicaTargets>,
}

impl LeaderClient {
    /// Returns a client that knows only the seeds, the replicas that the settings name.
    pub fn new(link: Arc<dyn PeerLink>, seeds: Vec<PeerTarget>) -> Self {
        let targets = ReplicaTargets { known: seeds.clone(), seeds, leader: None };
        Self { link, targets: Mutex::new(targets) }
    }

    /// Replaces the known replicas with those that the leader named. Ignores an empty list.
    pub fn set_replicas(&self, replicas: &[ReplicaAddress]) {
        if replicas.is_empty() {
            return;
        }
        let known = replicas
            .iter()
            .map(|replica| PeerTarget { host: replica.host.clone(), address: replica.address })
            .collect();
        self.targets.lock().known = known;
    }

    /// Replaces the seeds, which are asked in addition to the known replicas. Until a leader names
    /// replicas, the seeds given at the start are also asked, as known replicas.
    pub fn set_seeds(&self, seeds: Vec<PeerTarget>) {
        self.targets.lock().seeds = seeds;
    }

    /// Asks the leader, or all replicas at the same time while it is unknown. `source_of` returns
    /// the sender of an answer; answers of other replicas only serve to locate the leader. Returns
    /// `None` if the leader does not answer in time.
    pub async fn call_leader(
        &self,
        request: &PeerRequest,
        timeout: Duration,
        source_of: impl Fn(&PeerAnswer) -> AnswerSource,
    ) -> Option<PeerAnswer> {
        let Some(leader) = self.leader() else {
            return self.call_all(request, timeout, &source_of).await;
        };
        // A large answer can take longer than the timeout on a slow link. The call continues while
        // the others are asked, because a new call would transfer the answer again.
        let mut first = pin!(self.link.call(&leader, request.clone(), timeout + LARGE_ANSWER_TIME));
        if let Ok(answer) = tokio::time::timeout(timeout, &mut first).await {
            return match self.process_answer(&leader, answer, &source_of) {
                Some(answer) => Some(answer),
                None => self.call_all(request, timeout, &source_of).await,
            };
        }
        let recheck_deadline = Instant::now() + LARGE_ANSWER_TIME;
        loop {
            let others = pin!(self.call_others(request, timeout, &source_of, Some(&leader)));
            match select(first.as_mut(), others).await {
                Either::Left((answer, others)) => {
                    return match self.process_answer(&leader, answer, &source_of) {
                        Some(answer) => Some(answer),
                        None => others.await.answer,
                    };
                }
                Either::Right((others, _)) => {
                    let may_stop = !others.has_named_excluded || Instant::now() >= recheck_deadline;
                    if others.answer.is_some() || may_stop {
                        return others.answer;
                    }
                }
            }
            // The others may still name a leader that has just failed, so they are asked again.
            if let Ok(answer) = tokio::time::timeout(RECHECK_PAUSE, &mut first).await {
                return self.process_answer(&leader, answer, &source_of);
            }
        }
    }

    async fn call_all(
        &self,
        request: &PeerRequest,
        timeout: Duration,
        source_of: &impl Fn(&PeerAnswer) -> AnswerSource,
    ) -> Option<PeerAnswer> {
        self.call_others(request, timeout, source_of, None).await.answer
    }

    /// Asks all replicas except `excluded` at the same time, and then the leader that they name, if
    /// it was not among them.
    async fn call_others(
        &self,
        request: &PeerRequest,
        timeout: Duration,
        source_of: &impl Fn(&PeerAnswer) -> AnswerSource,
        excluded: Option<&PeerTarget>,
    ) -> FanOutResult {
        let mut targets = self.targets.lock().all();
        targets.retain(|target| Some(target) != excluded);
        let asked_targets = targets.clone();
        let mut asked: FuturesUnordered<_> = targets
            .into_iter()
            .map(|target| async move {
                let answer = self.link.call(&target, request.clone(), timeout).await;
                (target, answer)
            })
            .collect();
        let mut fan_out = FanOutResult::default();
        while let Some((target, answer)) = asked.next().await {
            if let Ok(answer) = &answer
                && let AnswerSource::NotLeader(Some(named)) = source_of(answer)
            {
                fan_out.has_named_excluded |=
                    excluded.is_some_and(|replica| replica.address == named.address);
            }
            fan_out.answer = self.process_answer(&target, answer, source_of);
            if fan_out.answer.is_some() {
                return fan_out;
            }
        }
        // The replicas that answered may have named a leader that was not asked.
        let is_new =
            |hinted: &PeerTarget| !asked_targets.contains(hinted) && Some(hinted) != excluded;
        if let Some(hinted) = self.leader().filter(is_new) {
            let answer = self.link.call(&hinted, request.clone(), timeout).await;
            fan_out.answer = self.process_answer(&hinted, answer, source_of);
        }
        fan_out
    }

    /// Submits a membership change repeatedly until a leader accepts or refuses it, or the deadline
    /// passes. An accepted change may not be committed yet.
    pub async fn change_membership(
        &self,
        change: MembershipChange,
        deadline: Instant,
    ) -> SubmitResult {
        self.submit_request(&PeerRequest::ChangeMembership(change), deadline).await
    }

    /// Reads the whole current view. Returns `None` if no leader sends it in time, or if the
    /// answer cannot be decoded.
    pub async fn read_view(&self, timeout: Duration) -> Option<ClusterView> {
        // No view has this version, so the answer contains the whole view.
        let (entry, known_replicas, may_relay) = (None, 0, false);
        let version = ViewVersion(u64::MAX);
        let request = FreshnessRequest { entry, version, known_replicas, may_relay };
        let request = PeerRequest::Freshness(request);
        let grant = into_grant(self.call_leader(&request, timeout, freshness_source).await)?;
        grant.update.apply_to(&ClusterView::default()).ok()
    }

    /// Reports requests that crash servers to any replica, and to others if it does not take the
    /// report. Returns whether one has taken it by the deadline.
    pub async fn report_requests(&self, report: RequestReport, deadline: Instant) -> bool {
        let mut targets = self.replicas_and_seeds();
        targets.shuffle(&mut rand::rng());
        let request = PeerRequest::ReportRequests(report);
        for target in targets {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let answer = self.link.call(&target, request.clone(), left.min(SUBMIT_TIMEOUT)).await;
            if matches!(answer, Ok(PeerAnswer::Done)) {
                return true;
            }
        }
        false
    }

    /// Submits a command repeatedly until its outcome is known or the deadline passes. The command
    /// must be idempotent, because it may be applied more than once.
    pub async fn submit(&self, command: Command, deadline: Instant) -> SubmitResult {
        self.submit_request(&PeerRequest::Submit(command), deadline).await
    }

    async fn submit_request(&self, request: &PeerRequest, deadline: Instant) -> SubmitResult {
        let source_of = |answer: &PeerAnswer| match answer {
            PeerAnswer::Submit(SubmitAnswer::NotLeader(hint)) => {
                AnswerSource::NotLeader(hint.clone())
            }
            PeerAnswer::Submit(SubmitAnswer::Unknown) => AnswerSource::NotLeader(None),
            _ => AnswerSource::Leader,
        };
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return SubmitResult::Unknown;
            }
            match self.call_leader(request, left.min(SUBMIT_TIMEOUT), source_of).await {
                Some(PeerAnswer::Submit(SubmitAnswer::Applied(answer))) => {
                    return SubmitResult::Applied(answer);
                }
                Some(PeerAnswer::Submit(SubmitAnswer::Accepted)) => {
                    return SubmitResult::Applied(CommandAnswer::Done);
                }
                Some(PeerAnswer::Submit(SubmitAnswer::Refused(reason)))
                | Some(PeerAnswer::Refused(reason)) => return SubmitResult::Refused(reason),
                _ => tokio::time::sleep(RETRY_PAUSE.min(left)).await,
            }
        }
    }

    /// Returns the digest of the known replicas, or 0 while only the seeds are known.
    pub(crate) fn replicas_digest(&self) -> u32 {
        let targets = self.targets.lock();
        if targets.known == targets.seeds {
            return 0;
        }
        replicas_digest(targets.known.iter().map(|target| target.address))
    }

    /// Returns the replicas that a leader named last, or until then the seeds given at the start.
    pub(crate) fn replicas(&self) -> Vec<PeerTarget> {
        self.targets.lock().known.clone()
    }

    /// Returns the known replicas, followed by the seeds at other addresses.
    pub(crate) fn replicas_and_seeds(&self) -> Vec<PeerTarget> {
        self.targets.lock().all()
    }

    /// Sends a request to one replica, which need not be the leader.
    pub(crate) async fn call_replica(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        self.link.call(target, request, timeout).await
    }

    /// Returns the leader, or `None` while it is unknown.
    pub fn leader(&self) -> Option<PeerTarget> {
        self.targets.lock().leader.clone()
    }

    /// Updates the known leader from an answer or a failed call. Returns the answer if the leader
    /// sent it.
    fn process_answer(
        &self,
        target: &PeerTarget,
        answer: Result<PeerAnswer, PeerError>,
        source_of: impl Fn(&PeerAnswer) -> AnswerSource,
    ) -> Option<PeerAnswer> {
        let mut targets = self.targets.lock();
        let source = answer.as_ref().ok().map(source_of);
        match (source, answer) {
            (Some(AnswerSource::Leader), Ok(answer)) => {
                targets.leader = Some(target.clone());
                Some(answer)
            }
            (Some(AnswerSource::NotLeader(hint)), _) => {
                let hinted = hint.map(|hint| PeerTarget { host: hint.host, address: hint.address });
                if hinted.is_some() || targets.leader.as_ref() == Some(target) {
                    targets.leader = hinted;
                }
                None
            }
            _ => {
                if targets.leader.as_ref() == Some(target) {
                    targets.leader = None;
                }
                None
            }
        }
    }
}
