//! Requests that servers have answered lately.

use hawthornhill_policy::RecentAnswers;
use std::time::{Duration, Instant};
use types::{HeadHash, RequestFingerprint};

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint::new(HeadHash::new("GET", "a.example", "/x/", 8), &number.to_be_bytes())
}

/// Guards against an answer that counts for too long, or that an earlier one to the same request
/// takes along when it goes.
#[test]
fn answers_are_kept_for_a_minute() {
    let (start, mut answers) = (Instant::now(), RecentAnswers::default());
    let at = |seconds| start + Duration::from_secs(seconds);
    answers.record(at(0), request(1));
    answers.record(at(0), request(2));
    answers.record(at(50), request(1));
    assert!(answers.contains(at(59), &request(2)));
    assert!(!answers.contains(at(60), &request(2)));
    answers.record(at(70), request(3));
    assert!(answers.contains(at(109), &request(1)));
    assert!(!answers.contains(at(110), &request(1)));
    assert!(!answers.contains(at(70), &request(4)));
}

/// Guards against memory that grows with the rate of requests.
#[test]
fn oldest_answers_go_when_there_are_too_many() {
    let (now, mut answers) = (Instant::now(), RecentAnswers::default());
    for number in 0..10_000 {
        answers.record(now, request(number));
        answers.record(now, request(0));
    }
    assert!(answers.contains(now, &request(0)));
    assert!(answers.contains(now, &request(9_999)));
    assert!(!answers.contains(now, &request(5_000)));
}
