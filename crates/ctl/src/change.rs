//! `validate`, `diff`, `apply`, `drain` and `undrain`.

use crate::{arguments::ApplyArguments, error::CtlError, session::OperatorSession};
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

/// Pause between status checks while waiting for a change.
const STATUS_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Maximum wait for a change to be in force at every entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(14);

/// JSON output for an accepted change.
#[derive(Serialize)]
struct AcceptedChange {
    id: Uuid,
    #[serde(flatten)]
    answer: ChangeAnswer,
}

/// Validates a document without connecting to the system.
pub fn validate(file: &Path) -> Result<(), CtlError> {
    let document = read_document(file)?;
    println!("{}: valid, {} services", document.team, document.services.len());
    Ok(())
}

/// Shows how a document differs from the one in force.
pub async fn diff(session: &OperatorSession, file: &Path) -> Result<(), CtlError> {
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

/// Applies a document.
pub async fn apply(session: &OperatorSession, options: &ApplyArguments) -> Result<(), CtlError> {
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
    submit_change(
        session,
        ChangeRequest { id: ChangeId(id), expected_version, action },
        options.wait,
    )
    .await
}

/// Takes a failure domain out of service or brings it back.
pub async fn set_drain(
    session: &OperatorSession,
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
    submit_change(session, ChangeRequest { id, expected_version, action }, wait).await
}

/// Submits a change and prints the version that it was accepted as; a refusal is returned as an
/// error. With `wait`, also waits until the change is in force at every entry.
async fn submit_change(
    session: &OperatorSession,
    change: ChangeRequest,
    wait: bool,
) -> Result<(), CtlError> {
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
        session.print_json(&AcceptedChange { id, answer })?;
    } else {
        println!("accepted as version {version}, change {id}");
    }
    if wait { wait_in_force(session).await } else { Ok(()) }
}

/// Waits until the view of every registered entry is at least as new as the leader's view at the
/// first check.
async fn wait_in_force(session: &OperatorSession) -> Result<(), CtlError> {
    let started = Instant::now();
    let mut target: Option<ViewVersion> = None;
    while started.elapsed() < IN_FORCE_TIMEOUT {
        if let Ok(page) = session.leader_status().await
            && let Some(replica) = page.replica
        {
            let target = *target.get_or_insert(replica.view);
            let total = replica.entries.len();
            let current = replica.entries.iter().filter(|entry| entry.view >= Some(target)).count();
            // Entries of a system that has just started may not be registered yet.
            if total > 0 && current == total {
                let elapsed = started.elapsed().as_millis();
                eprintln!("in force at all {total} entries after {elapsed} ms");
                return Ok(());
            }
            eprintln!("in force at {current} of {total} entries");
        }
        tokio::time::sleep(STATUS_CHECK_PAUSE).await;
    }
    let timeout_s = IN_FORCE_TIMEOUT.as_secs();
    Err(CtlError::Unreachable(format!("not in force at every entry after {timeout_s} s")))
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

/// Returns the lines that occur in only one of the texts: first those of the old text, marked `-`,
/// then those of the new text, marked `+`.
fn diff_lines(old: &str, new: &str) -> Vec<String> {
    let old_lines: BTreeSet<&str> = old.lines().collect();
    let new_lines: BTreeSet<&str> = new.lines().collect();
    let removed = old.lines().filter(|line| !new_lines.contains(line));
    let added = new.lines().filter(|line| !old_lines.contains(line));
    let removed = removed.map(|line| format!("- {line}"));
    removed.chain(added.map(|line| format!("+ {line}"))).collect()
}
