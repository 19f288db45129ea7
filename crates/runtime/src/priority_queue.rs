//! A bounded queue of several classes between asynchronous senders and one thread.
//!
//! The thread takes batches: the most important class comes first, and every class has a share of
//! each batch, so that none starves. Values of a class with an age limit are dropped once they are
//! older, because their senders no longer wait.

use parking_lot::{Condvar, Mutex};
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Limits of one class of a [`PriorityQueue`].
#[derive(Debug, Clone, Copy)]
pub struct ClassSettings {
    /// Maximum number of queued values. Further values are refused.
    pub capacity: usize,
    /// Maximum number of values in one batch.
    pub batch: usize,
    /// Age from which a value is dropped; `None` for no limit.
    pub max_age: Option<Duration>,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self { capacity: 4_096, batch: 4_096, max_age: None }
    }
}

/// A batch of values, most important first.
#[derive(Debug)]
pub struct QueueBatch<T> {
    /// The values.
    pub values: Vec<T>,
    /// Number of values that were dropped because of their age.
    pub expired: usize,
}

#[derive(Debug)]
struct QueueState<T> {
    /// The values of each class, with the time at which they were queued.
    classes: Vec<VecDeque<(Instant, T)>>,
    is_closed: bool,
}

/// A queue of values in classes; class 0 is the most important.
#[derive(Debug)]
pub struct PriorityQueue<T> {
    settings: Vec<ClassSettings>,
    state: Mutex<QueueState<T>>,
    is_ready: Condvar,
}

impl<T> PriorityQueue<T> {
    /// Returns an empty queue with one class for each of `settings`.
    pub fn new(settings: Vec<ClassSettings>) -> Self {
        let classes = settings.iter().map(|_| VecDeque::new()).collect();
        let state = Mutex::new(QueueState { classes, is_closed: false });
        Self { settings, state, is_ready: Condvar::new() }
    }

    /// Adds a value to a class.
    ///
    /// # Errors
    ///
    /// Returns the value if its class is full or does not exist, or if the queue is closed.
    pub fn push(&self, class: usize, value: T, now: Instant) -> Result<(), T> {
        let mut state = self.state.lock();
        let capacity = self.settings.get(class).map_or(0, |settings| settings.capacity);
        let is_closed = state.is_closed;
        match state.classes.get_mut(class) {
            Some(queue) if !is_closed && queue.len() < capacity => queue.push_back((now, value)),
            _ => return Err(value),
        }
        drop(state);
        self.is_ready.notify_one();
        Ok(())
    }

    /// Waits for values and returns a batch of them, which is empty if all had expired. Returns
    /// `None` once the queue is closed and empty.
    pub fn take_batch(&self) -> Option<QueueBatch<T>> {
        let mut state = self.state.lock();
        while state.classes.iter().all(VecDeque::is_empty) {
            if state.is_closed {
                return None;
            }
            self.is_ready.wait(&mut state);
        }
        let now = Instant::now();
        let mut batch = QueueBatch { values: Vec::new(), expired: 0 };
        for (queue, settings) in state.classes.iter_mut().zip(&self.settings) {
            let is_expired = |queued_at: Instant| {
                let age = now.saturating_duration_since(queued_at);
                settings.max_age.is_some_and(|max_age| age > max_age)
            };
            while queue.front().is_some_and(|(queued_at, _)| is_expired(*queued_at)) {
                queue.pop_front();
                batch.expired += 1;
            }
            let count = queue.len().min(settings.batch);
            batch.values.extend(queue.drain(..count).map(|(_, value)| value));
        }
        Some(batch)
    }

    /// Returns whether the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Closes the queue. Values that are queued already are still returned.
    pub fn close(&self) {
        self.state.lock().is_closed = true;
        self.is_ready.notify_all();
    }

    /// Closes the queue and drops all values.
    pub fn clear(&self) {
        let mut state = self.state.lock();
        state.is_closed = true;
        let dropped: Vec<_> = state.classes.iter_mut().map(std::mem::take).collect();
        drop(state);
        self.is_ready.notify_all();
        drop(dropped);
    }
}
