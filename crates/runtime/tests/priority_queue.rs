//! The input queue of a busy replica: heartbeats and votes behind a flood of reads.

use hawthornhill_runtime::{ClassSettings, PriorityQueue};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const CONSENSUS: usize = 0;
const ORDER: usize = 1;
const READ: usize = 2;

fn queue() -> PriorityQueue<(usize, usize)> {
    PriorityQueue::new(vec![
        ClassSettings { batch: 100, ..ClassSettings::default() },
        ClassSettings { batch: 10, ..ClassSettings::default() },
        ClassSettings { batch: 5, capacity: 1_000, max_age: Some(Duration::from_millis(400)) },
    ])
}

/// Pattern: hundreds of entries ask a leader for views at once. Guards against a leader whose
/// heartbeats wait behind these reads, so that it is deposed.
#[test]
fn consensus_messages_overtake_a_flood_of_reads() {
    let queue = queue();
    let now = Instant::now();
    for number in 0..1_000 {
        queue.push(READ, (READ, number), now).expect("has room");
    }
    queue.push(ORDER, (ORDER, 0), now).expect("has room");
    queue.push(CONSENSUS, (CONSENSUS, 0), now).expect("has room");
    let batch = queue.take_batch().expect("open").values;
    assert_eq!(batch[..2], [(CONSENSUS, 0), (ORDER, 0)]);
    assert_eq!(batch.len(), 2 + 5, "the batch holds few reads, so that the next one starts soon");
    // Further reads are refused, and nothing else is.
    assert!(queue.push(READ, (READ, 1_000), now).is_ok());
    while queue.push(READ, (READ, 1_001), now).is_ok() {}
    assert!(queue.push(CONSENSUS, (CONSENSUS, 1), now).is_ok());
    assert_eq!(queue.take_batch().expect("open").values[0], (CONSENSUS, 1));
}

/// Pattern: consensus messages arrive without pause. Guards against reads that are never served.
#[test]
fn reads_have_a_share_of_each_batch() {
    let queue = queue();
    let now = Instant::now();
    (0..20).for_each(|number| queue.push(READ, (READ, number), now).expect("has room"));
    let mut served = 0;
    for _ in 0..4 {
        (0..200).for_each(|n| queue.push(CONSENSUS, (CONSENSUS, n), now).expect("has room"));
        let batch = queue.take_batch().expect("open").values;
        served += batch.iter().filter(|(class, _)| *class == READ).count();
    }
    assert_eq!(served, 20);
}

/// Guards against work for requesters that have given up: under overload, all served reads would
/// be too late.
#[test]
fn old_reads_are_dropped_and_counted() {
    let queue = queue();
    let now = Instant::now();
    let old = now - Duration::from_secs(1);
    (0..50).for_each(|number| queue.push(READ, (READ, number), old).expect("has room"));
    queue.push(READ, (READ, 50), now).expect("has room");
    queue.push(ORDER, (ORDER, 0), old).expect("has room");
    let batch = queue.take_batch().expect("open");
    assert_eq!(batch.values, [(ORDER, 0), (READ, 50)]);
    assert_eq!(batch.expired, 50);
}

#[test]
fn closed_queue_returns_what_is_queued_and_then_ends() {
    let queue = Arc::new(queue());
    queue.push(ORDER, (ORDER, 7), Instant::now()).expect("has room");
    queue.close();
    assert_eq!(queue.push(ORDER, (ORDER, 8), Instant::now()), Err((ORDER, 8)));
    assert_eq!(queue.take_batch().expect("one is queued").values, [(ORDER, 7)]);
    assert!(queue.take_batch().is_none());
    // A waiting thread is woken.
    let waiting = Arc::new(self::queue());
    let thread = std::thread::spawn({
        let waiting = waiting.clone();
        move || waiting.take_batch().is_none()
    });
    std::thread::sleep(Duration::from_millis(50));
    waiting.clear();
    assert!(thread.join().expect("ends"));
}
