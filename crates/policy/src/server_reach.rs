//! How many servers of a service an entry has a path to, judged by its last probe of each.

/// Fraction of a service's servers without a path above which an entry's reach is impaired.
const IMPAIRED_SHARE: f64 = 0.25;

/// How many servers of a service an entry has a path to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReach {
    /// Servers whose last probe was answered, or that have not been probed yet.
    pub reachable: usize,
    /// Servers that may receive requests according to the view.
    pub listed: usize,
}

/// A coarse degree of reach, for decisions and logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReachLevel {
    /// Servers are listed, but the entry has a path to none of them.
    Lost,
    /// The entry has no path to more than a quarter of the servers.
    Impaired,
    /// The entry has a path to most servers, or none is listed.
    #[default]
    Whole,
}

impl ReachLevel {
    /// Returns the name of the level in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Impaired => "impaired",
            Self::Whole => "whole",
        }
    }
}

impl ServerReach {
    /// Returns the degree of reach.
    pub fn level(&self) -> ReachLevel {
        match (self.reachable, self.listed) {
            (_, 0) => ReachLevel::Whole,
            (0, _) => ReachLevel::Lost,
            _ if 1.0 - self.share() > IMPAIRED_SHARE => ReachLevel::Impaired,
            _ => ReachLevel::Whole,
        }
    }

    /// Returns the fraction of the listed servers that the entry has a path to.
    pub fn share(&self) -> f64 {
        match self.listed {
            0 => 0.0,
            listed => self.reachable as f64 / listed as f64,
        }
    }
}
