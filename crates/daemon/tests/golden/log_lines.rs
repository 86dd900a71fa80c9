//! Log lines of a running program that tests, the smoke test and the operators' pages read.

use std::net::SocketAddr;

use rudderspindle_testkit::scripted_peers::{
    ScriptedResponse, Watch, config, list, raw_submission, read_status,
};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::common::fixture::Site;
use crate::common::folder::persistent_folder;
use crate::common::{DEADLINE_MS, control_response};
use crate::expected::assert_golden;
use crate::logged::{Exit, Logged};
use crate::normalise::known;

/// Submits a message of class `safe`.
async fn submit(program: &Logged) {
    let addr = program.address_after("listening on ");
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(&raw_submission("m1", "Content-Length: 4", "text")).await.expect("writable");
    assert_eq!(read_status(&mut stream).await, Some(202));
}

async fn change_state(control: SocketAddr, command: &str) {
    assert_eq!(control_response(control, format!("{command}\n").as_bytes()).await, "done\n");
}

/// A log without the lines about discovery: on a slow machine the list may not arrive before the start's timeout.
fn without_discovery(log: &str) -> String {
    let lines = log.lines().filter(|line| !line.starts_with("discovery "));
    lines.map(|line| format!("{line}\n")).collect()
}

#[tokio::test]
async fn a_program_that_is_configured_drained_and_stopped_logs_these_lines() {
    let Site { mut platform, receiver: _receiver, folder, mut config } = Site::new(&[], DEADLINE_MS).await;
    config["control"] = json!("127.0.0.1:0");
    let file = folder.state.with_extension("json");
    let mut program = Logged::start(&config, &folder.state).await;
    let _watch = platform.next_watch().await;
    program.signal("-HUP").await;
    program.until("configuration reloaded").await;
    std::fs::write(&file, "{").expect("a configuration file");
    program.signal("-HUP").await;
    program.until("configuration not reloaded").await;
    let control = program.address_after("operators: listening on ").parse().expect("an address");
    change_state(control, "standby").await;
    change_state(control, "active").await;
    program.signal("-TERM").await;
    let Exit { log, status } = program.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    let log = known(&log, &platform.addr.to_string(), "DISCOVERY");
    let log = known(&log, file.to_str().expect("text"), "FILE");
    assert_golden("log_of_a_run.txt", &without_discovery(&log));
}

#[tokio::test]
async fn two_programs_of_which_one_takes_over_log_these_lines() {
    let Site { mut platform, mut receiver, folder, config } =
        Site::new(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    let mut old = Logged::start(&config, &folder.state).await;
    let _old_watch = platform.next_watch().await;
    submit(&old).await;
    receiver.next_call().await;
    let mut new = Logged::start(&config, &folder.state).await;
    let _new_watch = platform.next_watch().await;
    assert_eq!(old.until("successor connected").await, "");
    old.kill().await;
    new.until("journal taken over").await;
    receiver.next_call().await;
    new.signal("-TERM").await;
    assert_golden("log_of_a_takeover.txt", &without_discovery(&new.wait_for_exit().await.log));
}

#[tokio::test]
async fn a_program_that_recovers_messages_from_its_journal_logs_these_lines() {
    let Site { mut platform, mut receiver, folder, config } =
        Site::new(&[ScriptedResponse::NoResponse], DEADLINE_MS).await;
    let old = Logged::start(&config, &folder.state).await;
    let _old_watch = platform.next_watch().await;
    submit(&old).await;
    receiver.next_call().await;
    old.kill().await;
    let new = Logged::start(&config, &folder.state).await;
    let _new_watch = platform.next_watch().await;
    receiver.next_call().await;
    new.signal("-TERM").await;
    assert_golden("log_of_a_restart.txt", &without_discovery(&new.wait_for_exit().await.log));
}

#[tokio::test]
async fn a_program_whose_discovery_is_silent_logs_these_lines() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let config = config(silent.local_addr().expect("an address"), &[], DEADLINE_MS);
    let folder = persistent_folder();
    let program = Logged::start(&config, &folder.state).await;
    program.signal("-TERM").await;
    assert_golden("log_with_silent_discovery.txt", &program.wait_for_exit().await.log);
}

#[tokio::test]
async fn a_program_whose_watch_ends_logs_this_line() {
    let Site { mut platform, receiver: _receiver, folder, config } = Site::new(&[], DEADLINE_MS).await;
    let mut program = Logged::start(&config, &folder.state).await;
    let Watch { lines, .. } = platform.next_watch().await;
    lines.send(list(8, false, &[]).to_string()).expect("a watch");
    drop(lines);
    let rest = program.until("discovery watch failed").await;
    assert_golden("log_of_a_watch_that_ends.txt", &format!("discovery watch failed{rest}\n"));
}
