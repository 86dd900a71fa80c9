//! Answers as operators get them on the control listener.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::{Act, FakePlatform, Folder, Program, Receiver, config, lasting, member, soon};
use crate::expected::{assert_golden, printable, section};
use crate::normalise::number_kinds;

const DEADLINE_MS: f64 = 60_000.0;

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

/// All that is answered to some bytes.
async fn answer(control: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(control).await.expect("a connection");
    stream.write_all(bytes).await.expect("writable");
    let mut answer = Vec::new();
    soon("an answer", stream.read_to_end(&mut answer)).await.expect("readable");
    printable(&answer)
}

/// The answers to some commands, one after another.
async fn answers(control: SocketAddr, commands: &[&str]) -> String {
    let mut text = String::new();
    for command in commands {
        let line = format!("{command}\n");
        let title = printable(line.as_bytes()).replace('\n', "");
        text += &section(&title, &answer(control, line.as_bytes()).await);
    }
    text
}

#[tokio::test]
async fn commands_are_answered_with_these_bytes() {
    let (_platform, _receiver, _program, _folder, control) = set_up(&[]).await;
    let text = answers(control, &["status", "standby", "active", "unknown", ""]).await;
    assert_golden("control_commands.txt", &text);
}

/// A call that is out keeps the program from its end for a while.
#[tokio::test]
async fn commands_to_a_program_that_stops_are_answered_with_these_bytes() {
    let (_platform, mut receiver, mut program, _folder, control) = set_up(&[Act::Hang]).await;
    assert_eq!(program.hand_in("once", "m1", "text".into()).await.status(), 202);
    receiver.call().await;
    program.terminate().await;
    program.says("stopping").await;
    let text = answers(control, &["status", "standby", "active"]).await;
    assert_golden("control_commands_while_stopping.txt", &text);
}

#[tokio::test]
async fn figures_have_these_keys_in_this_order() {
    let (_platform, mut receiver, program, _folder, control) = set_up(&[]).await;
    assert_eq!(program.hand_in("safe", "m1", "text".into()).await.status(), 202);
    receiver.call().await;
    assert_golden("control_stats.txt", &number_kinds(&answer(control, b"stats\n").await));
}
