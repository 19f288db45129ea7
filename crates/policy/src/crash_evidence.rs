//! Whether a server that an entry cannot reach has crashed, or only the link to it is lost.
//!
//! An entry cannot tell the two apart alone: a cut link looks the same as a crashed server. So the
//! observations of several entries are compared, and each counts only if its entry reached
//! other servers at the same time.

/// What one entry observed about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashObservation {
    /// The server accepted a connection, and no other server answered at its address.
    Running,
    /// The server is gone or another one answers, while most other servers could be reached.
    Crashed,
    /// The server could not be reached, and neither could most others.
    NoPath,
}

impl CrashObservation {
    /// Returns the observation of an entry that cannot reach the server, but `reached` of `sampled`
    /// others.
    pub fn of_crashed(reached: usize, sampled: usize) -> Self {
        if proves_paths(reached, sampled) { Self::Crashed } else { Self::NoPath }
    }
}

/// Returns whether an entry that reached `reached` of `sampled` servers has not lost its paths.
pub fn proves_paths(reached: usize, sampled: usize) -> bool {
    reached > 0 && reached * 2 >= sampled
}

/// Returns whether the observations prove that a server has crashed. `others` holds those of the
/// entries that answered.
///
/// One entry that reaches the server refutes the crash. If other entries answered, one of them must
/// have seen it too; an entry that no other answers relies on its own observation.
pub fn is_crash_proved(own: CrashObservation, others: &[CrashObservation]) -> bool {
    if own == CrashObservation::Running || others.contains(&CrashObservation::Running) {
        return false;
    }
    match others {
        [] => own == CrashObservation::Crashed,
        others => others.contains(&CrashObservation::Crashed),
    }
}
