//! Decoding of lists and heartbeats, independent of how the bytes of a watch are split.

use proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};
use serde_json::{Value, json};

use super::{DecodeError, Decoder, MAX_LIST_LEN, WatchEvent};

/// A list's revision, `complete`, and the ids of its members; `None` for a heartbeat.
type Decoded = Option<(u64, bool, Vec<String>)>;

fn entry(id: &str) -> Value {
    json!({"id": id, "host_port": "10.1.0.18:9000", "locality": "a", "flavor": "m2", "cell": 3,
           "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
}

fn list(revision: u64, members: &[&str]) -> Value {
    let members: Vec<Value> = members.iter().map(|id| entry(id)).collect();
    json!({"revision": revision, "complete": false, "members": members})
}

/// The events decoded from these parts of a body, up to the first error.
fn decode<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Decoded>, Result<(), DecodeError>) {
    let (mut decoder, mut decoded) = (Decoder::default(), Vec::new());
    for part in parts {
        decoder.feed(part);
        loop {
            match decoder.next() {
                Ok(Some(WatchEvent::Heartbeat)) => decoded.push(None),
                Ok(Some(WatchEvent::List(list))) => {
                    let ids = list.members.into_iter().map(|member| member.id).collect();
                    decoded.push(Some((list.revision, list.complete, ids)));
                }
                Ok(None) => break,
                Err(error) => return (decoded, Err(error)),
            }
        }
    }
    (decoded, Ok(()))
}

/// An event, and its encoding: a list on one line or indented, or an empty line, with either kind of line end.
fn event() -> impl Strategy<Value = (Decoded, String)> {
    let id = prop_oneof!["[a-z]{1,6}", Just("{[\"\\\n}]".to_owned()), Just("s-\u{e9}\u{4e2d}".to_owned())];
    let list = (any::<u64>(), any::<bool>(), prop::collection::vec(id, 0..4), any::<bool>());
    let list = list.prop_map(|(revision, complete, ids, indented)| {
        let members: Vec<Value> = ids.iter().map(|id| entry(id)).collect();
        let value = json!({"revision": revision, "complete": complete, "members": members});
        let text =
            if indented { serde_json::to_string_pretty(&value) } else { serde_json::to_string(&value) };
        (Some((revision, complete, ids)), text.expect("JSON"))
    });
    (prop_oneof![3 => list, 1 => Just((None, String::new()))], any::<bool>())
        .prop_map(|((decoded, text), crlf)| (decoded, text + if crlf { "\r\n" } else { "\n" }))
}

proptest! {
    #[test]
    fn the_events_are_the_same_when_split_at_any_byte(events in prop::collection::vec(event(), 1..5)) {
        let expected: Vec<Decoded> = events.iter().map(|(decoded, _)| decoded.clone()).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|(_, text)| text.bytes()).collect();
        for cut in 0..=bytes.len() {
            let (decoded, end) = decode([&bytes[..cut], &bytes[cut..]]);
            prop_assert!(end.is_ok(), "cut at {}: {:?}", cut, end);
            prop_assert_eq!(&decoded, &expected, "cut at {}", cut);
        }
        let (decoded, end) = decode(bytes.chunks(1));
        prop_assert!(end.is_ok(), "{:?}", end);
        prop_assert_eq!(&decoded, &expected, "byte by byte");
    }

    #[test]
    fn no_input_causes_a_panic(bytes: Vec<u8>, cut in any::<prop::sample::Index>()) {
        let cut = cut.index(bytes.len() + 1);
        let _ = decode([&bytes[..cut], &bytes[cut..]]);
    }
}

#[test]
fn a_list_ends_with_its_closing_bracket_not_with_the_line() {
    let text = serde_json::to_string_pretty(&list(8, &["a"])).expect("JSON");
    let (decoded, end) = decode([text.as_bytes()]);
    assert!(end.is_ok(), "{end:?}");
    assert_eq!(decoded, [Some((8, false, vec!["a".to_owned()]))]);
}

/// The list is truncated within a string; the next list must not be decoded as the rest of that string.
#[test]
fn a_line_that_ends_within_a_string_is_an_error() {
    let complete = list(8, &["abcdef"]).to_string();
    let cut = complete.find("abc").expect("the id") + 2;
    let (decoded, end) = decode([format!("{}\n{complete}\n", &complete[..cut]).as_bytes()]);
    assert!(
        matches!(end, Err(DecodeError::UnterminatedString)) && decoded.is_empty(),
        "{decoded:?}, {end:?}"
    );
}

#[test]
fn an_empty_line_within_a_list_is_not_a_heartbeat() {
    let (decoded, end) = decode(["{\"revision\": 8,\n".as_bytes(), b"\n", b"\r\n", b"\n"]);
    assert!(end.is_ok() && decoded.is_empty(), "{decoded:?}, {end:?}");
}

#[test]
fn input_that_is_not_a_list_is_an_error() {
    for (bytes, what) in [
        (&b"nothing\n"[..], "a word"),
        (b"]\n", "a closing bracket"),
        (b"{\"revision\": 8}\n", "an object without members"),
    ] {
        let (decoded, end) = decode([bytes]);
        assert!(end.is_err() && decoded.is_empty(), "{what}: {decoded:?}");
    }
    let too_many_bytes = vec![b' '; MAX_LIST_LEN + 1];
    let (_, end) = decode([&b"{"[..], &too_many_bytes]);
    assert!(matches!(end, Err(DecodeError::TooLong)), "{end:?}");
}

/// The list has four megabytes in frames of a kilobyte; a decoder that scans the whole list again after each frame
/// would scan eight billion bytes.
#[test]
fn each_byte_of_a_large_list_in_many_frames_is_scanned_once() {
    let ids: Vec<String> = (0..25_000).map(|n| format!("s-{n:08x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let text = list(8, &ids).to_string();
    assert!(text.len() < MAX_LIST_LEN, "{}", text.len());
    let mut decoder = Decoder::default();
    let mut scanned = 0;
    for part in text.as_bytes().chunks(1_024) {
        decoder.feed(part);
        let before = decoder.scanned;
        if let Some(WatchEvent::List(list)) = decoder.next().expect("a list") {
            assert_eq!(list.members.len(), ids.len());
        }
        scanned += decoder.scanned - before;
    }
    assert_eq!(scanned, text.len());
}
