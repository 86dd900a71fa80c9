//! SIGTERM and SIGKILL against requests and calls in progress, byte by byte in a forced order.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::fixture::{Fixture, set_up};
use common::program::{Program, signal, spawn};
use common::{DEADLINE_MS, body, read_to_end};
use rudderspindle_testkit::scripted_peers::{
    Notification, Receiver, ScriptedResponse, list, raw_submission, read_rest_of_response, read_status,
    with_timeout,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

fn request(message_id: &str) -> Vec<u8> {
    raw_submission(message_id, "Content-Length: 4", "text")
}

/// Bytes of a client that are in the receive queue of the program's socket, from the system's table of connections;
/// `None` if there is no such connection.
fn unread_bytes(client: &TcpStream) -> Option<u64> {
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

/// Waits until this number of bytes is in the receive queue of the program's socket.
async fn wait_for_unread_bytes(client: &TcpStream, bytes: usize) {
    let waiting = async {
        while unread_bytes(client) != Some(bytes as u64) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    with_timeout("unread bytes", waiting).await;
}

/// A response after which the connection ended without a reset.
struct LastResponse {
    status: u16,
    text: String,
}

impl LastResponse {
    async fn read(client: &mut TcpStream) -> Self {
        let text = read_to_end(client).await;
        let status = text.get(9..12).and_then(|status| status.parse().ok());
        Self { status: status.unwrap_or_else(|| panic!("it ended within {text:?}")), text }
    }
}

/// The message ids of the next calls, sorted.
async fn next_calls(receiver: &mut Receiver, calls: usize) -> Vec<String> {
    let mut message_ids = Vec::new();
    while message_ids.len() < calls {
        message_ids.push(receiver.next_call().await.message_id);
    }
    message_ids.sort();
    message_ids
}

#[tokio::test]
async fn a_request_partly_read_at_sigterm_is_accepted_once_the_rest_has_come() {
    let Fixture { mut platform, mut receiver, mut program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let whole = |part: usize| request(&format!("m{part}"));
    let head = whole(0).len() - 4;
    // Nothing, half of the head, the whole head, half of the body.
    let parts = [0, 40, head, head + 2];
    let mut clients = Vec::new();
    for (n, part) in parts.into_iter().enumerate() {
        clients.push(program.raw(&whole(n)[..part]).await);
    }
    for client in &clients {
        wait_for_unread_bytes(client, 0).await;
    }
    program.terminate().await;
    program.wait_for_log_line("stopping").await;
    for (n, (client, part)) in clients.iter_mut().zip(parts).enumerate() {
        client.write_all(&whole(n)[part..]).await.expect("it is open");
        let LastResponse { status, text } = LastResponse::read(client).await;
        assert!(status == 202 && text.to_lowercase().contains("connection: close"), "{n}: {text}");
    }
    assert_eq!(next_calls(&mut receiver, 4).await, ["m0", "m1", "m2", "m3"]);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

/// The program is paused while the requests arrive at its sockets, so that it finds them and the signal at once.
#[tokio::test]
async fn requests_in_the_listen_backlog_or_on_an_idle_connection_at_sigterm_are_accepted() {
    let Fixture { mut platform, mut receiver, mut program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let mut idle = program.raw(&request("first")).await;
    assert_eq!(read_status(&mut idle).await, Some(202));
    read_rest_of_response(&mut idle).await;
    assert_eq!(receiver.next_call().await.message_id, "first");
    program.signal("-STOP").await;
    let mut clients = vec![idle];
    for _ in 0..10 {
        clients.push(TcpStream::connect(program.addr).await.expect("the system accepts it"));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        let bytes = request(&format!("m{n:02}"));
        client.write_all(&bytes).await.expect("writable");
        wait_for_unread_bytes(client, bytes.len()).await;
    }
    program.terminate().await;
    program.signal("-CONT").await;
    for client in &mut clients {
        assert_eq!(LastResponse::read(client).await.status, 202);
    }
    let all: Vec<String> = (0..11).map(|n| format!("m{n:02}")).collect();
    assert_eq!(next_calls(&mut receiver, 11).await, all);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

#[tokio::test]
async fn a_second_sigterm_changes_nothing() {
    let Fixture { platform: _platform, mut receiver, mut program, folder: _folder, .. } =
        set_up(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    receiver.next_call().await;
    program.terminate().await;
    program.wait_for_log_line("stopping").await;
    program.terminate().await;
    assert_eq!(program.submit("safe", "m2", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m2");
    program.terminate().await;
    assert_eq!(program.exit().await.code(), Some(0));
}

/// SIGTERM arrives while the program waits for a list that never arrives.
#[tokio::test]
async fn sigterm_before_the_program_is_ready_ends_it_cleanly_and_loses_nothing() {
    let Fixture { platform: _platform, mut receiver, program, folder, mut config } =
        set_up(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    assert_eq!(program.submit("safe", "m1", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "m1");
    program.kill().await;
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let good = config["discovery"].clone();
    config["discovery"] = discovery.local_addr().expect("an address").to_string().into();
    // Without receivers nothing can be delivered.
    let known = std::mem::replace(&mut config["known"], list(7, true, &[]));
    let mut child = spawn(&config, &folder.state);
    let request = with_timeout("a request for the list", discovery.accept()).await.expect("a connection");
    signal(&child, "-TERM").await;
    let status = with_timeout("the end", child.wait()).await.expect("a status");
    assert_eq!(status.code(), Some(0));
    drop(request);
    (config["discovery"], config["known"]) = (good, known);
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(receiver.next_call().await.message_id, "m1");
}

/// The program is paused and then killed while it stops: with a call in flight, an unread request, and a request that is
/// half read.
#[tokio::test]
async fn after_sigterm_and_sigkill_only_acknowledged_messages_are_sent() {
    let Fixture { mut platform, mut receiver, mut program, folder, config } =
        set_up(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    let mut half = program.raw(&request("half")[..60]).await;
    wait_for_unread_bytes(&half, 0).await;
    program.terminate().await;
    program.wait_for_log_line("stopping").await;
    let answer = program.submit("safe", "answered", body()).await;
    assert_eq!(answer.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "answered");
    program.signal("-STOP").await;
    let bytes = request("unread");
    let mut unread = program.raw(&bytes).await;
    wait_for_unread_bytes(&unread, bytes.len()).await;
    program.kill().await;
    for client in [&mut half, &mut unread] {
        assert_eq!(read_status(client).await, None);
    }
    let program = Program::start(&config, &folder.state).await;
    assert_eq!(receiver.next_call().await.message_id, "answered");
    // The journal holds nothing else.
    assert_eq!(program.submit("safe", "last", body()).await.status(), 202);
    assert_eq!(receiver.next_call().await.message_id, "last");
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

/// The signal arrives between submissions and journal writes; each client gets the right response.
#[tokio::test]
async fn each_of_many_submissions_at_sigterm_is_answered_and_accepted_messages_are_delivered() {
    let Fixture { mut platform, mut receiver, mut program, folder, config } = set_up(&[], DEADLINE_MS).await;
    let mut clients = Vec::new();
    for n in 0..30 {
        let bytes = request(&format!("m{n:02}"));
        let mut client = program.raw(&bytes[..bytes.len() - 1]).await;
        clients.push(tokio::spawn(async move {
            client.write_all(b"t").await.expect("it is open");
            LastResponse::read(&mut client).await.status
        }));
        if n == 15 {
            program.terminate().await;
        }
    }
    let mut accepted = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        assert_eq!(client.await.expect("an answer"), 202, "m{n:02}");
        accepted.push(format!("m{n:02}"));
    }
    assert_eq!(program.exit().await.code(), Some(0));
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(next_calls(&mut receiver, accepted.len()).await, accepted);
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}

#[tokio::test]
async fn sigterm_lets_calls_finish_and_leaves_the_rest_in_the_journal() {
    // The at-most-once message has more time left than a shutdown may take.
    let Fixture { mut platform, mut receiver, mut program, folder, config } =
        set_up(&[ScriptedResponse::NoResponse, ScriptedResponse::NoResponse], DEADLINE_MS).await;
    for (class, message_id) in [("keyed", "m1"), ("once", "m0")] {
        program.submit(class, message_id, body()).await;
        assert_eq!(receiver.next_call().await.message_id, message_id);
    }
    let terminated_at = Instant::now();
    program.terminate().await;
    program.wait_for_log_line("stopping").await;
    // Clients still connect: their messages are accepted and sent, and their connections close.
    let answer = program.submit("safe", "m2", body()).await;
    assert_eq!(answer.status(), 202);
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(receiver.next_call().await.message_id, "m2");
    assert_eq!(program.readiness().await, 503);
    assert_eq!(program.exit().await.code(), Some(0));
    assert!(terminated_at.elapsed() < Duration::from_millis(3_700), "{:?}", terminated_at.elapsed());
    let _program = Program::start(&config, &folder.state).await;
    assert_eq!(platform.next_notifications().await.notifications, [Notification::undeliverable("m0")]);
    assert_eq!(receiver.next_call().await.message_id, "m1");
    assert!(receiver.has_no_calls() && platform.has_no_notifications());
}
