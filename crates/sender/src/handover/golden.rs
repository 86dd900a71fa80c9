//! The lines of the handover's socket, compared with those that the version before the renames wrote and took.

use serde::Deserialize;
use tokio::task::LocalSet;

use super::*;

const WRITTEN: &str = include_str!("../../tests/golden/handover.written.txt");
const ACCEPTED: &str = include_str!("../../tests/golden/handover.accepted.json");
const REFUSED: &str = include_str!("../../tests/golden/handover.refused.txt");

/// A line that is written otherwise than this program does, and the line that this program writes for it.
#[derive(Deserialize)]
struct Accepted {
    given: String,
    means: String,
}

/// One value for each variant and each of its optional fields, there and not there, in the order of the file.
fn words() -> Vec<HandoverMessage> {
    let outage = |receiver: &str, outage| HandoverMessage::OutageState {
        destination: 3,
        receiver: receiver.to_owned(),
        outage,
    };
    let wait = |receiver: Option<&str>, ms| HandoverMessage::Wait {
        destination: 65_535,
        receiver: receiver.map(str::to_owned),
        ms,
    };
    vec![
        HandoverMessage::Hello(1),
        HandoverMessage::Hello(u32::MAX),
        outage("r1", OutageState::Down { wait: 1_500 }),
        outage("", OutageState::Down { wait: 0 }),
        outage("r1", OutageState::WarmingUp { ago: 250, part: 0.25 }),
        outage("", OutageState::WarmingUp { ago: -250, part: 1.0 }),
        wait(None, 0.0),
        wait(Some("r1"), 1_500.5),
        wait(Some(""), 5.0),
        wait(Some("a \"b\"\n\u{e9}"), 1e300),
        HandoverMessage::Out(0),
        HandoverMessage::Out(4_096),
        HandoverMessage::FreeSpace,
    ]
}

fn connection() -> (UnixStream, UnixStream) {
    UnixStream::pair().expect("a connection")
}

/// What is read of bytes after which the connection ends.
async fn read_of(bytes: &[u8]) -> io::Result<Vec<HandoverMessage>> {
    let (mut theirs, ours) = connection();
    theirs.write_all(bytes).await?;
    drop(theirs);
    let mut reader = BufReader::new(ours.into_split().0);
    let mut words = Vec::new();
    while let Some(word) = read(&mut reader).await? {
        words.push(word);
    }
    Ok(words)
}

#[tokio::test]
async fn each_message_is_written_as_the_line_that_it_was_before() {
    let (ours, mut theirs) = connection();
    let (reader, mut writer) = ours.into_split();
    for word in words() {
        write(&mut writer, &word).await.expect("writable");
    }
    drop((reader, writer));
    let mut text = String::new();
    theirs.read_to_string(&mut text).await.expect("text");
    assert_eq!(text, WRITTEN);
}

#[tokio::test]
async fn each_line_is_read_as_the_message_that_it_was_before() {
    assert_eq!(read_of(WRITTEN.as_bytes()).await.expect("messages"), words());
}

#[tokio::test]
async fn a_line_that_another_version_writes_otherwise_is_read_as_before() {
    let lines: Vec<Accepted> = serde_json::from_str(ACCEPTED).expect("a table");
    for Accepted { given, means } in lines {
        let read = read_of(format!("{given}\n").as_bytes()).await.expect(&given);
        let again: Vec<String> =
            read.iter().map(|word| serde_json::to_string(word).expect("a line")).collect();
        assert_eq!(again, [means], "{given}");
    }
}

#[tokio::test]
async fn a_line_that_is_not_understood_is_an_error_of_the_connection() {
    assert!(REFUSED.lines().count() > 20);
    for line in REFUSED.lines() {
        assert!(read_of(format!("{line}\n").as_bytes()).await.is_err(), "{line:?}");
    }
    // The longest line has 2048 bytes with its end.
    let of_length = |length: usize| format!("{{\"out\":{}7}}\n", " ".repeat(length - 10));
    assert_eq!(of_length(2_048).len(), 2_048);
    assert_eq!(read_of(of_length(2_048).as_bytes()).await.expect("messages"), [HandoverMessage::Out(7)]);
    assert!(read_of(of_length(2_050).as_bytes()).await.is_err());
    // A line that the other process did not write whole, and the end.
    assert!(read_of(b"{\"out\":").await.is_err());
    assert_eq!(read_of(b"").await.expect("the end"), []);
}

#[tokio::test]
async fn after_a_line_that_is_not_understood_a_running_connection_ends_and_no_later_line_counts() {
    let test = async {
        for line in REFUSED.lines() {
            let (mut theirs, ours) = connection();
            let (reader, writer) = ours.into_split();
            let (host, mut told) = mpsc::channel(8);
            let peer_process = Rc::new(PeerProcess::default());
            link(BufReader::new(reader), writer, &peer_process, &host);
            assert!(peer_process.is_there());
            let wait = "{\"wait\":{\"destination\":3,\"receiver\":\"r1\",\"ms\":5.0}}";
            let lines = format!("{{\"hello\":1}}\n\"room\"\n{wait}\n{{\"out\":7}}\n{line}\n{{\"out\":8}}\n");
            theirs.write_all(lines.as_bytes()).await.expect("writable");
            let first = told.recv().await;
            assert!(
                matches!(&first, Some(Input::RetryAfter { destination: 3, receiver: Some(receiver), wait: ms })
                    if receiver == "r1" && *ms == 5.0),
                "{line:?}: {first:?}"
            );
            assert!(matches!(told.recv().await, Some(Input::PeerCallsInFlight(7))), "{line:?}");
            assert!(matches!(told.recv().await, Some(Input::PeerDisconnected)), "{line:?}");
            assert!(!peer_process.is_there(), "{line:?}");
            drop(host);
            assert!(told.recv().await.is_none(), "{line:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_connection_that_begins_with_anything_but_this_version_is_turned_away() {
    let test = async {
        let others = ["{\"hello\":0}", "{\"hello\":2}", "\"room\"", "{\"out\":7}"];
        for line in REFUSED.lines().chain(others) {
            let (mut theirs, ours) = connection();
            let (host, mut told) = mpsc::channel(8);
            let peer_process = Rc::new(PeerProcess::default());
            theirs.write_all(format!("{line}\n").as_bytes()).await.expect("writable");
            greet(ours, peer_process.clone(), host).await;
            assert!(!peer_process.is_there(), "{line:?}");
            assert!(told.recv().await.is_none(), "{line:?}");
            let mut answer = Vec::new();
            theirs.read_to_end(&mut answer).await.expect("an end");
            assert!(answer.is_empty(), "{line:?}: {answer:?}");
        }
        let (mut theirs, ours) = connection();
        let (host, mut told) = mpsc::channel(8);
        theirs.write_all(b"{\"hello\":1}\n").await.expect("writable");
        greet(ours, Rc::default(), host).await;
        assert!(matches!(told.recv().await, Some(Input::SuccessorConnected)));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_successor_that_is_told_a_line_it_does_not_understand_goes_on_with_what_came_before_it() {
    let test = async {
        let out = HandoverMessage::Out(7);
        for (line, room) in REFUSED.lines().map(|line| (line, false)).chain([("\"room\"", true)]) {
            let folder = tempfile::tempdir().expect("a folder");
            let listener = UnixListener::bind(folder.path().join("handover")).expect("a socket");
            let peer_process = Rc::new(PeerProcess::default());
            let (host, _told) = mpsc::channel(8);
            let older = async {
                let (mut stream, _) = listener.accept().await.expect("a successor");
                stream.write_all(format!("{{\"out\":7}}\n{line}\n").as_bytes()).await.expect("writable");
                let mut greeting = [0; 12];
                stream.read_exact(&mut greeting).await.expect("a greeting");
                assert_eq!(&greeting, b"{\"hello\":1}\n");
                stream
            };
            let (told, _stream) = tokio::join!(introduce(folder.path(), &peer_process, &host), older);
            assert_eq!((told.words, told.room), (vec![out.clone()], room), "{line:?}");
            assert_eq!(peer_process.is_there(), room, "{line:?}");
        }
    };
    LocalSet::new().run_until(test).await;
}
