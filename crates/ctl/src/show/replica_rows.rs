//! Rows about replicas in the output of `status`.

use operator::StatusPage;

/// Returns a row for the page's replica and, if it is the leader, one for each follower.
pub fn replica_rows(page: &StatusPage) -> Vec<String> {
    let Some(replica) = &page.replica else {
        return Vec::new();
    };
    let role = match (replica.is_initialised, replica.is_leader, replica.is_stalled) {
        (false, _, _) => "empty",
        (_, _, true) => "STALLED",
        (_, true, _) => "leader",
        (_, false, _) => "follower",
    };
    let mut rows = vec![format!(
        "{:<16} {} {:<14} {role:<8} term {} commit {} claims {}",
        page.process, replica.id, page.domain, replica.term, replica.commit, replica.claims
    )];
    for member in replica.members.iter().filter(|member| member.lag.is_some()) {
        let (lag, host) = (member.lag.unwrap_or_default(), &member.member.host);
        let state = if member.is_active == Some(true) { "active" } else { "SILENT" };
        let kind = format!("{:?}", member.member.role).to_lowercase();
        rows.push(format!("  {host:<14} {} {kind:<8} {state} lag {lag}", member.member.id));
    }
    rows
}
