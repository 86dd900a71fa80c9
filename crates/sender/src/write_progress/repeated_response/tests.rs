use super::{RepeatedResponse, ResponseHead};

const SUCCESS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const REJECTION: &[u8] = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";

fn after(last_response: &[u8]) -> RepeatedResponse {
    let mut head = ResponseHead::default();
    head.append(last_response);
    RepeatedResponse::of(&head)
}

/// Pieces of bytes that are received together.
type Pieces = &'static [&'static [u8]];

#[test]
fn the_copy_is_removed_only_if_a_response_follows_it() {
    let repeated = after(SUCCESS);
    let cases: [(Pieces, Pieces); 5] = [
        (&[SUCCESS, REJECTION], &[REJECTION]),
        (&[SUCCESS, SUCCESS], &[SUCCESS]),
        (&[SUCCESS], &[SUCCESS]),
        (&[SUCCESS, b"noise"], &[SUCCESS, b"noise"]),
        (&[REJECTION, SUCCESS], &[REJECTION, SUCCESS]),
    ];
    for (received, expected) in cases {
        assert_eq!(repeated.strip_from(&received.concat()), expected.concat(), "{received:?}");
    }
}

#[test]
fn nothing_is_removed_before_the_first_response_or_after_a_long_one() {
    let received = [SUCCESS, REJECTION].concat();
    assert_eq!(RepeatedResponse::default().strip_from(&received), received);
    let long = [&b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n"[..], &[b'x'; 4_000]].concat();
    let received = [&long[..], REJECTION].concat();
    assert_eq!(after(&long).strip_from(&received), received);
}
