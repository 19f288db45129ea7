//! The timer service: subscribers choose a period and receive the current time at each tick.
//!
//! One task serves all subscriptions. Ticks that a slow subscriber misses are dropped, not queued.

use parking_lot::Mutex;
use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::sync::{Notify, mpsc};

/// Maximum wait of the timer task if there are no subscriptions.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}

#[derive(Debug)]
struct TimerSlot {
    period: Duration,
    ticks: mpsc::Sender<Instant>,
}

#[derive(Debug, Default)]
struct TimerTable {
    /// Subscriptions by index; `None` once a tick could not be sent because the subscription was
    /// dropped.
    slots: Vec<Option<TimerSlot>>,
    /// Time of each slot's next tick, earliest first.
    deadlines: BinaryHeap<Reverse<(Instant, usize)>>,
}

/// A subscription to ticks. Dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerSubscription {
    ticks: mpsc::Receiver<Instant>,
}

impl TimerSubscription {
    /// Waits for the next tick. Returns `None` once the service has stopped.
    pub async fn tick(&mut self) -> Option<Instant> {
        self.ticks.recv().await
    }
}

/// Sends ticks to its subscribers periodically.
#[derive(Debug, Clone)]
pub struct TimerService {
    table: Arc<Mutex<TimerTable>>,
    changed: Arc<Notify>,
}

impl TimerService {
    /// Starts the service on the current tokio runtime.
    pub fn start() -> Self {
        let service = Self { table: Arc::default(), changed: Arc::default() };
        tokio::spawn(run_timers(service.table.clone(), service.changed.clone()));
        service
    }

    /// Subscribes to ticks with this period. The first tick is one period from now.
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        let (sender, ticks) = mpsc::channel(1);
        let mut table = self.table.lock();
        let index = table.slots.len();
        table.slots.push(Some(TimerSlot { period, ticks: sender }));
        table.deadlines.push(Reverse((now() + period, index)));
        drop(table);
        self.changed.notify_one();
        TimerSubscription { ticks }
    }
}

impl TimerTable {
    /// Sends the ticks that are due. Returns when the next one is due, if there is one.
    fn fire(&mut self, now: Instant) -> Option<Instant> {
        while let Some(Reverse((deadline, index))) = self.deadlines.peek().copied() {
            if deadline > now {
                return Some(deadline);
            }
            self.deadlines.pop();
            let Some(slot) = self.slots.get_mut(index) else {
                continue;
            };
            let Some(timer) = slot else {
                continue;
            };
            if let Err(mpsc::error::TrySendError::Closed(_)) = timer.ticks.try_send(now) {
                *slot = None;
                continue;
            }
            let next = (deadline + timer.period).max(now);
            self.deadlines.push(Reverse((next, index)));
        }
        None
    }
}

async fn run_timers(table: Arc<Mutex<TimerTable>>, changed: Arc<Notify>) {
    loop {
        let next = table.lock().fire(now());
        let wait = next.map_or(MAX_IDLE_WAIT, |deadline| deadline.saturating_duration_since(now()));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = changed.notified() => {}
        }
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
