//! Whether a server that an entry cannot reach has crashed, or only the link to it is lost.
//!
//! An entry cannot tell the two apart alone: a cut link looks the same as a crashed server. So
//! several entries try to reach the server and the same few others. A server that one of them
//! reaches has not crashed. If none does, the entries' own paths are judged by the other servers,
//! leaving out those that nobody reaches: they may have crashed as well.

use smallvec::SmallVec;

/// Minimum number of entries that must agree on a crash.
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
    /// Returns how many of the sample's servers for which `is_alive` holds the entry reached.
    fn count_reached(&self, is_alive: &[bool]) -> usize {
        let alive = self.reached_sample.iter().zip(is_alive).filter(|(_, is_alive)| **is_alive);
        alive.filter(|(is_reached, _)| **is_reached).count()
    }
}

/// Returns whether the observations prove that a server has crashed. `others` holds those of the
/// other entries that answered.
///
/// No entry must have reached the server. Entries that reached none of the sample's servers that
/// others reached are cut off, and do not count; of the rest, more than half must have reached most
/// of these servers, and at least two if other entries answered. If no server of the
/// sample was reached, as many other entries must agree.
pub fn is_crash_proved(own: &CrashObservation, others: &[CrashObservation]) -> bool {
    let observations = || others.iter().chain([own]);
    if observations().any(|observation| observation.reached_server) {
        return false;
    }
    let is_alive: SmallVec<[bool; 4]> = (0..own.reached_sample.len())
        .map(|index| observations().any(|o| o.reached_sample.get(index) == Some(&true)))
        .collect();
    let alive = is_alive.iter().filter(|is_alive| **is_alive).count();
    if alive == 0 {
        return others.len() >= MIN_AGREEING;
    }
    let counts = || observations().map(|observation| observation.count_reached(&is_alive));
    let connected = counts().filter(|reached| *reached > 0).count();
    let with_paths = counts().filter(|reached| *reached * 2 > alive).count();
    with_paths * 2 > connected && with_paths >= MIN_AGREEING.min(others.len() + 1)
}
