//! Finds the leader of the replicas and follows it as it changes.

use crate::grants::{LeaderAnswer, granted, is_granted};
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
use runtime::ReplicaAddress;
use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{ClusterView, Command, CommandAnswer, ViewUpdate, ViewVersion};

/// Time allowed for one request to the leader.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that an answer may take beyond the timeout after which other replicas are asked too. A view
/// of the target size takes about 2 s over a link of 2 Mbit/s.
const LARGE_ANSWER_TIME: Duration = Duration::from_millis(2_500);
/// Period at which other replicas are asked again while a leader's answer is waited for.
const RECHECK_PERIOD: Duration = Duration::from_millis(150);
/// Pause before the replicas are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct ReplicaTargets {
    seeds: Vec<PeerTarget>,
    known: Vec<PeerTarget>,
    leader: Option<PeerTarget>,
}

impl ReplicaTargets {
    /// Returns the learned replicas, and the seeds at other addresses.
    fn all(&self) -> Vec<PeerTarget> {
        let is_new = |seed: &&PeerTarget| self.known.iter().all(|t| t.address != seed.address);
        let seeds = self.seeds.iter().filter(is_new);
        self.known.iter().chain(seeds).cloned().collect()
    }
}

/// What replicas beside the leader said.
#[derive(Default)]
struct OthersAnswer {
    answer: Option<PeerAnswer>,
    /// One of them follows the replica that was left out.
    name_skipped: bool,
}

/// What became of a command by its deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitResult {
    /// Committed and applied.
    Applied(CommandAnswer),
    /// Refused by the leader; not taken.
    Refused(String),
    /// It may or may not come into force.
    Unknown,
}

/// Sends requests to whichever replica leads.
pub struct LeaderFinder {
    link: Arc<dyn PeerLink>,
    targets: Mutex<ReplicaTargets>,
}

impl LeaderFinder {
    /// Starts with the replicas of the settings.
    pub fn new(link: Arc<dyn PeerLink>, known: Vec<PeerTarget>) -> Self {
        let targets = ReplicaTargets { seeds: known.clone(), known, leader: None };
        Self { link, targets: Mutex::new(targets) }
    }

    /// Takes over the replicas that a leader names.
    pub fn learn(&self, replicas: &[ReplicaAddress]) {
        if replicas.is_empty() {
            return;
        }
        let known = replicas
            .iter()
            .map(|replica| PeerTarget { host: replica.host.clone(), address: replica.address })
            .collect();
        self.targets.lock().known = known;
    }

    /// Replaces the replicas that are asked when those that were learned do not answer.
    pub fn set_seeds(&self, seeds: Vec<PeerTarget>) {
        self.targets.lock().seeds = seeds;
    }

    /// Asks the leader, or all replicas at once while it is unknown. `accept` says whether an
    /// answer comes from the leader; other answers only point to it.
    pub async fn ask(
        &self,
        request: &PeerRequest,
        timeout: Duration,
        accept: impl Fn(&PeerAnswer) -> LeaderAnswer,
    ) -> Option<PeerAnswer> {
        let Some(leader) = self.leader() else {
            return self.ask_all(request, timeout, &accept).await;
        };
        // A large answer may take longer than the timeout on a narrow link. It is not given up when
        // the others are asked, since asking again would send it again.
        let mut first = pin!(self.link.call(&leader, request.clone(), timeout + LARGE_ANSWER_TIME));
        if let Ok(answer) = tokio::time::timeout(timeout, &mut first).await {
            return match self.judge(&leader, answer, &accept) {
                Some(answer) => Some(answer),
                None => self.ask_all(request, timeout, &accept).await,
            };
        }
        let until = Instant::now() + LARGE_ANSWER_TIME;
        loop {
            let others = pin!(self.ask_others(request, timeout, &accept, Some(&leader)));
            match select(first.as_mut(), others).await {
                Either::Left((answer, others)) => {
                    return match self.judge(&leader, answer, &accept) {
                        Some(answer) => Some(answer),
                        None => others.await.answer,
                    };
                }
                Either::Right((others, _)) => {
                    let is_over = !others.name_skipped || Instant::now() >= until;
                    if others.answer.is_some() || is_over {
                        return others.answer;
                    }
                }
            }
            // The others may still name a leader that has just stopped.
            if let Ok(answer) = tokio::time::timeout(RECHECK_PERIOD, &mut first).await {
                return self.judge(&leader, answer, &accept);
            }
        }
    }

    async fn ask_all(
        &self,
        request: &PeerRequest,
        timeout: Duration,
        accept: &impl Fn(&PeerAnswer) -> LeaderAnswer,
    ) -> Option<PeerAnswer> {
        self.ask_others(request, timeout, accept, None).await.answer
    }

    /// Asks all replicas but one at the same time, and then the leader that they name.
    async fn ask_others(
        &self,
        request: &PeerRequest,
        timeout: Duration,
        accept: &impl Fn(&PeerAnswer) -> LeaderAnswer,
        but: Option<&PeerTarget>,
    ) -> OthersAnswer {
        let mut targets = self.targets.lock().all();
        targets.retain(|target| Some(target) != but);
        let asked_targets = targets.clone();
        let mut asked: FuturesUnordered<_> = targets
            .into_iter()
            .map(|target| async move {
                let answer = self.link.call(&target, request.clone(), timeout).await;
                (target, answer)
            })
            .collect();
        let mut others = OthersAnswer::default();
        while let Some((target, answer)) = asked.next().await {
            if let Ok(answer) = &answer
                && let LeaderAnswer::Elsewhere(Some(named)) = accept(answer)
            {
                others.name_skipped |= but.is_some_and(|but| but.address == named.address);
            }
            others.answer = self.judge(&target, answer, accept);
            if others.answer.is_some() {
                return others;
            }
        }
        // The replicas that answered may have named a leader that was not asked.
        let is_new = |hinted: &PeerTarget| !asked_targets.contains(hinted) && Some(hinted) != but;
        if let Some(hinted) = self.leader().filter(is_new) {
            let answer = self.link.call(&hinted, request.clone(), timeout).await;
            others.answer = self.judge(&hinted, answer, accept);
        }
        others
    }

    /// Asks for a change of the set of replicas until a leader takes or refuses it.
    pub async fn change_membership(
        &self,
        change: MembershipChange,
        deadline: Instant,
    ) -> SubmitResult {
        self.submit_request(&PeerRequest::ChangeMembership(change), deadline).await
    }

    /// Reads the whole view as of now. Returns `None` if no leader confirms it in time.
    pub async fn read_view(&self, timeout: Duration) -> Option<ClusterView> {
        // No view has this version, so that the whole one is sent.
        match self.read_update(ViewVersion(u64::MAX), timeout).await? {
            ViewUpdate::Whole(view) => Some(*view),
            ViewUpdate::Changes(_) => None,
        }
    }

    /// Brings a copy of `base` up to the view as of now. Returns `None` if no leader confirms it in
    /// time.
    pub async fn read_since(&self, base: &ClusterView, timeout: Duration) -> Option<ClusterView> {
        let update = self.read_update(base.version, timeout).await?;
        let mut view = base.clone();
        view.update(update);
        Some(view)
    }

    async fn read_update(&self, version: ViewVersion, timeout: Duration) -> Option<ViewUpdate> {
        let (entry, known_replicas, may_relay) = (None, 0, false);
        let request = FreshnessRequest { entry, version, known_replicas, may_relay };
        let request = PeerRequest::Freshness(request);
        let answer = granted(self.ask(&request, timeout, is_granted).await)?;
        answer.update.unpack().ok()
    }

    /// Submits a command until its fate is known or the deadline passes. The command must be one
    /// that may be decided twice without harm.
    pub async fn submit(&self, command: Command, deadline: Instant) -> SubmitResult {
        self.submit_request(&PeerRequest::Submit(command), deadline).await
    }

    async fn submit_request(&self, request: &PeerRequest, deadline: Instant) -> SubmitResult {
        let is_from_leader = |answer: &PeerAnswer| match answer {
            PeerAnswer::Submit(SubmitAnswer::NotLeader(hint)) => {
                LeaderAnswer::Elsewhere(hint.clone())
            }
            PeerAnswer::Submit(SubmitAnswer::Unknown) => LeaderAnswer::Elsewhere(None),
            _ => LeaderAnswer::Here,
        };
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return SubmitResult::Unknown;
            }
            match self.ask(request, left.min(CALL_TIMEOUT), is_from_leader).await {
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

    /// Returns the digest of the replicas that were learned; 0 while only seeds are known.
    pub(crate) fn replicas_digest(&self) -> u32 {
        let targets = self.targets.lock();
        if targets.known == targets.seeds {
            return 0;
        }
        replicas_digest(targets.known.iter().map(|target| target.address))
    }

    /// Returns all replicas that are known, or the seeds as long as none are.
    pub(crate) fn replicas(&self) -> Vec<PeerTarget> {
        self.targets.lock().known.clone()
    }

    /// Sends a request to one replica.
    pub(crate) async fn ask_one(
        &self,
        target: &PeerTarget,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        self.link.call(target, request, timeout).await
    }

    /// Returns the leader, as far as known.
    pub fn leader(&self) -> Option<PeerTarget> {
        self.targets.lock().leader.clone()
    }

    fn judge(
        &self,
        target: &PeerTarget,
        answer: Result<PeerAnswer, PeerError>,
        accept: impl Fn(&PeerAnswer) -> LeaderAnswer,
    ) -> Option<PeerAnswer> {
        let mut targets = self.targets.lock();
        let verdict = answer.as_ref().ok().map(accept);
        match (verdict, answer) {
            (Some(LeaderAnswer::Here), Ok(answer)) => {
                targets.leader = Some(target.clone());
                Some(answer)
            }
            (Some(LeaderAnswer::Elsewhere(hint)), _) => {
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
