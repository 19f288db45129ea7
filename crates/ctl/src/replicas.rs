//! `replica init`, `add` and `remove`.

use crate::{arguments::ReplicaCommand, error::CtlError, session::OperatorSession};
use consensus::{Member, MemberRole, MembershipChange, ReplicaId};
use operator::{OperatorEndpoint, StatusPage};
use std::time::{Duration, Instant};

/// Time within which a new replica must catch up with the leader's log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between attempts to promote a learner.
const PROMOTION_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Carries out a command on the set of replicas.
pub async fn run(session: &OperatorSession, command: &ReplicaCommand) -> Result<(), CtlError> {
    match command {
        ReplicaCommand::Init => init(session).await,
        ReplicaCommand::Add { replica } => add(session, replica).await,
        ReplicaCommand::Remove { id } => remove(session, id).await,
    }
}

async fn init(session: &OperatorSession) -> Result<(), CtlError> {
    let mut members = Vec::with_capacity(session.endpoints.len());
    let mut pages = Vec::new();
    for (endpoint, page) in session.all_status().await {
        let page = page?;
        if page.replica.is_some() {
            members.push(member_of(&page, MemberRole::Voter)?);
            pages.push((endpoint, page));
        }
    }
    if members.is_empty() {
        return Err(CtlError::Usage("none of the endpoints is a replica".to_owned()));
    }
    // No replica is bootstrapped until every one is known to be empty or a member of this group.
    for (_, page) in &pages {
        check_group(page, &members)?;
    }
    for (endpoint, _) in &pages {
        session.client.post::<_, ()>(endpoint, "/v1/bootstrap", &members).await?;
    }
    println!("group of {} replicas formed", members.len());
    Ok(())
}

/// Returns an error if the page's replica belongs to a group with other members.
fn check_group(page: &StatusPage, members: &[Member]) -> Result<(), CtlError> {
    let Some(replica) = page.replica.as_ref().filter(|replica| replica.is_initialised) else {
        return Ok(());
    };
    let is_same = replica.members.len() == members.len()
        && replica
            .members
            .iter()
            .all(|known| members.iter().any(|member| member.id == known.member.id));
    if is_same {
        return Ok(());
    }
    let reason = format!("{} already belongs to a group; use `replica add`", page.process);
    Err(CtlError::RefusedRequest(reason))
}

async fn add(session: &OperatorSession, endpoint: &OperatorEndpoint) -> Result<(), CtlError> {
    let page: StatusPage = session.client.get(endpoint, "/v1/status").await?;
    let member = member_of(&page, MemberRole::Learner)?;
    let id = member.id;
    let is_known = session
        .leader_status()
        .await?
        .replica
        .is_some_and(|leader| leader.members.iter().any(|known| known.member.id == id));
    if !is_known {
        let change = MembershipChange::AddLearner(member);
        session.send::<_, ()>("/v1/membership", &change).await?;
        println!("{id} added as a learner");
    }
    let started = Instant::now();
    loop {
        let change = MembershipChange::Promote(id);
        match session.send::<_, ()>("/v1/membership", &change).await {
            Ok(()) => break,
            Err(error @ CtlError::RefusedRequest(_)) if started.elapsed() > CATCH_UP_TIMEOUT => {
                return Err(error);
            }
            Err(CtlError::RefusedRequest(_)) => tokio::time::sleep(PROMOTION_RETRY_PAUSE).await,
            Err(error) => return Err(error),
        }
    }
    println!("{id} is a voter");
    Ok(())
}

async fn remove(session: &OperatorSession, id: &str) -> Result<(), CtlError> {
    let number = u64::from_str_radix(id, 16)
        .map_err(|error| CtlError::Usage(format!("id {id:?}: {error}")))?;
    let change = MembershipChange::Remove(ReplicaId(number));
    session.send::<_, ()>("/v1/membership", &change).await?;
    println!("{id} removed");
    Ok(())
}

fn member_of(page: &StatusPage, role: MemberRole) -> Result<Member, CtlError> {
    let replica = page
        .replica
        .as_ref()
        .ok_or_else(|| CtlError::Usage(format!("{} is not a replica", page.process)))?;
    let (host, address) = (page.process.clone(), page.peer_address);
    Ok(Member { id: replica.id, host, address, domain: Some(page.domain.clone()), role })
}
