//! SIGTERM and SIGKILL against requests and calls in progress, byte by byte in a forced order.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn request(message_id: &str) -> Vec<u8> {
    raw_submission(message_id, "Content-Length: 4", "text")
}

/// Bytes that have come to the other end of a client's connection and that nobody has read, as the system has it;
/// none if there is no such connection.
fn unread(client: &TcpStream) -> Option<u64> {
    let hex = |addr: SocketAddr| {
        let SocketAddr::V4(addr) = addr else { panic!("not IPv4") };
        format!("{:08X}:{:04X}", u32::from_ne_bytes(addr.ip().octets()), addr.port())
    };
    let ends = [client.peer_addr(), client.local_addr()].map(|addr| hex(addr.expect("an address")));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of connections");
    table.lines().find_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let found = fields.next()? == ends[0] && fields.next()? == ends[1];
        let (_, queue) = fields.nth(1)?.split_once(':')?;
        found.then(|| u64::from_str_radix(queue, 16).expect("a number"))
    })
}

/// Waits until so many bytes lie unread at the program's end.
async fn lie_unread(client: &TcpStream, bytes: usize) {
    let waiting = async {
        while unread(client) != Some(bytes as u64) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    soon("bytes unread", waiting).await;
}

/// The answer to a client's last request, after which its connection ends without a reset.
async fn last_answer(client: &mut TcpStream) -> (u16, String) {
    let mut answer = String::new();
    soon("an answer and the end", client.read_to_string(&mut answer)).await.expect("no reset");
    let status = answer.get(9..12).and_then(|status| status.parse().ok());
    (status.unwrap_or_else(|| panic!("it ended within {answer:?}")), answer)
}

/// The ids of the next calls, in order of the alphabet.
async fn called(receiver: &mut Receiver, calls: usize) -> Vec<String> {
    let mut message_ids = Vec::new();
    while message_ids.len() < calls {
        message_ids.push(receiver.call().await.message_id);
    }
    message_ids.sort();
    message_ids
}

#[tokio::test]
async fn a_request_partly_read_at_sigterm_is_accepted_once_the_rest_has_come() {
    let (mut platform, mut receiver, mut program, _folder, _) = set_up(&[], DEADLINE_MS).await;
    let whole = |part: usize| request(&format!("m{part}"));
    let head = whole(0).len() - 4;
    // Nothing, half a head, a whole head, half a body.
    let parts = [0, 40, head, head + 2];
    let mut clients = Vec::new();
    for (n, part) in parts.into_iter().enumerate() {
        clients.push(program.raw(&whole(n)[..part]).await);
    }
    for client in &clients {
        lie_unread(client, 0).await;
    }
    program.terminate().await;
    program.says("stopping").await;
    for (n, (client, part)) in clients.iter_mut().zip(parts).enumerate() {
        client.write_all(&whole(n)[part..]).await.expect("it is open");
        let (status, answer) = last_answer(client).await;
        assert!(status == 202 && answer.to_lowercase().contains("connection: close"), "{n}: {answer}");
    }
    assert_eq!(called(&mut receiver, 4).await, ["m0", "m1", "m2", "m3"]);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

/// The program is paused while all requests come to its sockets, so that it finds them and the signal at once.
#[tokio::test]
async fn requests_in_the_listen_backlog_or_on_an_idle_connection_at_sigterm_are_accepted() {
    let (mut platform, mut receiver, mut program, _folder, _) = set_up(&[], DEADLINE_MS).await;
    let mut resting = program.raw(&request("first")).await;
    assert_eq!(status(&mut resting).await, Some(202));
    rest_of_answer(&mut resting).await;
    assert_eq!(receiver.call().await.message_id, "first");
    program.signal("-STOP").await;
    let mut clients = vec![resting];
    for _ in 0..10 {
        clients.push(TcpStream::connect(program.addr).await.expect("the system accepts it"));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        let bytes = request(&format!("m{n:02}"));
        client.write_all(&bytes).await.expect("writable");
        lie_unread(client, bytes.len()).await;
    }
    program.terminate().await;
    program.signal("-CONT").await;
    for client in &mut clients {
        assert_eq!(last_answer(client).await.0, 202);
    }
    let all: Vec<String> = (0..11).map(|n| format!("m{n:02}")).collect();
    assert_eq!(called(&mut receiver, 11).await, all);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

#[tokio::test]
async fn a_second_sigterm_changes_nothing() {
    let (_platform, mut receiver, mut program, _folder, _) = set_up(&[Act::Hang], DEADLINE_MS).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    receiver.call().await;
    program.terminate().await;
    program.says("stopping").await;
    program.terminate().await;
    assert_eq!(program.hand_in("safe", "m2", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m2");
    program.terminate().await;
    assert_eq!(program.exit().await.code(), Some(0));
}

/// SIGTERM comes while it waits for a list that does not come.
#[tokio::test]
async fn sigterm_before_the_program_is_ready_ends_it_cleanly_and_loses_nothing() {
    let (_platform, mut receiver, program, folder, mut config) = set_up(&[Act::Hang], DEADLINE_MS).await;
    assert_eq!(program.hand_in("safe", "m1", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "m1");
    program.kill().await;
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let good = config["discovery"].clone();
    config["discovery"] = discovery.local_addr().expect("an address").to_string().into();
    // Nothing can be delivered meanwhile.
    let known = std::mem::replace(&mut config["known"], list(7, true, &[]));
    let mut child = spawn(&config, &folder.1);
    let asked = soon("a request for the list", discovery.accept()).await.expect("a connection");
    signal(&child, "-TERM").await;
    let status = soon("the end", child.wait()).await.expect("a status");
    assert_eq!(status.code(), Some(0));
    drop(asked);
    (config["discovery"], config["known"]) = (good, known);
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(receiver.call().await.message_id, "m1");
}

/// The program is paused and then killed while it stops: with a call out, with a request that it has not read, and with
/// half of one that it has.
#[tokio::test]
async fn after_sigterm_and_sigkill_only_acknowledged_messages_are_sent() {
    let (mut platform, mut receiver, mut program, folder, config) = set_up(&[Act::Hang], DEADLINE_MS).await;
    let mut half = program.raw(&request("half")[..60]).await;
    lie_unread(&half, 0).await;
    program.terminate().await;
    program.says("stopping").await;
    let answer = program.hand_in("safe", "answered", text()).await;
    assert_eq!(answer.status(), 202);
    assert_eq!(receiver.call().await.message_id, "answered");
    program.signal("-STOP").await;
    let bytes = request("unread");
    let mut unread = program.raw(&bytes).await;
    lie_unread(&unread, bytes.len()).await;
    program.kill().await;
    for client in [&mut half, &mut unread] {
        assert_eq!(status(client).await, None);
    }
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(receiver.call().await.message_id, "answered");
    // Behind it in the journal there is nothing else.
    assert_eq!(program.hand_in("safe", "last", text()).await.status(), 202);
    assert_eq!(receiver.call().await.message_id, "last");
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

/// Many submit while the signal comes: whatever the journal is writing just then, each gets the right response.
#[tokio::test]
async fn each_of_many_submissions_at_sigterm_is_answered_and_accepted_messages_are_delivered() {
    let (mut platform, mut receiver, mut program, folder, config) = set_up(&[], DEADLINE_MS).await;
    let mut clients = Vec::new();
    for n in 0..30 {
        let bytes = request(&format!("m{n:02}"));
        let mut client = program.raw(&bytes[..bytes.len() - 1]).await;
        clients.push(tokio::spawn(async move {
            client.write_all(b"t").await.expect("it is open");
            last_answer(&mut client).await.0
        }));
        if n == 15 {
            program.terminate().await;
        }
    }
    let mut taken = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        assert_eq!(client.await.expect("an answer"), 202, "m{n:02}");
        taken.push(format!("m{n:02}"));
    }
    assert_eq!(program.exit().await.code(), Some(0));
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(called(&mut receiver, taken.len()).await, taken);
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

#[tokio::test]
async fn sigterm_lets_calls_finish_and_leaves_the_rest_in_the_journal() {
    // The unsafe one is waited for until its time is up, which is longer than a stop may take.
    let (mut platform, mut receiver, mut program, folder, config) =
        set_up(&[Act::Hang, Act::Hang], DEADLINE_MS).await;
    for (class, message_id) in [("keyed", "m1"), ("once", "m0")] {
        program.hand_in(class, message_id, text()).await;
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    let terminated_at = Instant::now();
    program.terminate().await;
    program.says("stopping").await;
    // Clients still connect: their messages are accepted and sent, and their connections close.
    let answer = program.hand_in("safe", "m2", text()).await;
    assert_eq!(answer.status(), 202);
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(receiver.call().await.message_id, "m2");
    assert_eq!(program.readiness().await, 503);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(terminated_at.elapsed() < Duration::from_millis(3_700), "{:?}", terminated_at.elapsed());
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [undeliverable("m0")]);
    assert_eq!(receiver.call().await.message_id, "m1");
    assert!(receiver.nothing_called() && platform.nothing_reported());
}
