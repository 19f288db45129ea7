//! Ways of choosing a server that lost against `policy::LatencySelector`, kept to measure against.

use policy::{CandidateLoad, ServerSelector};
use rand::{Rng, RngCore, seq::IteratorRandom};

/// Picks any server with room.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomSelector;

impl ServerSelector for RandomSelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        with_room(candidates).choose(rng)
    }
}

/// Picks the one with fewer own requests in flight, of two drawn at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct InFlightSelector;

impl ServerSelector for InFlightSelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        let first = with_room(candidates).choose(rng)?;
        let others = with_room(candidates).filter(|index| *index != first);
        let Some(second) = others.choose(rng) else {
            return Some(first);
        };
        let (a, b) = (candidates[first].in_flight, candidates[second].in_flight);
        let takes_second = b < a || (a == b && rng.random_bool(0.5));
        Some(if takes_second { second } else { first })
    }
}

fn with_room(candidates: &[CandidateLoad]) -> impl Iterator<Item = usize> + '_ {
    let indexes = candidates.iter().enumerate();
    indexes.filter(|(_, candidate)| candidate.has_capacity()).map(|(index, _)| index)
}
