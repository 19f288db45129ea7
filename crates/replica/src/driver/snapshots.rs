//! Snapshots: the initial one of a new set of replicas, those that compact the log, and those
//! received from the leader.

use super::ReplicaDriver;
use crate::{
    HistoryLimits,
    store::{LogBatch, StoreError},
};
use consensus::{Consensus, LogIndex, Member, Membership, RestoredState, SnapshotImage, Term};
use slog::{error, info, warn};
use std::sync::Arc;
use types::{ClusterState, LogTime};

/// Minimum log size in bytes for a snapshot. The log must also be at least twice as large as the
/// last snapshot, or reach [`crate::HistoryLimits::log_file_bytes`].
const SNAPSHOT_MIN_LOG_BYTES: u64 = 4 * 1024 * 1024;

impl ReplicaDriver {
    pub(super) fn bootstrap(&mut self, members: Vec<Member>) -> Result<(), String> {
        let ids = |membership: &Membership| {
            let mut ids: Vec<_> = membership.members().iter().map(|member| member.id).collect();
            ids.sort();
            ids
        };
        let membership = Membership::new(members);
        if self.core.last_index() > LogIndex(0) {
            return if ids(self.core.membership()) == ids(&membership) {
                Ok(())
            } else {
                Err("this replica belongs to a group already".to_owned())
            };
        }
        if !membership.is_voter(self.settings.identity) {
            return Err("this replica is not among the members".to_owned());
        }
        let state = encode_state(&self.state).map_err(|error| error.to_string())?;
        let (index, term, time) = (LogIndex(1), Term(1), LogTime::default());
        let image = SnapshotImage { index, term, time, membership, state };
        let hard_state = self.core.hard_state();
        let batch = LogBatch { hard_state: Some(hard_state), ..LogBatch::default() };
        self.store.install_snapshot(&image, &batch).map_err(|error| error.to_string())?;
        let restored = RestoredState { hard_state, image: Some(image), entries: Vec::new() };
        self.core = Consensus::new(self.settings.identity, self.settings.core.clone(), restored);
        self.applied = index;
        info!(self.settings.logger, "new set of replicas bootstrapped");
        Ok(())
    }

    pub(super) fn install_snapshot(&mut self, image: &SnapshotImage) {
        match decode_state(Some(image), &self.settings.history) {
            Ok(state) => {
                self.state = state;
                self.applied = image.index;
                self.snapshot_bytes = image.state.len() as u64;
                info!(self.settings.logger, "snapshot installed"; "index" => image.index.0);
            }
            Err(error) => {
                error!(self.settings.logger, "failed to decode a snapshot from the leader";
                    "error" => %error);
            }
        }
    }

    pub(super) fn make_snapshot_if_due(&mut self) {
        let limits = self.settings.history;
        let limit = (2 * self.snapshot_bytes).min(limits.log_file_bytes);
        let limit = limit.max(SNAPSHOT_MIN_LOG_BYTES);
        if self.store.log_bytes() < limit {
            return;
        }
        let Ok(state) = encode_state(&self.state) else {
            return;
        };
        self.snapshot_bytes = state.len() as u64;
        let hard_state = Some(self.core.hard_state());
        let compacted = self.core.compact(self.applied, state, limits.retained_log);
        let Some(image) = compacted.cloned() else {
            return;
        };
        let newer = self.core.entries().iter().filter(|entry| entry.index > image.index);
        let entries = newer.cloned().collect();
        let batch = LogBatch { hard_state, truncate_from: None, entries };
        match self.store.install_snapshot(&image, &batch) {
            Ok(()) => self.settings.counters.count("snapshot-made"),
            Err(error) => {
                self.settings.counters.count("snapshot-failed");
                warn!(self.settings.logger, "failed to write a snapshot"; "error" => %error);
            }
        }
    }
}

fn encode_state(state: &ClusterState) -> Result<Arc<[u8]>, postcard::Error> {
    Ok(postcard::to_stdvec(state)?.into())
}

/// Decodes the state machine from a snapshot. Returns an empty one if there is no snapshot.
pub(super) fn decode_state(
    image: Option<&SnapshotImage>,
    limits: &HistoryLimits,
) -> Result<ClusterState, StoreError> {
    let mut state = match image {
        None => ClusterState::default(),
        Some(image) => postcard::from_bytes(&image.state).map_err(|error| StoreError::Damaged {
            path: "snapshot".into(),
            offset: 0,
            reason: error.to_string(),
        })?,
    };
    state.set_view_log_bytes(limits.view_log_bytes);
    Ok(state)
}
