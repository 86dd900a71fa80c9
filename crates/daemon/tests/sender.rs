//! The built sender on loopback sockets, between a fake platform and fake receivers.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::*;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LONG: f64 = 60_000.0;

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

fn journal_holds(state: &std::path::Path, bytes: &[u8]) -> bool {
    let files =
        std::fs::read_dir(state).expect("a folder").filter_map(|file| std::fs::read(file.ok()?.path()).ok());
    files.into_iter().any(|file| file.windows(bytes.len()).any(|w| w == bytes))
}

fn undeliverable(message_id: &str) -> (String, String) {
    (message_id.to_owned(), "undeliverable".to_owned())
}

#[tokio::test]
async fn a_message_goes_on_unchanged() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[], LONG).await;
    let ready = Request::get("/-/ready").body(Full::default()).expect("a request");
    assert_eq!(program.request(ready).await.expect("an answer").status(), 200);
    let sent = Bytes::from_iter(0..=255u8);
    assert_eq!(program.hand_in("keyed", "m1", sent.clone()).await.status(), 202);
    let call = receiver.call().await;
    assert_eq!((call.message_id.as_str(), call.body), ("m1", sent));
    assert_eq!(call.headers["idempotency-key"], "key-m1");
    let left: f64 = call.headers["x-remaining"].to_str().expect("text").parse().expect("a number");
    assert!(left > 0.0 && left <= LONG / 1_000.0, "{left}");
    assert!(platform.nothing_reported());
}

#[tokio::test]
async fn a_kill_loses_nothing_and_repeats_only_what_may_be_repeated() {
    let (mut platform, mut receiver, program, folder, config) =
        set_up(&[Act::Hang, Act::Hang, Act::Hang], LONG).await;
    for message_id in ["safe", "keyed", "once"] {
        assert_eq!(program.hand_in(message_id, message_id, body("text")).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    program.kill().await;
    let _program = Program::start(&config, &folder.1).await;
    // All three may have run: the unsafe one must not go again, and its client must hear of it.
    assert_eq!(platform.report().await, (vec![undeliverable("once")], 204));
    let mut again = [receiver.call().await, receiver.call().await].map(|call| (call.message_id, call.body));
    again.sort();
    assert_eq!(again, [("keyed".to_owned(), body("text")), ("safe".to_owned(), body("text"))]);
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

/// An attempt in zone a is cut by a kill; the next one, after the restart, is turned away; after the next kill
/// only an endpoint in zone b is left, which does not know the key.
#[tokio::test]
async fn an_attempt_cut_by_a_kill_may_have_run_after_a_second_kill_too() {
    let wait = Act::Say(429, Some(("x-backoff-ms", "60000")));
    let (mut platform, mut receiver, program, folder, config) = set_up(&[Act::Hang, wait], 4_000.0).await;
    program.hand_in("keyed", "m1", body("text")).await;
    receiver.call().await;
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    receiver.call().await;
    // The outcome is on record once the journal holds it: its tag, the id and that it never ran.
    let outcome = async {
        while !journal_holds(&folder.1, &[3, 2, 0, 0, 0, b'm', b'1', 0]) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    soon("the outcome on record", outcome).await;
    program.kill().await;
    let mut other = Receiver::start(&[]).await;
    let mut elsewhere = member("r2", other.addr, 7, "SERVING");
    elsewhere["locality"] = "b".into();
    *platform.list.lock().expect("a list") = Some(list(8, true, &[elsewhere]));
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    assert!(other.nothing_called() && receiver.nothing_called());
}

#[tokio::test]
async fn attempts_before_a_kill_count() {
    // Two errors and a call that is out: three of four attempts are used, one is left for after the restart.
    let acts = [Act::Say(500, None), Act::Say(500, None), Act::Hang];
    let (mut platform, mut receiver, program, folder, config) = set_up(&acts, LONG).await;
    program.hand_in("safe", "m1", body("text")).await;
    for _ in 0..3 {
        receiver.call().await;
    }
    program.kill().await;
    receiver.then(&[Act::Say(500, None)]);
    let _program = Program::start(&config, &folder.1).await;
    receiver.call().await;
    let (notices, _) = platform.report().await;
    assert_eq!(notices, [("m1".to_owned(), "deferred".to_owned())]);
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_message_that_expired_while_the_sender_was_down_gets_its_notice_at_once() {
    let (mut platform, mut receiver, program, folder, config) = set_up(&[Act::Hang], LONG).await;
    program.hand_in_within("keyed", "m1", body("text"), "0.5").await;
    receiver.call().await;
    program.kill().await;
    // Not a wait for the program: the message's time has to pass.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_torn_or_damaged_journal_is_read_as_far_as_it_goes() {
    let (_platform, mut receiver, program, folder, config) = set_up(&[Act::Hang, Act::Hang], LONG).await;
    for message_id in ["m1", "m2"] {
        program.hand_in("safe", message_id, body("text")).await;
        receiver.call().await;
    }
    program.kill().await;
    let mut files = std::fs::read_dir(&folder.1).expect("a folder").map(|file| file.expect("a file"));
    let is_segment = |file: &std::fs::DirEntry| file.file_name().to_string_lossy().starts_with("journal-");
    let journal = files.find(is_segment).expect("a segment");
    let whole = std::fs::read(journal.path()).expect("readable");
    // The first message's body is damaged: its record's sum no longer fits.
    let mut bytes = whole.clone();
    let at = bytes.windows(4).position(|w| w == b"text").expect("a body");
    bytes[at] ^= 0xff;
    // And a record of 200 bytes broke off after its frame and some bytes.
    bytes.extend([200, 0, 0, 0, 1, 2, 3, 4, 5, 6]);
    std::fs::write(journal.path(), &bytes).expect("writable");
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(receiver.call().await.message_id, "m2");
    program.hand_in("safe", "m3", body("text")).await;
    assert_eq!(receiver.call().await.message_id, "m3", "a damaged message is not sent");
    assert_eq!(journal.metadata().expect("still there").len(), whole.len() as u64, "the tail is cut");
    program.kill().await;
    // Garbage alone is no reason to fail either.
    std::fs::write(journal.path(), [0xff; 999]).expect("writable");
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "m4", body("text")).await.status(), 202);
}

#[tokio::test]
async fn a_full_journal_refuses_and_never_outgrows_its_budget() {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(&[Act::Hang; 16]).await);
    let mut receiver = receiver;
    let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], LONG);
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let budget = 3_000_000;
    let large = Bytes::from(vec![b'x'; 60_000]);
    let mut taken = Vec::new();
    for n in 0..100 {
        let message_id = format!("m{n}");
        match program.hand_in("safe", &message_id, large.clone()).await.status().as_u16() {
            202 => taken.push(message_id),
            status => {
                assert_eq!(status, 503);
                break;
            }
        }
        assert!(disk_use(&folder.1) <= budget);
    }
    assert!((20..60).contains(&taken.len()), "{}", taken.len());
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    let mut seen = std::collections::BTreeSet::new();
    while seen.len() < taken.len() {
        seen.insert(receiver.call().await.message_id);
        assert!(disk_use(&folder.1) <= budget);
    }
    // There is room again, and what is dead goes as the journal is written on.
    for n in 0..60 {
        let message_id = format!("n{n}");
        while program.hand_in("safe", &message_id, large.clone()).await.status() != 202 {
            receiver.call().await;
        }
        assert!(disk_use(&folder.1) <= budget);
    }
}

#[tokio::test]
async fn a_break_after_the_last_byte_may_have_run() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Break, Act::Break], LONG).await;
    assert_eq!(program.hand_in("once", "m1", body("text")).await.status(), 202);
    receiver.call().await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    program.hand_in("safe", "m2", body("text")).await;
    assert_eq!(receiver.call().await.message_id, "m2");
    assert_eq!(receiver.call().await.message_id, "m2");
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_break_before_the_last_byte_never_ran() {
    // Small segments and a small window: a large body cannot leave the sender at once.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_tcp_mss(536).expect("a segment size");
    socket.set_recv_buffer_size(2_048).expect("a window");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a port");
    socket.listen(16).expect("a listener");
    socket.set_nonblocking(true).expect("non-blocking");
    let listener = tokio::net::TcpListener::from_std(socket.into()).expect("a listener");
    let platform = FakePlatform::start().await;
    let addr = listener.local_addr().expect("an address");
    let config = config(platform.addr, &[member("r1", addr, 7, "SERVING")], LONG);
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let large = Bytes::from(vec![b'x'; 64 * 1024]);
    assert_eq!(program.hand_in("once", "m1", large.clone()).await.status(), 202);
    let (mut stream, _) = soon("a connection", listener.accept()).await.expect("a connection");
    let mut head = [0; 100];
    soon("a head", stream.read_exact(&mut head)).await.expect("a head");
    // Bytes that nobody has read: closing resets the connection.
    drop(stream);
    let (mut stream, _) = soon("another attempt", listener.accept()).await.expect("a connection");
    let mut got = 0;
    let mut buffer = vec![0; 4096];
    while got < large.len() {
        got += soon("the body", stream.read(&mut buffer)).await.expect("bytes");
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("writable");
}

#[tokio::test]
async fn a_kept_connection_that_the_receiver_closed_costs_no_attempt() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::SayAndClose; 5], LONG).await;
    for message_id in ["m1", "m2", "m3", "m4", "m5"] {
        assert_eq!(program.hand_in("once", message_id, body("text")).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
        // The receiver closes 5 ms after its answer; the sender has to have seen it by now.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

#[tokio::test]
async fn a_told_wait_holds_for_every_message() {
    let wait = Duration::from_millis(700);
    let acts = [Act::Say(429, Some(("x-backoff-ms", "700")))];
    let (_platform, mut receiver, program, _folder, _) = set_up(&acts, LONG).await;
    program.hand_in("safe", "m1", body("text")).await;
    let told = receiver.call().await.at;
    for message_id in ["m2", "m3", "m4"] {
        assert_eq!(program.hand_in("safe", message_id, body("text")).await.status(), 202);
    }
    for _ in 0..4 {
        let waited = receiver.call().await.at - told;
        assert!(waited >= wait, "{waited:?}");
    }
}

#[tokio::test]
async fn answers_that_say_not_sent_are_cases_of_their_own() {
    let acts = [
        // All slots taken: never ran, so even an unsafe message goes again.
        Act::Say(503, Some(("x-egress-full", "1"))),
        Act::Say(200, None),
        // All attempts used: its end is still owed, at once.
        Act::Say(504, None),
        // Over: nothing is owed.
        Act::Say(410, None),
    ];
    let (mut platform, mut receiver, program, _folder, _) = set_up(&acts, LONG).await;
    program.hand_in("once", "m1", body("text")).await;
    assert_eq!(receiver.call().await.message_id, "m1");
    assert_eq!(receiver.call().await.message_id, "m1");
    program.hand_in("safe", "m2", body("text")).await;
    assert_eq!(receiver.call().await.message_id, "m2");
    assert_eq!(platform.report().await.0, [("m2".to_owned(), "deferred".to_owned())]);
    program.hand_in("safe", "m3", body("text")).await;
    assert_eq!(receiver.call().await.message_id, "m3");
    program.hand_in("safe", "m4", body("text")).await;
    assert_eq!(receiver.call().await.message_id, "m4");
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

#[tokio::test]
async fn a_receiver_that_drains_or_is_missing_from_a_whole_list_gets_nothing_new() {
    let (mut platform, mut first, program, _folder, _) = set_up(&[], LONG).await;
    let (mut second, mut third) = (Receiver::start(&[]).await, Receiver::start(&[]).await);
    let (query, lines) = platform.watch().await;
    assert!(query.contains("watch=1") && query.contains("from=7"), "{query}");
    let changes = [member("r1", first.addr, 7, "DRAINING"), member("r2", second.addr, 7, "SERVING")];
    lines.send(list(8, false, &changes).to_string()).expect("a watch");
    program.hand_in("safe", "probe", body("text")).await;
    // Until the change has been read the first one may still get a message.
    while second.nothing_called() {
        program.hand_in("safe", "probe", body("text")).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while first.calls.try_recv().is_ok() {}
    for n in 0..10 {
        program.hand_in("safe", &format!("a{n}"), body("text")).await;
        second.call().await;
    }
    assert!(first.nothing_called());
    // The watch ends; the next one goes on from there, and brings a whole list.
    drop(lines);
    let (query, lines) = platform.watch().await;
    assert!(query.contains("from=8"), "{query}");
    let whole = list(9, true, &[member("r3", third.addr, 7, "SERVING")]).to_string();
    lines.send(whole).expect("a watch");
    while third.nothing_called() {
        program.hand_in("safe", "probe", body("text")).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while second.calls.try_recv().is_ok() {}
    for n in 0..10 {
        program.hand_in("safe", &format!("b{n}"), body("text")).await;
        third.call().await;
    }
    assert!(first.nothing_called() && second.nothing_called());
}

/// What a restart finds in its configuration may be older than what the sender was told before it.
#[tokio::test]
async fn what_a_restart_takes_up_again_does_not_go_where_the_newest_list_says_drain() {
    let (platform, mut first, program, folder, config) = set_up(&[Act::Hang], LONG).await;
    let mut second = Receiver::start(&[]).await;
    program.hand_in("safe", "m1", body("text")).await;
    first.call().await;
    program.kill().await;
    let now = [member("r1", first.addr, 7, "DRAINING"), member("r2", second.addr, 7, "SERVING")];
    *platform.list.lock().expect("a list") = Some(list(8, true, &now));
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(second.call().await.message_id, "m1");
    assert!(first.nothing_called());
}

#[tokio::test]
async fn a_notice_is_repeated_until_it_is_acknowledged_and_then_forgotten() {
    let (mut platform, mut receiver, program, folder, config) = set_up(&[Act::Break], LONG).await;
    platform.answer_reports(&[500, 503, 400]);
    program.hand_in("once", "m1", body("text")).await;
    receiver.call().await;
    for status in [500, 503] {
        assert_eq!(platform.report().await, (vec![undeliverable("m1")], status));
    }
    // Also across a kill; the third may be of before or after it.
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    loop {
        let (notices, status) = platform.report().await;
        assert_eq!(notices, [undeliverable("m1")]);
        if status == 204 {
            break;
        }
    }
    // A further message ends in a batch after the acknowledgement, so that is on record by then.
    receiver.then(&[Act::Break]);
    program.hand_in("once", "m2", body("text")).await;
    assert_eq!(platform.report().await, (vec![undeliverable("m2")], 204));
    program.kill().await;
    receiver.then(&[Act::Break]);
    let program = Program::start(&config, &folder.1).await;
    program.hand_in("once", "m3", body("text")).await;
    loop {
        let (notices, _) = platform.report().await;
        assert!(!notices.contains(&undeliverable("m1")));
        if notices.contains(&undeliverable("m3")) {
            break;
        }
    }
}

/// The acknowledgement of the first one's notice would have ended the second one in the journal.
#[tokio::test]
async fn an_id_whose_notice_is_owed_is_not_taken_on_again() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Break], LONG).await;
    platform.answer_reports(&[500; 100]);
    program.hand_in("once", "m1", body("text")).await;
    receiver.call().await;
    platform.report().await;
    assert_eq!(program.hand_in("once", "m1", body("text")).await.status(), 503);
    assert!(receiver.nothing_called());
}

/// A start with no list at all must not turn clients away for good.
#[tokio::test]
async fn without_any_list_a_message_is_refused_and_not_failed() {
    let platform = FakePlatform::start().await;
    let folder = lasting();
    let program = Program::start(&config(platform.addr, &[], LONG), &folder.1).await;
    assert_eq!(program.hand_in("safe", "m1", body("text")).await.status(), 503);
}

#[tokio::test]
async fn a_notice_comes_in_time_when_nothing_answers() {
    let (mut platform, mut receiver, program, _folder, _) = set_up(&[Act::Hang; 4], LONG).await;
    let handed = Instant::now();
    program.hand_in_within("keyed", "m1", body("text"), "0.8").await;
    receiver.call().await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    let after = handed.elapsed();
    assert!(after < Duration::from_millis(800 + 300), "{after:?}");
}

#[tokio::test]
async fn sigterm_lets_calls_finish_and_leaves_the_rest_to_the_journal() {
    // The unsafe one is waited for until its time is up, which is longer than a stop may take.
    let (mut platform, mut receiver, mut program, folder, config) =
        set_up(&[Act::Hang, Act::Hang], LONG).await;
    for (class, message_id) in [("keyed", "m1"), ("once", "m0")] {
        program.hand_in(class, message_id, body("text")).await;
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    let told = Instant::now();
    program.terminate().await;
    program.says("stopping").await;
    // Clients still come: their messages are taken on and sent, and their connections close.
    let answer = program.hand_in("safe", "m2", body("text")).await;
    assert_eq!(answer.status(), 202);
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(receiver.call().await.message_id, "m2");
    let ready = Request::get("/-/ready").body(Full::default()).expect("a request");
    assert_eq!(program.request(ready).await.expect("an answer").status(), 503);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(told.elapsed() < Duration::from_millis(3_700), "{:?}", told.elapsed());
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [undeliverable("m0")]);
    assert_eq!(receiver.call().await.message_id, "m1");
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

#[tokio::test]
async fn bad_input_is_answered_plainly_and_takes_nothing_on() {
    let (mut platform, mut receiver, program, folder, _) = set_up(&[], LONG).await;
    let good = [
        ("x-txn", "m1"),
        ("x-org", "acme"),
        ("x-remaining", "5"),
        ("x-route-to", "dest=7"),
        ("idempotency-key", "k"),
    ];
    let cases = [
        ("/safe", "x-txn", "", 400),
        ("/safe", "x-org", "nobody", 400),
        ("/safe", "x-remaining", "soon", 400),
        ("/safe", "x-remaining", "-1", 400),
        ("/safe", "x-remaining", "NaN", 400),
        ("/safe", "x-remaining", "inf", 400),
        ("/safe", "x-route-to", "dest=70000", 400),
        ("/safe", "x-route-to", "7", 400),
        ("/safe", "x-route-to", "dest=8", 404),
        ("/keyed", "idempotency-key", "", 400),
        ("/nothing", "x-txn", "m1", 404),
        ("/", "x-txn", "m1", 404),
    ];
    for (path, name, value, status) in cases {
        let mut request = Request::post(path);
        for (header, usual) in good {
            request = request.header(header, if header == name { value } else { usual });
        }
        let answer = program.request(request.body(Full::new(body("text"))).expect("a request")).await;
        assert_eq!(answer.expect("an answer").status(), status, "{path} {name} {value:?}");
    }
    let large = Bytes::from(vec![0; 64 * 1024 + 1]);
    assert_eq!(program.hand_in("safe", "m1", large).await.status(), 413);
    let put = Request::put("/safe").body(Full::default()).expect("a request");
    assert_eq!(program.request(put).await.expect("an answer").status(), 405);
    for raw in [
        &b"nonsense\r\n\r\n"[..],
        b"POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n",
        b"POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    ] {
        let mut stream = tokio::net::TcpStream::connect(program.addr).await.expect("a connection");
        stream.write_all(raw).await.expect("writable");
        let mut answer = String::new();
        soon("an answer", stream.read_to_string(&mut answer)).await.expect("text");
        assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    // A body that ends too early.
    let mut stream = tokio::net::TcpStream::connect(program.addr).await.expect("a connection");
    let head = "POST /safe HTTP/1.1\r\nHost: a\r\nX-Txn: cut\r\nX-Org: acme\r\nX-Remaining: 5\r\nX-Route-To: dest=7\r\n\
                Content-Length: 9\r\n\r\nshort";
    stream.write_all(head.as_bytes()).await.expect("writable");
    stream.shutdown().await.expect("half closed");
    let mut answer = String::new();
    let _ = soon("the end", stream.read_to_string(&mut answer)).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert_eq!(program.hand_in("safe", "last", body("text")).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "last");
    assert!(receiver.nothing_called() && platform.nothing_reported());
    assert!(disk_use(&folder.1) <= 512);
}

#[tokio::test]
async fn what_is_shed_near_the_most_held_is_answered_at_once() {
    let (mut platform, _receiver, program, _folder, _) = set_up(&[Act::Hang; 16], LONG).await;
    let mut refused = 0;
    for n in 0..110 {
        let answer = program.hand_in("once", &format!("m{n}"), body("text")).await;
        refused += u32::from(answer.status() == 503);
    }
    // At most 95 of 100 are held: the others are refused or deferred, a minute before their time is up.
    while refused < 15 {
        for (_, status) in platform.report().await.0 {
            assert_eq!(status, "deferred");
            refused += 1;
        }
    }
}

#[tokio::test]
async fn a_configuration_that_cannot_work_ends_in_one_line() {
    let (_folder, state) = lasting();
    let good = config("127.0.0.1:1".parse().expect("an address"), &[], LONG);
    let mut in_order = good["settings"].clone();
    in_order["lanes"][1]["in_order"] = true.into();
    for (key, value) in [
        ("listen", serde_json::json!("nowhere")),
        ("limits", serde_json::json!({"sockets": 3, "disk_mb": 3})),
        ("settings", serde_json::json!({"lanes": 5})),
        ("settings", serde_json::json!({})),
        ("settings", in_order),
    ] {
        let mut bad = good.clone();
        bad[key] = value;
        let output = soon("the end", spawn(&bad, &state).wait_with_output()).await.expect("an end");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && log.lines().count() == 1, "{key}: {log}");
    }
}
