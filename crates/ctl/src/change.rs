//! `validate`, `diff`, `apply`, `drain` and `undrain`.

use crate::{arguments::ApplyArguments, error::CtlError, session::Session};
use operator::ViewPage;
use serde::Serialize;
use std::{
    collections::BTreeSet,
    io::Read,
    path::Path,
    time::{Duration, Instant},
};
use types::{
    ChangeAction, ChangeAnswer, ChangeId, ChangeRequest, DocumentVersion, DomainName, TeamDocument,
    ViewVersion,
};
use uuid::Uuid;

/// Period of looks at the entries while waiting.
const WAIT_PERIOD: Duration = Duration::from_millis(100);
/// The longest wait for a change to be in force at every entry.
const WAIT_LIMIT: Duration = Duration::from_secs(14);

#[derive(Serialize)]
struct DecidedChange {
    id: Uuid,
    #[serde(flatten)]
    answer: ChangeAnswer,
}

/// Checks a document.
pub fn validate(file: &Path) -> Result<(), CtlError> {
    let document = read_document(file)?;
    println!("{}: valid, {} services", document.team, document.services.len());
    Ok(())
}

/// Shows how a document differs from the one in force.
pub async fn diff(session: &Session, file: &Path) -> Result<(), CtlError> {
    let document = read_document(file)?;
    let view: ViewPage = session.read("/v1/view").await?;
    let current = view.documents.iter().find(|known| known.document.team == document.team);
    let (version, old) = match current {
        Some(known) => (known.version, known.document.to_json()),
        None => (DocumentVersion(0), String::new()),
    };
    println!("team {}, version {version} in force", document.team);
    for line in diff_lines(&old, &document.to_json()) {
        println!("{line}");
    }
    Ok(())
}

/// Puts a document in force.
pub async fn apply(session: &Session, options: &ApplyArguments) -> Result<(), CtlError> {
    let document = read_document(&options.file)?;
    let expected_version = match options.expected_version {
        Some(version) => DocumentVersion(version),
        None => {
            let view: ViewPage = session.read("/v1/view").await?;
            let known = view.documents.iter().find(|known| known.document.team == document.team);
            known.map(|known| known.version).unwrap_or_default()
        }
    };
    let id = options.change_id.unwrap_or_else(Uuid::now_v7);
    let action = ChangeAction::Document(document);
    decide(session, ChangeRequest { id: ChangeId(id), expected_version, action }, options.wait)
        .await
}

/// Takes a failure domain out of service or brings it back.
pub async fn set_drain(
    session: &Session,
    domain: &DomainName,
    is_drained: bool,
    wait: bool,
) -> Result<(), CtlError> {
    let view: ViewPage = session.read("/v1/view").await?;
    let known = view.drains.iter().find(|known| known.domain == *domain);
    let expected_version = known.map(|known| known.version).unwrap_or_default();
    let action = if is_drained {
        ChangeAction::Drain(domain.clone())
    } else {
        ChangeAction::Undrain(domain.clone())
    };
    let id = ChangeId(Uuid::now_v7());
    decide(session, ChangeRequest { id, expected_version, action }, wait).await
}

async fn decide(session: &Session, change: ChangeRequest, wait: bool) -> Result<(), CtlError> {
    let id = change.id.0;
    let answer: ChangeAnswer =
        session.send("/v1/changes", &change).await.map_err(|error| match error {
            CtlError::Unreachable(reason) => CtlError::Unreachable(format!(
                "{reason}; resend with the same id: --change-id {id}"
            )),
            other => other,
        })?;
    let ChangeAnswer::Accepted { version } = answer else {
        return Err(CtlError::Refused(answer));
    };
    if session.json {
        session.print_json(&DecidedChange { id, answer })?;
    } else {
        println!("accepted as version {version}, change {id}");
    }
    if wait { wait_in_force(session).await } else { Ok(()) }
}

/// Waits until every registered entry has a view that is at least as new as the leader's now.
async fn wait_in_force(session: &Session) -> Result<(), CtlError> {
    let started = Instant::now();
    let mut target: Option<ViewVersion> = None;
    while started.elapsed() < WAIT_LIMIT {
        if let Ok(page) = session.leader_status().await
            && let Some(replica) = page.replica
        {
            let target = *target.get_or_insert(replica.view);
            let all = replica.entries.len();
            let done = replica.entries.iter().filter(|e| e.view >= Some(target)).count();
            // Entries of a system that has just started may not be registered yet.
            if all > 0 && done == all {
                let elapsed = started.elapsed().as_millis();
                eprintln!("in force at all {all} entries after {elapsed} ms");
                return Ok(());
            }
            eprintln!("in force at {done} of {all} entries");
        }
        tokio::time::sleep(WAIT_PERIOD).await;
    }
    Err(CtlError::Unreachable("not confirmed by all entries yet".to_owned()))
}

fn read_document(file: &Path) -> Result<TeamDocument, CtlError> {
    let name = file.display();
    let usage = |reason: String| CtlError::Usage(format!("{name}: {reason}"));
    let mut text = Vec::new();
    if file == Path::new("-") {
        std::io::stdin().read_to_end(&mut text).map_err(|error| usage(error.to_string()))?;
    } else {
        text = std::fs::read(file).map_err(|error| usage(error.to_string()))?;
    }
    TeamDocument::parse(&text).map_err(|error| usage(error.to_string()))
}

/// Returns the lines that only one of two texts has, marked, in the order of the new text.
fn diff_lines(old: &str, new: &str) -> Vec<String> {
    let old_lines: BTreeSet<&str> = old.lines().collect();
    let new_lines: BTreeSet<&str> = new.lines().collect();
    let removed = old.lines().filter(|line| !new_lines.contains(line));
    let added = new.lines().filter(|line| !old_lines.contains(line));
    let removed = removed.map(|line| format!("- {line}"));
    removed.chain(added.map(|line| format!("+ {line}"))).collect()
}
