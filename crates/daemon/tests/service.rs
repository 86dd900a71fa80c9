//! The sender in service: clients and receivers that keep to nothing, new configurations, long days.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::*;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LONG: f64 = 60_000.0;

/// A client that cannot be understood is owed an error or a close so soon after it connects.
const OWED: Duration = Duration::from_secs(3);

fn text() -> Bytes {
    Bytes::from_static(b"text")
}

// ---- Clients ---------------------------------------------------------------------------------------------

/// Accepting used to stop when all places were taken, by clients that ask once and stay or that say nothing.
#[tokio::test]
async fn clients_that_keep_silent_connections_shut_nobody_out() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let mut kept = Vec::new();
    for n in 0..100 {
        kept.push(program.raw(b"").await);
        let since = Instant::now();
        let mut stream = program.raw(&raw_submission(&format!("m{n}"), "Content-Length: 4", "text")).await;
        assert_eq!(status(&mut stream).await, Some(202));
        // Not only once the silent ones' own time is up.
        assert!(since.elapsed() < Duration::from_secs(1), "m{n}: {:?}", since.elapsed());
        assert_eq!(receiver.call().await.message_id, format!("m{n}"));
        kept.push(stream);
    }
    let ready = Request::get("/-/ready").body(Full::default()).expect("a request");
    assert_eq!(program.request(ready).await.expect("an answer").status(), 200);
}

/// Clients have only so many connections between them, too: with all of them resting at the sender, nothing
/// more could be handed in until it let go of some.
#[tokio::test]
async fn of_clients_that_ask_once_and_stay_most_are_let_go_at_once() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let since = Instant::now();
    let mut kept = Vec::new();
    for n in 0..30 {
        let mut stream = program.raw(&raw_submission(&format!("m{n}"), "Content-Length: 4", "text")).await;
        assert_eq!(status(&mut stream).await, Some(202));
        assert_eq!(receiver.call().await.message_id, format!("m{n}"));
        kept.push(stream);
    }
    // A quarter of the 44 places is for connections that rest.
    let mut last = kept.split_off(30 - 11);
    for stream in &mut kept {
        rest(stream).await;
    }
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    let again = raw_submission("again", "Content-Length: 4", "text");
    rest_of_answer(&mut last[10]).await;
    last[10].write_all(&again).await.expect("it is kept");
    assert_eq!(status(&mut last[10]).await, Some(202));
}

/// A newcomer that is silent for long is still heard when those that push for places come from elsewhere.
#[tokio::test]
async fn a_client_that_connects_early_and_speaks_late_is_heard_beside_hundreds_that_never_speak() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let mut early = program.raw(b"").await;
    // Time must pass until it is the newcomer that has been silent longest.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let mut silent = Vec::new();
    for _ in 0..5 {
        for _ in 0..40 {
            silent.push(connect_from("127.0.0.2", program.addr).await);
        }
        tokio::time::sleep(Duration::from_millis(310)).await;
    }
    early.write_all(&raw_submission("late", "Content-Length: 4", "text")).await.expect("it is kept");
    assert_eq!(status(&mut early).await, Some(202));
    assert_eq!(receiver.call().await.message_id, "late");
}

#[tokio::test]
async fn a_client_that_asks_readiness_pauses_and_hands_in_is_heard_beside_hundreds_that_never_speak() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let mut client = program.raw(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert_eq!(status(&mut client).await, Some(200));
    rest_of_answer(&mut client).await;
    let mut silent = Vec::new();
    for _ in 0..5 {
        for _ in 0..40 {
            silent.push(connect_from("127.0.0.1", program.addr).await);
        }
        tokio::time::sleep(Duration::from_millis(310)).await;
    }
    client.write_all(&raw_submission("m1", "Content-Length: 4", "text")).await.expect("it is kept");
    assert_eq!(status(&mut client).await, Some(202));
    assert_eq!(receiver.call().await.message_id, "m1");
}

/// One that has come back is worth more than any number that asked once.
#[tokio::test]
async fn a_client_that_comes_back_keeps_its_connection_beside_hundreds_that_ask_once_and_stay() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let mut client = program.raw(b"").await;
    for n in 0..3 {
        client.write_all(&raw_submission(&format!("r{n}"), "Content-Length: 4", "text")).await.expect("kept");
        assert_eq!(status(&mut client).await, Some(202));
        rest_of_answer(&mut client).await;
        assert_eq!(receiver.call().await.message_id, format!("r{n}"));
    }
    let mut once = Vec::new();
    for n in 0..200 {
        let mut stream = program.raw(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(status(&mut stream).await, Some(200), "{n}");
        once.push(stream);
    }
    client.write_all(&raw_submission("last", "Content-Length: 4", "text")).await.expect("it is kept");
    assert_eq!(status(&mut client).await, Some(202));
    assert_eq!(receiver.call().await.message_id, "last");
}

#[tokio::test]
async fn a_client_that_says_nothing_or_trickles_is_let_go_in_time() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let whole = raw_submission("slow", "Content-Length: 4", "text");
    let silent = async {
        let mut stream = program.raw(b"").await;
        assert_eq!(status(&mut stream).await, None);
    };
    let half_a_head = async {
        let mut stream = program.raw(&whole[..40]).await;
        assert_eq!(status(&mut stream).await, None);
    };
    let half_a_body = async {
        let mut stream = program.raw(&whole[..whole.len() - 1]).await;
        assert!(status(&mut stream).await.is_none_or(|status| status == 408));
    };
    // Each byte comes well within any patience for one.
    let trickle = async {
        let mut stream = program.raw(b"").await;
        for byte in &whole[..100] {
            if stream.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("a client that trickles is heard for good");
    };
    let since = Instant::now();
    tokio::join!(silent, half_a_head, half_a_body, async {
        trickle.await;
        // A byte that meets the close is lost, and the next one notices.
        assert!(since.elapsed() < OWED + Duration::from_millis(200), "{:?}", since.elapsed());
    });
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_client_that_cannot_be_understood_gets_an_error_and_hands_nothing_in() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let endless = format!("POST /safe HTTP/1.1\r\nX-Noise: {}", "x".repeat(100_000));
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("noise", vec![0x16, 3, 1, 0, 0xff, b'\r', b'\n', b'\r', b'\n']),
        ("endless head", endless.into_bytes()),
        ("negative length", raw_submission("m1", "Content-Length: -4", "text")),
        ("huge length", raw_submission("m2", "Content-Length: 18446744073709551615", "text")),
        ("60 MB", raw_submission("m3", "Content-Length: 60000000", "text")),
        ("no length that is one", raw_submission("m4", "Content-Length: four", "text")),
        ("two lengths", raw_submission("m5", "Content-Length: 4\r\nContent-Length: 5", "text")),
        ("chunks", raw_submission("m6", "Transfer-Encoding: chunked", "4\r\ntext\r\n0\r\n\r\n")),
        ("no id", raw_submission("", "Content-Length: 4", "text")),
    ];
    for (what, bytes) in cases {
        let since = Instant::now();
        let mut stream = TcpStream::connect(program.addr).await.expect("a connection");
        // The sender may close before it is all written.
        let _ = stream.write_all(&bytes).await;
        let status = status(&mut stream).await;
        assert!(status.is_none_or(|status| (400..500).contains(&status)), "{what}: {status:?}");
        rest(&mut stream).await;
        assert!(since.elapsed() < OWED, "{what}: {:?}", since.elapsed());
    }
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

/// hyper lets Transfer-Encoding override a Content-Length: what hides behind the last chunk is a body's rest.
#[tokio::test]
async fn a_request_hidden_in_a_body_is_not_handed_in() {
    let (_platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let hidden = String::from_utf8(raw_submission("hidden", "Content-Length: 4", "text")).expect("text");
    for fields in [
        "Content-Length: LENGTH\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: LENGTH",
    ] {
        let body = format!("4\r\ntext\r\n0\r\n\r\n{hidden}");
        let fields = fields.replace("LENGTH", &body.len().to_string());
        let mut stream = program.raw(&raw_submission("outer", &fields, &body)).await;
        assert_eq!(status(&mut stream).await, Some(400));
        let rest = String::from_utf8_lossy(&rest(&mut stream).await).into_owned();
        assert!(!rest.contains("HTTP/1.1"), "{rest}");
    }
    program.hand_in("safe", "last", text()).await;
    assert_eq!(receiver.call().await.message_id, "last");
}

// ---- Receivers -------------------------------------------------------------------------------------------

/// A platform, a receiver that answers as told and a sender.
async fn spoilt() -> (FakePlatform, MalformedResponder, Program, Folder) {
    let (platform, spoiler) = (FakePlatform::start().await, MalformedResponder::start().await);
    let members = [member("r1", spoiler.addr, 7, "SERVING")];
    let config = config(platform.addr, &members, LONG);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    (platform, spoiler, program, folder)
}

/// An answer that cannot be read, or that does not end, comes of a call that has run: it is known as soon as
/// it comes, also where it says that the call never ran, and ends the connection.
#[tokio::test]
async fn a_spoilt_answer_is_a_failure_that_may_have_run() {
    let (mut platform, mut spoiler, program, _folder) = spoilt().await;
    let much = "x".repeat(100_000);
    let endless = format!("HTTP/1.1 500 No\r\nX-Noise: {much}");
    let large = format!("HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n{much}");
    let cases = [
        "\0\u{1}noise\r\n\r\n",
        "noise without an end",
        "HTTP/1.1 50",
        "HTTP/1.1 500 No\r\nX-Half: a head",
        &endless,
        &large,
        "HTTP/1.1 429 No\r\nContent-Length: -3\r\n\r\n",
        "HTTP/1.1 429 No\r\nX-Backoff-Ms: 60000\r\nContent-Length: 100\r\n\r\nshort",
        "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 20",
    ];
    for (n, case) in cases.iter().enumerate() {
        let message_id = format!("m{n}");
        spoiler.then(&[case.as_bytes()]);
        let since = Instant::now();
        assert_eq!(program.hand_in("once", &message_id, text()).await.status(), 202);
        let (connection, called) = spoiler.call().await;
        assert_eq!(
            (connection, &called),
            (2 * n, &message_id),
            "{case:?}: the connection before was used again"
        );
        assert_eq!(platform.report().await.0, [(message_id, "undeliverable".to_owned())], "{case:?}");
        assert!(since.elapsed() < Duration::from_secs(3), "{case:?}: {:?}", since.elapsed());
        // Otherwise so many in a row would make an outage.
        program.hand_in("once", "good", text()).await;
        assert_eq!(spoiler.call().await, (2 * n + 1, "good".to_owned()));
        spoiler.then(&[b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"]);
        program.hand_in("once", "last", text()).await;
        assert_eq!(spoiler.call().await, (2 * n + 1, "last".to_owned()));
    }
}

#[tokio::test]
async fn a_first_line_with_200_is_a_delivery_whatever_follows() {
    let (mut platform, mut spoiler, program, _folder) = spoilt().await;
    let much = "x".repeat(100_000);
    let cases = [
        "HTTP/1.1 200 OK\r\nX-Half: a head".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-Noise: {much}"),
        "HTTP/1.1 200 OK\r\n\0\u{1}noise\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort".to_owned(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{much}"),
        "HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n:\r\n\r\n".to_owned(),
    ];
    for (n, case) in cases.iter().enumerate() {
        let message_id = format!("m{n}");
        spoiler.then(&[case.as_bytes()]);
        program.hand_in("safe", &message_id, text()).await;
        // A message that may be repeated would be.
        assert_eq!(spoiler.call().await, (n, message_id), "{case:?}");
        // Until it is known, the connection is not free; then it must be gone.
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    assert!(spoiler.calls.try_recv().is_err() && platform.nothing_reported());
}

#[tokio::test]
async fn what_comes_behind_an_answer_is_not_the_next_one() {
    let (mut platform, mut spoiler, program, _folder) = spoilt().await;
    for (n, parts) in [&[GOOD, GOOD][..], &[GOOD, b"noise"], &[GOOD, b"", GOOD]].iter().enumerate() {
        let (first, second) = (format!("a{n}"), format!("b{n}"));
        spoiler.then(parts);
        program.hand_in("once", &first, text()).await;
        assert_eq!(spoiler.call().await.1, first);
        if parts.len() == 3 {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        spoiler.then(&[b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]);
        program.hand_in("once", &second, text()).await;
        assert_eq!(spoiler.call().await.1, second);
        assert_eq!(platform.report().await.0, [(second, "undeliverable".to_owned())], "{parts:?}");
    }
}

#[tokio::test]
async fn an_answer_may_come_long_after_what_is_said_ahead_of_it() {
    let (mut platform, mut spoiler, program, _folder) = spoilt().await;
    spoiler.then(&[b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n", b"", GOOD]);
    program.hand_in("once", "m1", text()).await;
    assert_eq!(spoiler.call().await, (0, "m1".to_owned()));
    tokio::time::sleep(Duration::from_millis(900)).await;
    program.hand_in("once", "m2", text()).await;
    assert_eq!(spoiler.call().await, (0, "m2".to_owned()));
    assert!(platform.nothing_reported());
}

/// At a start of many at once the whole list would be a second request of each to a discovery that is short of time.
#[tokio::test]
async fn one_of_many_senders_starts_with_its_known_list_and_makes_one_request_a_watch() {
    let (mut platform, mut first) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut second = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], LONG);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    // Whoever asks for the whole list hears of another receiver.
    let whole = list(9, true, &[member("r2", second.addr, 7, "SERVING")]);
    *platform.list.lock().expect("a list") = Some(whole.clone());
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let (query, lines) = platform.watch().await;
    assert!(query.contains("watch=1") && query.contains("from=0"), "{query}");
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(first.call().await.message_id, "m1");
    // The first line of the watch brings the list.
    lines.send(whole.to_string()).expect("a watch");
    loop {
        program.hand_in("safe", "probe", text()).await;
        if !second.nothing_called() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Where changes are pushed, what the agent has counts as told: a fleet's sender that waits for a turn to ask
/// goes on calling receivers that are gone.
#[tokio::test]
async fn one_of_many_senders_with_agents_of_their_own_begins_with_the_list_that_its_agent_has() {
    let (platform, mut first) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let mut second = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", first.addr, 7, "SERVING")], LONG);
    config["settings"]["peers_total"] = 300.into();
    *platform.list.lock().expect("a list") = Some(list(9, true, &[member("r2", second.addr, 7, "SERVING")]));
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(second.call().await.message_id, "m1");
    assert!(first.nothing_called());
}

// ---- New configurations ----------------------------------------------------------------------------------

/// The configuration with discovery elsewhere.
fn moved(config: &serde_json::Value, to: &FakePlatform) -> serde_json::Value {
    let mut config = config.clone();
    config["discovery"] = to.addr.to_string().into();
    config
}

#[tokio::test]
async fn on_sighup_the_list_and_the_notices_move_to_the_new_address() {
    let (mut old, mut first, mut program, folder, config) = set_up(&[], LONG).await;
    let (_, lines) = old.watch().await;
    // A notice that the old address never takes.
    old.answer_reports(&[500; 100]);
    assert_eq!(program.hand_in_within("safe", "late", text(), "0").await.status(), 503);
    first.then(&[Act::Break]);
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 202);
    first.call().await;
    assert_eq!(old.report().await.1, 500);
    // A file that cannot be used changes nothing.
    program.configure("{", &folder.1).await;
    program.says("configuration left as it was").await;
    std::fs::remove_file(folder.1.with_extension("json")).expect("a file");
    for bad in [config.to_string().replace("\"settings\"", "\"nothing\""), String::new()] {
        program.configure(&bad, &folder.1).await;
        program.says("configuration left as it was").await;
    }
    assert!(!lines.is_closed());
    // Revisions start anew there, and the list names another receiver.
    let (mut new, mut second) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let whole = list(1, true, &[member("r2", second.addr, 7, "SERVING")]);
    *new.list.lock().expect("a list") = Some(whole);
    program.configure(&moved(&config, &new).to_string(), &folder.1).await;
    let (query, new_lines) = new.watch().await;
    assert!(query.contains("from=1"), "{query}");
    soon("the old watch ends", lines.closed()).await;
    assert_eq!(new.report().await.0[0].0, "m1");
    assert_eq!(program.hand_in("safe", "m2", text()).await.status(), 202);
    assert_eq!(second.call().await.message_id, "m2");
    assert!(first.nothing_called());
    // And a second time, with a list of its own again.
    let (mut third, mut last) = (FakePlatform::start().await, Receiver::start(&[]).await);
    *third.list.lock().expect("a list") = Some(list(1, true, &[member("r3", last.addr, 7, "SERVING")]));
    let config = moved(&config, &third);
    program.configure(&config.to_string(), &folder.1).await;
    let _watch = third.watch().await;
    soon("the watch before ends", new_lines.closed()).await;
    assert_eq!(program.hand_in("safe", "m3", text()).await.status(), 202);
    assert_eq!(last.call().await.message_id, "m3");
    // A restart reads the new file. Its `known` is of an address that counted farther.
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    let (query, _lines) = third.watch().await;
    assert!(query.contains("from=1"), "{query}");
    assert_eq!(program.hand_in("safe", "m4", text()).await.status(), 202);
    // The kill may have come before m3's delivery was on record.
    while last.call().await.message_id != "m4" {}
    assert!(second.nothing_called() && first.nothing_called());
}

/// While the new address is silent the list stays as it was told last.
#[tokio::test]
async fn a_new_address_that_is_silent_leaves_the_list_as_it_was() {
    let (_old, mut receiver, mut program, folder, mut config) = set_up(&[], LONG).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    config["discovery"] = silent.local_addr().expect("an address").to_string().into();
    program.configure(&config.to_string(), &folder.1).await;
    program.says("configuration read again").await;
    soon("a connection", silent.accept()).await.expect("a connection");
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m1");
}

// ---- Restarts --------------------------------------------------------------------------------------------

/// All that is held is taken up again after a kill, and a new client is heard at once beside it.
#[tokio::test]
async fn much_that_is_held_outlasts_a_kill() {
    let acts = [Act::Say(429, Some(("x-backoff-ms", "6000")))];
    let (mut platform, mut receiver, program, folder, config) = set_up(&acts, LONG).await;
    program.hand_in("safe", "m0", text()).await;
    receiver.call().await;
    let told = std::time::Instant::now();
    for n in 1..90 {
        assert_eq!(program.hand_in("safe", &format!("m{n}"), text()).await.status(), 202, "m{n}");
    }
    program.kill().await;
    let mut program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "new", text()).await.status(), 202);
    let mut missing: std::collections::BTreeSet<String> = (0..90).map(|n| format!("m{n}")).collect();
    missing.insert("new".to_owned());
    missing.remove(&receiver.call().await.message_id);
    // What was told to the process that was killed holds for the one after it.
    let waited = told.elapsed().as_millis();
    assert!(waited >= 5_900, "sent {waited} ms after a wait of 6 s was told");
    while !missing.is_empty() {
        missing.remove(&receiver.call().await.message_id);
    }
    assert!(platform.nothing_reported());
    program.child.start_kill().expect("it runs");
    program.exit().await;
}

/// Discovery is drowned while a fleet starts, and this one is killed twice before it has heard: what it holds goes by
/// the list that it knew, and once the late one has come nothing goes where that does not lead.
#[tokio::test]
async fn a_list_that_comes_late_to_a_sender_restarted_twice_is_heeded_from_then_on() {
    let (mut platform, mut old) = (FakePlatform::start().await, Receiver::start(&[Act::Hang; 2]).await);
    let mut new = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", old.addr, 7, "SERVING")], 60_000.0);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    let folder = lasting();
    let mut program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    for _ in 0..2 {
        assert_eq!(old.call().await.message_id, "m1");
        // Its watch has begun, and brings nothing.
        platform.watch().await;
        program.kill().await;
        program = Program::start(&config, &folder.1).await;
    }
    assert_eq!(old.call().await.message_id, "m1");
    let (query, lines) = platform.watch().await;
    assert!(query.contains("from=0"), "{query}");
    lines.send(list(9, true, &[member("r2", new.addr, 7, "SERVING")]).to_string()).expect("a watch");
    // Until it has been read the old receiver, which answers well now, may still get a message.
    let heeded = async {
        while new.nothing_called() {
            program.hand_in("safe", "probe", text()).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    soon("a call to the new receiver", heeded).await;
    while old.calls.try_recv().is_ok() {}
    for n in 0..5 {
        let message_id = format!("later{n}");
        assert_eq!(program.hand_in("safe", &message_id, text()).await.status(), 202);
        while new.call().await.message_id != message_id {}
    }
    assert!(old.nothing_called() && platform.nothing_reported());
}

/// A client that heard nothing hands the same message in elsewhere, and both who have it are killed twice. The key holds
/// in one hall: there both may ask again, and in the other neither may, however little the two know of one another.
#[tokio::test]
async fn two_senders_that_hold_one_message_over_two_kills_keep_to_the_hall_that_knows_its_key() {
    let (mut platform, mut here) = (FakePlatform::start().await, Receiver::start(&[Act::Hang; 4]).await);
    let mut other = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", here.addr, 7, "SERVING")], 9_000.0);
    config["settings"]["peers_total"] = 300.into();
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let folders = [lasting(), lasting()];
    let mut senders = Vec::new();
    for folder in &folders {
        let program = Program::start(&config, &folder.1).await;
        assert_eq!(program.hand_in("keyed", "m1", text()).await.status(), 202);
        senders.push(program);
    }
    let mut keys = Vec::new();
    for kill in 0..2 {
        for _ in &senders {
            let call = here.call().await;
            keys.push((call.message_id, call.headers["idempotency-key"].clone()));
        }
        if kill == 1 {
            let mut elsewhere = member("r2", other.addr, 7, "SERVING");
            elsewhere["locality"] = "b".into();
            *platform.list.lock().expect("a list") = Some(list(8, true, &[elsewhere]));
        }
        for (program, folder) in std::mem::take(&mut senders).into_iter().zip(&folders) {
            program.kill().await;
            senders.push(Program::start(&config, &folder.1).await);
        }
    }
    assert!(keys.iter().all(|key| *key == keys[0]), "{keys:?}");
    for _ in &senders {
        assert_eq!(platform.report().await, (vec![("m1".to_owned(), "undeliverable".to_owned())], 204));
    }
    assert!(here.nothing_called() && other.nothing_called() && platform.nothing_reported());
}

/// A receiver is replaced at its address under a new id while it has calls: what may have run is not sent to the new one
/// as if it never had, and new messages do not wait for the old one.
#[tokio::test]
async fn a_receiver_replaced_at_its_address_keeps_no_call_and_repeats_none_that_may_not_be() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Hang, Act::Hang], 6_000.0).await;
    let (_, lines) = platform.watch().await;
    for message_id in ["safe", "once"] {
        assert_eq!(program.hand_in(message_id, message_id, text()).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    let change = [member("r1", receiver.addr, 7, "GONE"), member("r9", receiver.addr, 7, "SERVING")];
    lines.send(list(8, false, &change).to_string()).expect("a watch");
    assert_eq!(program.hand_in("safe", "m3", text()).await.status(), 202);
    let mut calls = [receiver.call().await.message_id, receiver.call().await.message_id];
    calls.sort();
    assert_eq!(calls, ["m3", "safe"]);
    assert_eq!(platform.report().await, (vec![("once".to_owned(), "undeliverable".to_owned())], 204));
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

/// Half of a list has come when the configuration moves discovery: no word of that half counts, nor of the rest.
#[tokio::test]
async fn half_a_list_counts_for_nothing_once_discovery_has_moved() {
    let old = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (mut new, mut known) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let (mut stray, mut listed) = (Receiver::start(&[]).await, Receiver::start(&[]).await);
    let members = [member("r1", known.addr, 7, "SERVING")];
    let mut config = config(old.local_addr().expect("an address"), &members, 60_000.0);
    config["settings"]["peers_total"] = 20.into();
    config["settings"]["discovery"] = "on_request".into();
    let folder = lasting();
    let mut program = Program::start(&config, &folder.1).await;
    let (mut watch, _) = soon("a watch", old.accept()).await.expect("a connection");
    let whole = list(99, true, &[member("r2", stray.addr, 7, "SERVING")]).to_string() + "\n";
    let (first, rest) = whole.split_at(whole.len() / 2);
    let head = b"HTTP/1.1 200 OK\r\n\r\n";
    watch.write_all(&[head, first.as_bytes()].concat()).await.expect("writable");
    *new.list.lock().expect("a list") = Some(list(1, true, &[member("r3", listed.addr, 7, "SERVING")]));
    config["discovery"] = new.addr.to_string().into();
    program.configure(&config.to_string(), &folder.1).await;
    program.says("configuration read again").await;
    // It may be read or not: nobody listens to it any more.
    let _ = watch.write_all(rest.as_bytes()).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(known.call().await.message_id, "m1");
    let heeded = async {
        while listed.nothing_called() {
            program.hand_in("safe", "probe", text()).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    soon("a call to the receiver of the new list", heeded).await;
    let (query, _lines) = new.watch().await;
    assert!(query.contains("from=1"), "{query}");
    assert!(stray.nothing_called());
}
