//! Whether a server that an entry cannot reach has crashed, or only the link to it is lost.
//!
//! An entry cannot tell the two apart alone: a cut link looks the same as a crashed server. So
//! several entries try to reach the server and the same few others. A server that one of them
//! reaches has not crashed. If none does, the entries' own paths are judged by the other servers,
//! leaving out those that nobody reaches: they may have crashed as well.

use smallvec::SmallVec;

/// Minimum number of other entries that must agree if no server at all was reached.
const MIN_AGREEING: usize = 2;

/// What one entry observed about a server and a sample of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashObservation {
    /// Whether the entry reached the server.
    pub reached_server: bool,
    /// Whether the entry reached each server of the sample.
    pub reached_sample: SmallVec<[bool; 4]>,
}

impl CrashObservation {
    /// Returns whether the entry reached at least half of the sample's servers for which `is_alive`
    /// holds, and at least one.
    fn has_paths(&self, is_alive: &[bool]) -> bool {
        let alive = self.reached_sample.iter().zip(is_alive).filter(|(_, is_alive)| **is_alive);
        let (mut reached, mut total) = (0, 0);
        for (is_reached, _) in alive {
            reached += usize::from(*is_reached);
            total += 1;
        }
        reached > 0 && reached * 2 >= total
    }
}

/// Returns whether the observations prove that a server has crashed. `others` holds those of the
/// other entries that answered.
///
/// No entry must have reached the server, and more than half of the entries must have paths to
/// servers. If no server of the sample was reached either, several other entries must agree.
pub fn is_crash_proved(own: &CrashObservation, others: &[CrashObservation]) -> bool {
    let observations = || others.iter().chain([own]);
    if observations().any(|observation| observation.reached_server) {
        return false;
    }
    let is_alive: SmallVec<[bool; 4]> = (0..own.reached_sample.len())
        .map(|index| observations().any(|o| o.reached_sample.get(index) == Some(&true)))
        .collect();
    if !is_alive.contains(&true) {
        return others.len() >= MIN_AGREEING;
    }
    let with_paths = observations().filter(|o| o.has_paths(&is_alive)).count();
    with_paths * 2 > others.len() + 1
}
