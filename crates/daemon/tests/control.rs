//! Commands on the control listener: status, metrics, drain and reactivation.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A sender with a control listener, and where that is.
async fn set_up(acts: &[Act]) -> (FakePlatform, Receiver, Program, Folder, SocketAddr) {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(acts).await);
    let mut config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    config["control"] = json!("127.0.0.1:0");
    let folder = lasting();
    let program = Program::start(&config, &folder.1).await;
    let control = program.operators.expect("it says where operators call");
    (platform, receiver, program, folder, control)
}

/// All that is answered to one line.
async fn call(control: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(control).await.expect("a connection");
    stream.write_all(line.as_bytes()).await.expect("writable");
    let mut answer = String::new();
    soon("an answer", stream.read_to_string(&mut answer)).await.expect("readable");
    answer
}

async fn metrics(control: SocketAddr) -> Value {
    let answer = call(control, "stats\n").await;
    let (metrics, end) = answer.split_once('\n').expect("two lines");
    assert_eq!(end, "end\n");
    serde_json::from_str(metrics).expect("metrics")
}

#[tokio::test]
async fn metrics_count_each_final_outcome_and_what_is_pending() {
    let (_platform, mut receiver, program, _folder, control) =
        set_up(&[Act::Say(200, None), Act::Say(500, None), Act::Hang]).await;
    assert_eq!(call(control, "status\n").await, "done\n");
    for (class, message_id) in [("safe", "m1"), ("once", "m2"), ("safe", "m3")] {
        let answer = program.hand_in(class, message_id, text()).await;
        assert_eq!(answer.status(), 202);
        receiver.call().await;
    }
    // The third is out; the ends of the others may be a batch away.
    let mut reported = metrics(control).await;
    let since = Instant::now();
    while reported["faulted"]["once"] != 1 || reported["fulfilled"]["safe"] != 1 {
        assert!(since.elapsed() < Duration::from_secs(10), "{reported}");
        tokio::time::sleep(Duration::from_millis(5)).await;
        reported = metrics(control).await;
    }
    assert_eq!(reported["relayed"], 3);
    assert_eq!(reported["open_requests"], 1);
    assert_eq!(reported["registry_entries"], 1);
    assert_eq!(reported["throttled"]["safe"], 0);
}

#[tokio::test]
async fn a_drained_sender_serves_requests_without_keep_alive_and_can_be_reactivated() {
    let (_platform, mut receiver, program, _folder, control) = set_up(&[]).await;
    // One at rest, and one whose message is half-way when the drain begins.
    let hand_in = |message_id| raw_submission(message_id, "Content-Length: 4", "text");
    let mut rests = program.raw(&hand_in("m1")).await;
    assert_eq!(status(&mut rests).await, Some(202));
    let whole = hand_in("m2");
    let mut comes = program.raw(&whole[..30]).await;
    let mut fresh = program.raw(b"").await;
    assert_eq!(program.readiness().await, 200);
    assert_eq!(call(control, "standby\n").await, "done\n");
    rest(&mut rests).await;
    assert_eq!(program.readiness().await, 503);
    comes.write_all(&whole[30..]).await.expect("it is open");
    assert_eq!(status(&mut comes).await, Some(202));
    rest(&mut comes).await;
    fresh.write_all(&hand_in("m3")).await.expect("it is open");
    assert_eq!(status(&mut fresh).await, Some(202));
    rest(&mut fresh).await;
    for message_id in ["m1", "m2", "m3"] {
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    assert_eq!(call(control, "active\n").await, "done\n");
    assert_eq!(program.readiness().await, 200);
    let mut stays = program.raw(&hand_in("m4")).await;
    assert_eq!(status(&mut stays).await, Some(202));
    rest_of_answer(&mut stays).await;
    stays.write_all(&hand_in("m5")).await.expect("it is kept");
    assert_eq!(status(&mut stays).await, Some(202));
}

#[tokio::test]
async fn incomplete_control_requests_do_not_block_other_callers() {
    let (_platform, _receiver, _program, _folder, control) = set_up(&[]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut stream = TcpStream::connect(control).await.expect("a connection");
        stream.write_all(if n % 2 == 0 { b"stat" } else { b"" }).await.expect("writable");
        silent.push(stream);
        let answer = tokio::time::timeout(Duration::from_secs(1), call(control, "status\n")).await;
        assert_eq!(answer.as_deref(), Ok("done\n"));
    }
    assert!(call(control, "sing\n").await.starts_with("error"));
    assert!(call(control, &format!("{}\n", "x".repeat(10_000))).await.starts_with("error"));
}
