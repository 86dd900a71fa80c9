//! Lines on standard error of a program that runs: those that tests, the smoke test and operators' pages read.

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::common::{
    Act, FakePlatform, Folder, Receiver, config, lasting, list, member, raw_submission, soon, status,
};
use crate::expected::assert_golden;
use crate::logged::Logged;
use crate::normalise::known;

const DEADLINE_MS: f64 = 60_000.0;

/// A platform and a receiver, a folder and a configuration.
async fn site(acts: &[Act]) -> (FakePlatform, Receiver, Folder, Value) {
    let (platform, receiver) = (FakePlatform::start().await, Receiver::start(acts).await);
    let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    (platform, receiver, lasting(), config)
}

/// Hands a message of class `safe` in.
async fn hand_in(program: &Logged) {
    let addr = program.address_after("listening on ");
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(&raw_submission("m1", "Content-Length: 4", "text")).await.expect("writable");
    assert_eq!(status(&mut stream).await, Some(202));
}

async fn call(control: &str, line: &str) {
    let mut stream = TcpStream::connect(control).await.expect("a connection");
    stream.write_all(line.as_bytes()).await.expect("writable");
    let mut answer = String::new();
    soon("an answer", stream.read_to_string(&mut answer)).await.expect("readable");
    assert_eq!(answer, "done\n");
}

/// A log without what is said of discovery: on a slow machine a start may have waited in vain for the list.
fn without_discovery(log: &str) -> String {
    let lines = log.lines().filter(|line| !line.starts_with("discovery "));
    lines.map(|line| format!("{line}\n")).collect()
}

#[tokio::test]
async fn a_program_that_is_configured_drained_and_stopped_logs_these_lines() {
    let (mut platform, _receiver, folder, mut config) = site(&[]).await;
    config["control"] = json!("127.0.0.1:0");
    let file = folder.1.with_extension("json");
    let mut program = Logged::start(&config, &folder.1).await;
    let _watch = platform.watch().await;
    program.signal("-HUP").await;
    program.until("configuration reloaded").await;
    std::fs::write(&file, "{").expect("a configuration file");
    program.signal("-HUP").await;
    program.until("configuration not reloaded").await;
    let control = program.address_after("operators: listening on ").to_owned();
    call(&control, "standby\n").await;
    call(&control, "active\n").await;
    program.signal("-TERM").await;
    let (log, status) = program.end().await;
    assert_eq!(status.code(), Some(0));
    let log = known(&log, &platform.addr.to_string(), "DISCOVERY");
    let log = known(&log, file.to_str().expect("text"), "FILE");
    assert_golden("log_of_a_run.txt", &without_discovery(&log));
}

#[tokio::test]
async fn two_programs_of_which_one_takes_over_log_these_lines() {
    let (mut platform, mut receiver, folder, config) = site(&[Act::Hang]).await;
    let mut old = Logged::start(&config, &folder.1).await;
    let _old_watch = platform.watch().await;
    hand_in(&old).await;
    receiver.call().await;
    let mut new = Logged::start(&config, &folder.1).await;
    let _new_watch = platform.watch().await;
    assert_eq!(old.until("successor connected").await, "");
    old.kill().await;
    new.until("journal taken over").await;
    receiver.call().await;
    new.signal("-TERM").await;
    assert_golden("log_of_a_takeover.txt", &without_discovery(&new.end().await.0));
}

#[tokio::test]
async fn a_program_that_finds_messages_in_its_journal_logs_these_lines() {
    let (mut platform, mut receiver, folder, config) = site(&[Act::Hang]).await;
    let old = Logged::start(&config, &folder.1).await;
    let _old_watch = platform.watch().await;
    hand_in(&old).await;
    receiver.call().await;
    old.kill().await;
    let new = Logged::start(&config, &folder.1).await;
    let _new_watch = platform.watch().await;
    receiver.call().await;
    new.signal("-TERM").await;
    assert_golden("log_of_a_restart.txt", &without_discovery(&new.end().await.0));
}

#[tokio::test]
async fn a_program_whose_discovery_is_silent_logs_these_lines() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let config = config(silent.local_addr().expect("an address"), &[], DEADLINE_MS);
    let folder = lasting();
    let program = Logged::start(&config, &folder.1).await;
    program.signal("-TERM").await;
    assert_golden("log_with_silent_discovery.txt", &program.end().await.0);
}

#[tokio::test]
async fn a_program_whose_watch_ends_logs_this_line() {
    let (mut platform, _receiver, folder, config) = site(&[]).await;
    let mut program = Logged::start(&config, &folder.1).await;
    let (_, lines) = platform.watch().await;
    lines.send(list(8, false, &[]).to_string()).expect("a watch");
    drop(lines);
    let rest = program.until("discovery watch failed").await;
    assert_golden("log_of_a_watch_that_ends.txt", &format!("discovery watch failed{rest}\n"));
}
