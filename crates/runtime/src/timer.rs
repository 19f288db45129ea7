//! The timer service: parts subscribe to a period and are told the time at each tick.
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

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

#[derive(Debug)]
struct TimerSlot {
    period: Duration,
    ticks: mpsc::Sender<Instant>,
}

#[derive(Debug, Default)]
struct TimerTable {
    slots: Vec<Option<TimerSlot>>,
    due: BinaryHeap<Reverse<(Instant, usize)>>,
}

/// Ticks of one subscription; ends the subscription when dropped.
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

/// Wakes its subscribers periodically.
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

    /// Subscribes to ticks with this period, the first one period from now.
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        let (sender, ticks) = mpsc::channel(1);
        let mut table = self.table.lock();
        let slot = table.slots.len();
        table.slots.push(Some(TimerSlot { period, ticks: sender }));
        table.due.push(Reverse((now() + period, slot)));
        drop(table);
        self.changed.notify_one();
        TimerSubscription { ticks }
    }
}

impl TimerTable {
    /// Sends the ticks that are due. Returns when the next one is.
    fn fire(&mut self, now: Instant) -> Option<Instant> {
        while let Some(Reverse((due, slot))) = self.due.peek().copied() {
            if due > now {
                return Some(due);
            }
            self.due.pop();
            let Some(entry) = self.slots.get_mut(slot) else {
                continue;
            };
            let Some(timer) = entry else {
                continue;
            };
            if let Err(mpsc::error::TrySendError::Closed(_)) = timer.ticks.try_send(now) {
                *entry = None;
                continue;
            }
            let next = (due + timer.period).max(now);
            self.due.push(Reverse((next, slot)));
        }
        None
    }
}

async fn run_timers(table: Arc<Mutex<TimerTable>>, changed: Arc<Notify>) {
    loop {
        let next = table.lock().fire(now());
        let wait = next.map_or(Duration::from_secs(1), |due| due.saturating_duration_since(now()));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = changed.notified() => {}
        }
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
