//! Whatever cuts the bytes of a watch apart, it says the same.

use proptest::prelude::*;
use serde_json::{Value, json};

use super::*;

/// A list's revision, whether it is whole, and its members' names; nothing for an empty line.
type Said = Option<(u64, bool, Vec<String>)>;

fn entry(id: &str) -> Value {
    json!({"id": id, "host_port": "10.1.0.18:9000", "locality": "a", "flavor": "m2", "cell": 3,
           "phase": "SERVING", "size": 1.0, "up_since_ms": 0})
}

fn list(revision: u64, members: &[&str]) -> Value {
    let members: Vec<Value> = members.iter().map(|id| entry(id)).collect();
    json!({"revision": revision, "complete": false, "members": members})
}

/// What a watch says whose bytes come in these parts, up to what cannot be read.
fn decode<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Said>, Result<(), DecodeError>) {
    let (mut decoder, mut said) = (Decoder::default(), Vec::new());
    for part in parts {
        decoder.feed(part);
        loop {
            match decoder.next() {
                Ok(Some(Item::Heartbeat)) => said.push(None),
                Ok(Some(Item::List(list))) => {
                    let ids = list.members.into_iter().map(|m| m.id).collect();
                    said.push(Some((list.revision, list.complete, ids)));
                }
                Ok(None) => break,
                Err(error) => return (said, Err(error)),
            }
        }
    }
    (said, Ok(()))
}

/// What a watch says: a list on one line or indented, ended by either kind of line end, or an empty line.
fn said() -> impl Strategy<Value = (Said, String)> {
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
        .prop_map(|((said, text), dos)| (said, text + if dos { "\r\n" } else { "\n" }))
}

proptest! {
    #[test]
    fn it_says_the_same_cut_in_two_at_every_byte(script in prop::collection::vec(said(), 1..5)) {
        let wanted: Vec<Said> = script.iter().map(|(said, _)| said.clone()).collect();
        let bytes: Vec<u8> = script.iter().flat_map(|(_, text)| text.bytes()).collect();
        for cut in 0..=bytes.len() {
            let (said, end) = decode([&bytes[..cut], &bytes[cut..]]);
            prop_assert!(end.is_ok(), "cut at {}: {:?}", cut, end);
            prop_assert_eq!(&said, &wanted, "cut at {}", cut);
        }
        let (said, end) = decode(bytes.chunks(1));
        prop_assert!(end.is_ok(), "{:?}", end);
        prop_assert_eq!(&said, &wanted, "byte by byte");
    }

    #[test]
    fn no_bytes_make_it_panic(bytes: Vec<u8>, cut in any::<prop::sample::Index>()) {
        let cut = cut.index(bytes.len() + 1);
        let _ = decode([&bytes[..cut], &bytes[cut..]]);
    }
}

#[test]
fn a_list_counts_when_its_last_bracket_has_come_and_not_only_with_the_end_of_the_line() {
    let text = serde_json::to_string_pretty(&list(8, &["a"])).expect("JSON");
    let (said, end) = decode([text.as_bytes()]);
    assert!(end.is_ok(), "{end:?}");
    assert_eq!(said, [Some((8, false, vec!["a".to_owned()]))]);
}

/// A list that was cut off must not swallow what comes behind it.
#[test]
fn a_line_that_ends_within_a_string_is_no_part_of_a_list() {
    let whole = list(8, &["abcdef"]).to_string();
    let cut = whole.find("abc").expect("it is there") + 2;
    let (said, end) = decode([format!("{}\n{whole}\n", &whole[..cut]).as_bytes()]);
    assert!(matches!(end, Err(DecodeError::BrokenOff)) && said.is_empty(), "{said:?}, {end:?}");
}

/// An empty line within a list that goes on is no sign of life.
#[test]
fn an_empty_line_within_a_list_is_no_heartbeat() {
    let (said, end) = decode(["{\"revision\": 8,\n".as_bytes(), b"\n", b"\r\n", b"\n"]);
    assert!(end.is_ok() && said.is_empty(), "{said:?}, {end:?}");
}

#[test]
fn what_is_no_list_is_refused() {
    for (bytes, what) in
        [(&b"nothing\n"[..], "a word"), (b"]\n", "a bracket"), (b"{\"revision\": 8}\n", "half")]
    {
        let (said, end) = decode([bytes]);
        assert!(end.is_err() && said.is_empty(), "{what}: {said:?}");
    }
    let much = vec![b' '; LONGEST_LIST + 1];
    let (_, end) = decode([&b"{"[..], &much]);
    assert!(matches!(end, Err(DecodeError::TooLong)), "{end:?}");
}

/// Four megabytes in frames of a kilobyte: a decoder that begins anew with each frame would look at eight thousand
/// million bytes.
#[test]
fn a_large_list_in_many_frames_is_looked_at_once() {
    let ids: Vec<String> = (0..25_000).map(|n| format!("s-{n:08x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let text = list(8, &ids).to_string();
    assert!(text.len() < LONGEST_LIST, "{}", text.len());
    let mut decoder = Decoder::default();
    let mut looked_at = 0;
    for part in text.as_bytes().chunks(1_024) {
        decoder.feed(part);
        let before = decoder.seen;
        if let Some(Item::List(list)) = decoder.next().expect("a list") {
            assert_eq!(list.members.len(), ids.len());
        }
        looked_at += decoder.seen - before;
    }
    assert_eq!(looked_at, text.len());
}
