//! Bytes of malformed requests.

use crate::scenario::SeededRng;

/// Draws the bytes of a malformed request. No sender may accept any of them as a message.
pub(super) fn malformed_request(rng: &mut SeededRng) -> Vec<u8> {
    let post = |headers: &str, body: &str| {
        format!("POST /safe HTTP/1.1\r\nHost: a\r\nX-Org: tenant-b\r\n{headers}\r\n\r\n{body}").into_bytes()
    };
    match rng.integer(0, 8) {
        0 => (0..200).map(|_| rng.integer(0, 256) as u8).collect(),
        1 => post("X-Txn: bad\r\nX-Remaining: never\r\nX-Route-To: dest=1\r\nContent-Length: 4", "text"),
        2 => post("X-Remaining: 5\r\nX-Route-To: dest=1\r\nContent-Length: 4", "text"),
        3 => post("X-Txn: bad\r\nX-Remaining: 5\r\nX-Route-To: dest=60000\r\nContent-Length: 4", "text"),
        4 => post("X-Txn: bad\r\nX-Remaining: 5\r\nX-Route-To: dest=1\r\nContent-Length: -4", "text"),
        5 => post("X-Txn: bad\r\nX-Remaining: 5\r\nX-Route-To: dest=1\r\nContent-Length: 400", "half"),
        6 => format!("GET /{} HTTP/1.1\r\nX: ", "y".repeat(20_000)).into_bytes(),
        _ => Vec::new(),
    }
}
