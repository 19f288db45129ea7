//! Server selectors that performed worse than `policy::LatencySelector`, kept as benchmark
//! baselines.

use policy::{CandidateLoad, ServerSelector};
use rand::{Rng, RngCore, seq::IteratorRandom};

/// Picks a random server with free capacity.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomSelector;

impl ServerSelector for RandomSelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        available_indexes(candidates).choose(rng)
    }
}

/// Draws two random servers with free capacity and picks the one that has fewer of this entry's
/// requests in flight.
#[derive(Debug, Clone, Copy, Default)]
pub struct InFlightSelector;

impl ServerSelector for InFlightSelector {
    fn pick(&self, candidates: &[CandidateLoad], rng: &mut dyn RngCore) -> Option<usize> {
        let first = available_indexes(candidates).choose(rng)?;
        let others = available_indexes(candidates).filter(|index| *index != first);
        let Some(second) = others.choose(rng) else {
            return Some(first);
        };
        let (a, b) = (candidates[first].in_flight, candidates[second].in_flight);
        let is_second_better = b < a || (a == b && rng.random_bool(0.5));
        Some(if is_second_better { second } else { first })
    }
}

fn available_indexes(candidates: &[CandidateLoad]) -> impl Iterator<Item = usize> + '_ {
    let indexes = candidates.iter().enumerate();
    indexes.filter(|(_, candidate)| candidate.has_capacity()).map(|(index, _)| index)
}
