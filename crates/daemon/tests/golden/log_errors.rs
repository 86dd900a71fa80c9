//! Log lines and exit status of a program that cannot start.

use std::net::SocketAddr;
use std::path::Path;

use rudderspindle_testkit::scripted_peers::{FakePlatform, config, with_timeout};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::process::Command;

use crate::common::DEADLINE_MS;
use crate::common::folder::persistent_folder;
use crate::common::program::Program;
use crate::expected::{assert_golden, section};
use crate::normalise::known;

/// The log and exit status of a start with these variables.
async fn failed_start(variables: &[(&str, &str)]) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_rudderspindle"));
    for name in
        ["RELAY_CONFIG", "RELAY_STATE", "RELAY_CONTROL", "RELAY_FLEET", "RELAY_ACCEPT_FD", "RELAY_LOG"]
    {
        program.env_remove(name);
    }
    program.envs(variables.iter().copied()).kill_on_drop(true);
    let output = with_timeout("the end", program.output()).await.expect("it runs");
    let code = output.status.code().expect("it ended by itself");
    assert_eq!(output.stdout, b"", "nothing goes to standard output");
    format!("{}exit status {code}\n", String::from_utf8(output.stderr).expect("text"))
}

fn good() -> Value {
    let nobody: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    config(nobody, &[], DEADLINE_MS)
}

/// The log of a start with this text as configuration, with the paths of file and folder replaced.
async fn refused(text: &str, state: &Path) -> String {
    let file = state.with_extension("json");
    std::fs::write(&file, text).expect("a configuration file");
    let (file, state) = (file.to_str().expect("text"), state.to_str().expect("text"));
    let said = failed_start(&[("RELAY_CONFIG", file), ("RELAY_STATE", state)]).await;
    said.replace(file, "FILE").replace(state, "FOLDER")
}

#[tokio::test]
async fn a_start_with_a_missing_or_invalid_variable_ends_with_these_lines() {
    let folder = persistent_folder();
    let file = folder.state.with_extension("json");
    std::fs::write(&file, good().to_string()).expect("a configuration file");
    let (file, state) = (file.to_str().expect("text"), folder.state.to_str().expect("text"));
    let missing = format!("{file}.missing");
    let both = [("RELAY_CONFIG", file), ("RELAY_STATE", state)];
    let cases: [(&str, &[(&str, &str)]); 5] = [
        ("no configuration", &[]),
        ("no state", &both[..1]),
        ("no such file", &[("RELAY_CONFIG", &missing), both[1]]),
        ("control that is no address", &[both[0], both[1], ("RELAY_CONTROL", "nowhere")]),
        ("descriptor that is none", &[both[0], both[1], ("RELAY_ACCEPT_FD", "two")]),
    ];
    let mut text = String::new();
    for (title, variables) in cases {
        text += &section(title, &failed_start(variables).await.replace(file, "FILE"));
    }
    assert_golden("log_of_failed_starts.txt", &text);
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_program_with_these_lines() {
    let folder = persistent_folder();
    let mut text = section("no JSON", &refused("{", &folder.state).await);
    let cases = [
        ("/listen", json!("nowhere")),
        ("/discovery", json!(5)),
        ("/limits/sockets", json!(3)),
        ("/limits/disk_mb", json!(-1)),
        ("/known/members", json!(5)),
        ("/settings/lanes", json!([])),
        ("/settings/lanes/1/effect", json!("sure")),
        ("/settings/lanes/1/in_order", json!(true)),
        ("/settings/lanes/0/deadline", json!("1s")),
        ("/settings/peers_total", json!(0)),
        ("/settings/limits/max_attempts", json!(0)),
        ("/settings/extra/calls_out", Value::Null),
        ("/settings/rules/cold_from", json!(2)),
    ];
    for (place, value) in cases {
        let (parent, key) = place.rsplit_once('/').expect("a place");
        let mut config = good();
        config.pointer_mut(parent).expect("a place")[key] = value;
        text += &section(place, &refused(&config.to_string(), &folder.state).await);
    }
    assert_golden("log_of_refused_configurations.txt", &text);
}

#[tokio::test]
async fn an_address_in_use_ends_the_program_with_this_line() {
    let (folder, taken) = (persistent_folder(), TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    let addr = taken.local_addr().expect("an address").to_string();
    let mut config = good();
    config["listen"] = json!(addr);
    let said = refused(&config.to_string(), &folder.state).await;
    assert_golden("log_of_a_taken_address.txt", &known(&said, &addr, "ADDRESS"));
}

#[tokio::test]
async fn a_third_program_on_one_folder_ends_with_this_line() {
    let (platform, folder) = (FakePlatform::start().await, persistent_folder());
    let config = config(platform.addr, &[], DEADLINE_MS);
    let _first = Program::start(&config, &folder.state).await;
    let _second = Program::start(&config, &folder.state).await;
    let said = refused(&config.to_string(), &folder.state).await;
    assert_golden("log_of_a_third_program.txt", &said);
}
