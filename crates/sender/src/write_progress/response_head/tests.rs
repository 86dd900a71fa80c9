use super::{MAX_BUFFERED_HEAD, ResponseHead};

fn head_of(pieces: &[&str]) -> ResponseHead {
    let mut head = ResponseHead::default();
    for piece in pieces {
        head.append(piece.as_bytes());
    }
    head
}

#[test]
fn interim_responses_are_no_final_response_however_they_are_split() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    assert!(!head_of(&[interim]).has_final_response());
    for split in 0..=interim.len() {
        let (first, second) = interim.split_at(split);
        assert!(!head_of(&[first, second]).has_final_response(), "{split}");
        let head = head_of(&[first, second, "HTTP/1.1 200 OK\r\n"]);
        assert!(head.has_final_response() && head.has_ok_status_line(), "{split}");
    }
}

#[test]
fn only_a_complete_status_line_with_200_is_ok() {
    let cases = [
        ("", false),
        ("HTTP/1.1 200 OK", false),
        ("HTTP/1.1 200 OK\r\n", true),
        ("HTTP/1.0 200\n", true),
        ("HTTP/1.1 2000 OK\r\n", false),
        ("HTTP/1.1 201 Created\r\n", false),
        ("HTTP/2 200 OK\r\n", false),
        ("200 OK\r\n", false),
    ];
    for (text, expected) in cases {
        assert_eq!(head_of(&[text]).has_ok_status_line(), expected, "{text:?}");
    }
}

#[test]
fn the_buffer_is_bounded_and_can_be_used_for_the_next_response() {
    let mut head = head_of(&["HTTP/1.1 200 OK\r\n"]);
    head.append(&[b'x'; 2 * MAX_BUFFERED_HEAD]);
    assert_eq!(head.buffered.len(), MAX_BUFFERED_HEAD);
    assert!(head.has_ok_status_line());
    head.clear();
    assert!(!head.has_final_response());
    head.append(b"HTTP/1.1 500 No\r\n");
    assert!(head.has_final_response() && !head.has_ok_status_line());
}
