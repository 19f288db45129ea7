//! When a refused caller is told to come back.

use std::time::Duration;

/// The shortest wait that a refused caller is told.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// The longest wait that a refused caller is told.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// When servers are expected to take a request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomOutlook {
    /// At once: the server that refused had free slots, and another one will run it.
    Now,
    /// After this time.
    After(Duration),
}

/// Returns the time after which a refused caller should come back: when there will be room, and
/// then spread evenly over as long again, so that those refused together do not return together.
/// `draw` is uniform from 0 to 1.
pub fn plan_return(outlook: RoomOutlook, draw: f64) -> Duration {
    let until_room = match outlook {
        RoomOutlook::Now => MIN_WAIT,
        RoomOutlook::After(wait) => wait,
    };
    let earliest = until_room.clamp(MIN_WAIT, MAX_WAIT / 2);
    earliest.mul_f64(1.0 + draw.clamp(0.0, 1.0))
}
