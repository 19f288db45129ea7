//! Finding the leader from seeds, with links that need no network.

use async_trait::async_trait;
use hawthornhill_follow::{LeaderAnswer, LeaderFinder, SubmitResult};
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

/// Replicas of which only one leads; the others name it.
struct NamingReplicas {
    leader: ReplicaAddress,
}

#[async_trait]
impl PeerLink for NamingReplicas {
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

fn accept(answer: &PeerAnswer) -> LeaderAnswer {
    match answer {
        PeerAnswer::Submit(SubmitAnswer::Applied(_)) => LeaderAnswer::Here,
        PeerAnswer::Submit(SubmitAnswer::NotLeader(hint)) => LeaderAnswer::Elsewhere(hint.clone()),
        _ => LeaderAnswer::Elsewhere(None),
    }
}

/// After a restart of the whole system an entry knows the seeds only. When none of them leads, the
/// leader that they name must be asked although it is on no list.
#[tokio::test]
async fn leader_that_is_no_seed_is_found_by_name() {
    let PeerTarget { host, address } = target(4);
    let link = Arc::new(NamingReplicas { leader: ReplicaAddress { host, address } });
    let seeds = vec![target(1), target(2), target(3)];
    let finder = LeaderFinder::new(link, seeds);
    let deadline = Instant::now() + Duration::from_millis(200);
    let result = finder.submit(Command::BalanceRanges, deadline).await;
    assert_eq!(result, SubmitResult::Applied(CommandAnswer::Done));
}

/// A leader whose answer takes long on a narrow link, beside replicas that are quick to name it.
struct NarrowLink {
    leader: ReplicaAddress,
    asked: AtomicUsize,
}

#[async_trait]
impl PeerLink for NarrowLink {
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

/// Giving the answer up at the timeout and asking again would send it again, and never finish.
#[tokio::test]
async fn answer_that_outlasts_the_timeout_is_waited_for() {
    let PeerTarget { host, address } = target(1);
    let leader = ReplicaAddress { host, address };
    let link = Arc::new(NarrowLink { leader, asked: AtomicUsize::new(0) });
    let finder = LeaderFinder::new(link.clone(), vec![target(1), target(2), target(3)]);
    let request = PeerRequest::Submit(Command::BalanceRanges);
    let timeout = Duration::from_millis(50);
    assert!(finder.ask(&request, timeout, accept).await.is_some(), "finds the leader");
    assert!(finder.ask(&request, timeout, accept).await.is_some(), "waits for its answer");
    assert_eq!(link.asked.load(Ordering::SeqCst), 2);
}

/// A leader that has frozen: the others follow it until they have elected another one.
struct FrozenLeader {
    asked: AtomicUsize,
}

#[async_trait]
impl PeerLink for FrozenLeader {
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
            _ if self.asked.load(Ordering::SeqCst) < 8 => {
                SubmitAnswer::NotLeader(Some(name(target(1))))
            }
            _ => SubmitAnswer::NotLeader(Some(name(target(4)))),
        };
        Ok(PeerAnswer::Submit(answer))
    }

    fn send(&self, _target: &PeerTarget, _request: PeerRequest) {}
}

/// Found by daemon/tests/freshness.rs: an entry waited for a frozen leader for 3 s, since the others
/// still named it when they were asked, and its view was no longer fresh.
#[tokio::test]
async fn frozen_leader_is_left_for_the_one_elected_meanwhile() {
    let link = Arc::new(FrozenLeader { asked: AtomicUsize::new(0) });
    let finder = LeaderFinder::new(link, vec![target(1), target(2), target(3)]);
    let request = PeerRequest::Submit(Command::BalanceRanges);
    let timeout = Duration::from_millis(50);
    assert!(finder.ask(&request, timeout, accept).await.is_some(), "finds the first leader");
    assert!(finder.ask(&request, timeout, accept).await.is_some(), "finds the second one");
    assert_eq!(finder.leader(), Some(target(4)));
}
