use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rudderspindle_journal::MAX_BODY;
use rudderspindle_policy::interface::{DestinationId, Settings};
use rudderspindle_policy::settings::Names;

use super::super::rejection::RequestRejection;
use super::{MAX_HEADER_VALUE_LEN, SubmissionHead};

fn settings() -> (Settings, Names) {
    let json = serde_json::json!({
        "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
        "lanes": [
            {"name": "safe", "effect": "free", "deadline": 9000.0},
            {"name": "keyed", "effect": "guarded", "window": 9000.0, "deadline": 9000.0}]});
    let settings = rudderspindle_policy::settings::read(&json).expect("valid settings");
    let names = rudderspindle_policy::settings::names(&json).expect("valid names");
    (settings, names)
}

fn parse(path: &str, headers: &[(&str, &str)], body: Bytes) -> Result<SubmissionHead, RequestRejection> {
    let (settings, names) = settings();
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body)).expect("valid request");
    SubmissionHead::parse(&request, &settings, &names)
}

const VALID: [(&str, &str); 3] = [("X-Txn", "m1"), ("X-Remaining", "5.5"), ("X-Route-To", "zone=a, dest=7")];

/// The valid headers with the value of one replaced, or that header removed if `value` is `None`.
fn with_header(name: &'static str, value: Option<&'static str>) -> Vec<(&'static str, &'static str)> {
    let mut headers: Vec<_> = VALID.into_iter().filter(|header| header.0 != name).collect();
    if let Some(value) = value {
        headers.push((name, value));
    }
    headers
}

#[test]
fn a_valid_head_is_read() {
    let head = parse("/safe/more", &VALID, Bytes::from_static(b"text")).expect("a valid head");
    assert_eq!((head.class, head.tenant, head.destination), (0, 0, DestinationId(7)));
    assert_eq!((&*head.message_id, head.remaining_s, head.body_len), ("m1", 5.5, 4));
    assert_eq!(head.idempotency_key, None);
}

#[test]
fn each_invalid_header_is_rejected_with_its_reason() {
    let too_long = "x".repeat(MAX_HEADER_VALUE_LEN + 1);
    let too_long: &'static str = too_long.leak();
    let cases = [
        (with_header("Transfer-Encoding", Some("chunked")), "Transfer-Encoding"),
        (with_header("X-Txn", None), "bad X-Txn"),
        (with_header("X-Txn", Some("")), "bad X-Txn"),
        (with_header("X-Txn", Some(too_long)), "bad X-Txn"),
        (with_header("X-Org", Some("nobody")), "unknown tenant"),
        (with_header("X-Route-To", None), "bad X-Route-To"),
        (with_header("X-Route-To", Some("dest=x")), "bad X-Route-To"),
        (with_header("X-Route-To", Some("dest=65536")), "bad X-Route-To"),
        (with_header("X-Remaining", None), "bad X-Remaining"),
        (with_header("X-Remaining", Some("-1")), "bad X-Remaining"),
        (with_header("X-Remaining", Some("inf")), "bad X-Remaining"),
        (with_header("Idempotency-Key", Some(too_long)), "bad Idempotency-Key"),
    ];
    for (headers, expected_body) in cases {
        let rejection = parse("/safe", &headers, Bytes::new()).expect_err("a rejection");
        assert_eq!(rejection.to_string(), expected_body, "{headers:?}");
        assert_eq!(rejection.into_response().status(), StatusCode::BAD_REQUEST, "{headers:?}");
    }
}

#[test]
fn an_unknown_class_is_not_found_and_a_long_body_is_too_large() {
    let rejection = parse("/other", &VALID, Bytes::new()).expect_err("a rejection");
    assert_eq!(rejection.into_response().status(), StatusCode::NOT_FOUND);
    let body = Bytes::from(vec![0; MAX_BODY + 1]);
    let rejection = parse("/safe", &VALID, body).expect_err("a rejection");
    assert_eq!(rejection.into_response().status(), StatusCode::PAYLOAD_TOO_LARGE);
    let body = Bytes::from(vec![0; MAX_BODY]);
    assert_eq!(parse("/safe", &VALID, body).expect("a valid head").body_len as usize, MAX_BODY);
}

#[test]
fn a_class_with_idempotency_keys_rejects_a_message_without_one() {
    for headers in [VALID.to_vec(), with_header("Idempotency-Key", Some(""))] {
        let rejection = parse("/keyed", &headers, Bytes::new()).expect_err("a rejection");
        assert_eq!(rejection.to_string(), "bad Idempotency-Key");
    }
    let headers = with_header("Idempotency-Key", Some("k"));
    let head = parse("/keyed", &headers, Bytes::new()).expect("a valid head");
    assert_eq!(head.idempotency_key.as_deref(), Some(&b"k"[..]));
}
