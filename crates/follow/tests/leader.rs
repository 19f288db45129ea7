//! Tests how a client locates the leader from the seeds, over simulated links.

use async_trait::async_trait;
use hawthornhill_follow::{AnswerSource, LeaderClient, SubmitResult};
use peer::{PeerAnswer, PeerError, PeerLink, PeerRequest, PeerTarget, SubmitAnswer};
use runtime::ReplicaAddress;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use types::{Command, CommandAnswer};

/// Replicas with one leader, which the others name in their answers.
struct RedirectingReplicas {
    leader: ReplicaAddress,
}

#[async_trait]
impl PeerLink for RedirectingReplicas {
    async fn call(
        &self,
        target: &PeerTarget,
        _request: PeerRequest,
        _timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let answer = if target.address == self.leader.address {
            SubmitAnswer::Applied(CommandAnswer::Done)
        } else {
            SubmitAnswer::NotLeader(Some(self.leader.clone()))
        };
        Ok(PeerAnswer::Submit(answer))
    }

    fn send(&self, _target: &PeerTarget, _request: PeerRequest) {}
}

fn target(port: u16) -> PeerTarget {
    let address = SocketAddr::from(([10, 0, 0, 1], port));
    PeerTarget { host: format!("core-{port}").parse().expect("valid name"), address }
}

fn source_of(answer: &PeerAnswer) -> AnswerSource {
    match answer {
        PeerAnswer::Submit(SubmitAnswer::Applied(_)) => AnswerSource::Leader,
        PeerAnswer::Submit(SubmitAnswer::NotLeader(hint)) => AnswerSource::NotLeader(hint.clone()),
        _ => AnswerSource::NotLeader(None),
    }
}

/// Guards against never reaching a leader that is not a seed. After a restart of the whole system
/// an entry knows only the seeds, so it must also ask the leader that they name.
#[tokio::test]
async fn leader_named_by_the_seeds_is_asked() {
    let PeerTarget { host, address } = target(4);
    let link = Arc::new(RedirectingReplicas { leader: ReplicaAddress { host, address } });
    let seeds = vec![target(1), target(2), target(3)];
    let client = LeaderClient::new(link, seeds);
    let deadline = Instant::now() + Duration::from_millis(200);
    let result = client.submit(Command::BalanceRanges, deadline).await;
    assert_eq!(result, SubmitResult::Applied(CommandAnswer::Done));
}

/// Replicas whose leader's answers, except for the first, take 300 ms to transfer. The other
/// replicas name the leader at once.
struct SlowLink {
    leader: ReplicaAddress,
    asked: AtomicUsize,
}

#[async_trait]
impl PeerLink for SlowLink {
    async fn call(
        &self,
        target: &PeerTarget,
        _request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        if target.address != self.leader.address {
            return Ok(PeerAnswer::Submit(SubmitAnswer::NotLeader(Some(self.leader.clone()))));
        }
        if self.asked.fetch_add(1, Ordering::SeqCst) > 0 {
            let transfer = Duration::from_millis(300);
            if limit < transfer {
                tokio::time::sleep(limit).await;
                return Err(PeerError::TimedOut { address: target.address, timeout_ms: 0 });
            }
            tokio::time::sleep(transfer).await;
        }
        Ok(PeerAnswer::Submit(SubmitAnswer::Applied(CommandAnswer::Done)))
    }

    fn send(&self, _target: &PeerTarget, _request: PeerRequest) {}
}

/// Guards against an answer that takes longer than the timeout and so never arrives, because each
/// new call cancels the transfer and restarts it.
#[tokio::test]
async fn slow_answer_of_the_leader_is_not_requested_again() {
    let PeerTarget { host, address } = target(1);
    let leader = ReplicaAddress { host, address };
    let link = Arc::new(SlowLink { leader, asked: AtomicUsize::new(0) });
    let client = LeaderClient::new(link.clone(), vec![target(1), target(2), target(3)]);
    let request = PeerRequest::Submit(Command::BalanceRanges);
    let timeout = Duration::from_millis(50);
    assert!(client.call_leader(&request, timeout, source_of).await.is_some(), "finds the leader");
    assert!(
        client.call_leader(&request, timeout, source_of).await.is_some(),
        "waits for its answer"
    );
    assert_eq!(link.asked.load(Ordering::SeqCst), 2);
}

/// Number of the call, counted over all replicas, from which the replicas name the new leader.
const FIRST_CALL_AFTER_ELECTION: usize = 8;

/// Replicas whose leader stops answering after its first answer. The others name it until they have
/// elected a new leader.
struct ElectingReplicas {
    asked: AtomicUsize,
}

#[async_trait]
impl PeerLink for ElectingReplicas {
    async fn call(
        &self,
        called: &PeerTarget,
        _request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let is_first = self.asked.fetch_add(1, Ordering::SeqCst) == 0;
        let name = |named: PeerTarget| ReplicaAddress { host: named.host, address: named.address };
        let answer = match called.address.port() {
            1 if is_first => SubmitAnswer::Applied(CommandAnswer::Done),
            1 => {
                tokio::time::sleep(limit).await;
                return Err(PeerError::TimedOut { address: called.address, timeout_ms: 0 });
            }
            4 => SubmitAnswer::Applied(CommandAnswer::Done),
            _ if self.asked.load(Ordering::SeqCst) < FIRST_CALL_AFTER_ELECTION => {
                SubmitAnswer::NotLeader(Some(name(target(1))))
            }
            _ => SubmitAnswer::NotLeader(Some(name(target(4)))),
        };
        Ok(PeerAnswer::Submit(answer))
    }

    fn send(&self, _target: &PeerTarget, _request: PeerRequest) {}
}

/// Guards against losing freshness when the leader stops answering: the other replicas still named
/// it at first, so an entry waited 3 s for it and its view expired. Found by
/// daemon/tests/freshness.rs.
#[tokio::test]
async fn frozen_leader_is_replaced_by_the_newly_elected_one() {
    let link = Arc::new(ElectingReplicas { asked: AtomicUsize::new(0) });
    let client = LeaderClient::new(link, vec![target(1), target(2), target(3)]);
    let request = PeerRequest::Submit(Command::BalanceRanges);
    let timeout = Duration::from_millis(50);
    assert!(
        client.call_leader(&request, timeout, source_of).await.is_some(),
        "finds the first leader"
    );
    assert!(
        client.call_leader(&request, timeout, source_of).await.is_some(),
        "finds the new leader"
    );
    assert_eq!(client.leader(), Some(target(4)));
}
