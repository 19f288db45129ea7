//! Fingerprints of requests, which entries on different hosts compare.

use hawthornhill_types::{HeadHash, RequestFingerprint};

/// Guards against requests that differ and are taken for alike, also where the same bytes lie in
/// other parts, and against hosts that compute other fingerprints.
#[test]
fn only_alike_requests_have_the_same_fingerprint() {
    let requests = [
        ("GET", "a.example", "/x/", ""),
        ("POST", "a.example", "/x/", ""),
        ("GET", "a.exampl", "e/x/", ""),
        ("GET", "a.example", "/x/?q=1", ""),
        ("GET", "a.example", "/x", "/"),
        ("GET", "a.example", "/x/", "body"),
        ("GET", "a.example", "/x/", "bodx"),
    ];
    let fingerprint = |(method, host, target, body): (&str, &str, &str, &str)| {
        let head = HeadHash::new(method, host, target, body.len());
        RequestFingerprint::new(head, body.as_bytes())
    };
    for (index, request) in requests.iter().enumerate() {
        assert_eq!(fingerprint(*request), fingerprint(*request));
        for other in &requests[..index] {
            assert_ne!(fingerprint(*request), fingerprint(*other), "{request:?} and {other:?}");
        }
    }
    assert_eq!(fingerprint(requests[0]).to_string(), "619642eac687032ce3b0c44298fc1c14");
}
