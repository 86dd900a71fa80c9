//! Invalid configurations: rejected with one line and no side effect, at the start and on SIGHUP.

mod common;
mod invalid_configurations;

use std::net::{SocketAddr, TcpListener};

use common::DEADLINE_MS;
use common::folder::{Folder, persistent_folder};
use common::program::{Program, spawn};
use rudderspindle_testkit::scripted_peers::{
    FakePlatform, Receiver, config, member, raw_submission, read_status, with_timeout,
};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};

use invalid_configurations::{InvalidConfiguration, invalid_configurations};

/// A listener that shows whether anyone has connected.
struct Watched(TcpListener);

impl Watched {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a listener");
        Self(listener)
    }

    fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    fn has_no_connections(&self) -> bool {
        self.0.accept().is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// The configuration with another value at a JSON pointer, or without the value there.
fn with(config: &Value, pointer: &str, value: Option<Value>) -> Value {
    let mut config = config.clone();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = config.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
    match value {
        Some(value) => _ = parent.insert(key.to_owned(), value),
        None => _ = parent.remove(key),
    }
    config
}

/// The log of a start that fails.
async fn failed_start_log(config: &Value, state: &std::path::Path) -> String {
    let output = with_timeout("the end", spawn(config, state).wait_with_output()).await.expect("an end");
    let log = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success(), "{log}");
    log
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_program_with_one_line_before_any_side_effect() {
    let (clients, discovery) = (Watched::new(), Watched::new());
    let Folder { state, root: _folder } = persistent_folder();
    let mut good = config(discovery.addr(), &[], DEADLINE_MS);
    // A port in use: a program that tries to listen there fails with another error.
    good["listen"] = clients.addr().to_string().into();
    let log = failed_start_log(&good, &state).await;
    assert!(log.contains("cannot listen on"), "{log}");
    for InvalidConfiguration { pointer, value, key, expected } in invalid_configurations() {
        let log = failed_start_log(&with(&good, pointer, value), &state).await;
        assert_eq!(log.lines().count(), 1, "{pointer}: {log}");
        assert!(log.starts_with(&format!("rudderspindle: {key}")), "{pointer}: {log}");
        assert!(log.contains(expected), "{pointer}: {log}");
        let left = std::fs::read_dir(&state).expect("a folder").count();
        assert_eq!(left, 0, "{pointer}");
        assert!(clients.has_no_connections() && discovery.has_no_connections(), "{pointer}");
    }
}

/// Warnings are logged for a valid configuration only.
#[tokio::test]
async fn an_invalid_configuration_that_also_has_warnings_is_rejected_with_one_line() {
    let Folder { state, root: _folder } = persistent_folder();
    let with_warnings = with(&config(Watched::new().addr(), &[], DEADLINE_MS), "/settings/peers_total", None);
    for InvalidConfiguration { pointer, value, key, .. } in invalid_configurations() {
        if pointer.starts_with("/settings/peers_total") || pointer == "/settings" {
            continue;
        }
        let log = failed_start_log(&with(&with_warnings, pointer, value), &state).await;
        assert!(log.lines().count() == 1 && log.contains(key), "{pointer}: {log}");
    }
}

#[tokio::test]
async fn a_number_out_of_range_is_rejected_with_its_position() {
    let Folder { state, root: _folder } = persistent_folder();
    let text = config(Watched::new().addr(), &[], DEADLINE_MS).to_string().replace("15000.0", "1e400");
    std::fs::write(state.with_extension("json"), text).expect("a file");
    let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_rudderspindle"));
    program.env("RELAY_CONFIG", state.with_extension("json")).env("RELAY_STATE", &state);
    let output = with_timeout("the end", program.output()).await.expect("it runs");
    let log = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success() && log.lines().count() == 1, "{log}");
    assert!(log.contains("number out of range at line 1 column"), "{log}");
    assert_eq!(std::fs::read_dir(&state).expect("a folder").count(), 0);
}

/// Numbers as floats, unknown keys, and required keys only.
#[tokio::test]
async fn a_minimal_configuration_or_one_with_unknown_keys_works() {
    let (platform, mut receiver) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let members = [member("r1", receiver.addr, 7, "SERVING")];
    let whole = config(platform.addr, &members, DEADLINE_MS);
    platform.set_list(whole["known"].clone());
    let mut more = whole.clone();
    more["limits"]["sockets"] = json!(128.0);
    more["settings"]["extra"]["calls_out"] = json!(16.0);
    more["settings"]["novel"] = json!([{"a": -1}]);
    more["novel"] = json!({"b": "c"});
    let mut little = json!({"listen": "127.0.0.1:0", "discovery": platform.addr.to_string(),
        "limits": {"sockets": 128, "disk_mb": 3}, "settings": {"kinds": ["shared"], "azs": ["a", "b"],
        "extra": {"calls_out": 16}, "limits": {"most_held": 100, "max_attempts": 4},
        "projects": [{"name": "acme"}]}});
    little["settings"]["lanes"] = json!([{"name": "safe", "effect": "free", "deadline": DEADLINE_MS}]);
    for (n, config) in [whole, more, little].iter().enumerate() {
        let folder = persistent_folder();
        let program = Program::start(config, &folder.state).await;
        let message_id = format!("m{n}");
        assert_eq!(program.submit("safe", &message_id, "text".into()).await.status(), 202, "{config}");
        assert_eq!(receiver.next_call().await.message_id, message_id);
    }
}

#[tokio::test]
async fn on_sighup_each_invalid_configuration_logs_one_line_and_changes_nothing() {
    let (platform, mut receiver) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let good = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    platform.set_list(good["known"].clone());
    let Folder { state, root: _folder } = persistent_folder();
    let mut child = spawn(&good, &state);
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let line = with_timeout("a line", log.next_line()).await.expect("a log").expect("it goes on");
    let addr: SocketAddr = line.strip_prefix("listening on ").expect("the address").parse().expect("one");
    let elsewhere = Watched::new();
    let mut moved = good.clone();
    moved["discovery"] = elsewhere.addr().to_string().into();
    let pid = child.id().expect("it runs").to_string();
    for InvalidConfiguration { pointer, value, key, expected } in invalid_configurations() {
        let bad = with(&moved, pointer, value);
        std::fs::write(state.with_extension("json"), bad.to_string()).expect("a file");
        let sent = tokio::process::Command::new("kill").args(["-HUP", &pid]).status().await;
        assert!(sent.expect("kill runs").success());
        // The next line: there is exactly one for each.
        let line = with_timeout(pointer, log.next_line()).await.expect("a log").expect("it goes on");
        assert!(line.starts_with(&format!("configuration not reloaded error={key}")), "{pointer}: {line}");
        assert!(line.contains(expected), "{pointer}: {line}");
    }
    assert!(elsewhere.has_no_connections());
    let mut client = tokio::net::TcpStream::connect(addr).await.expect("a connection");
    let whole = raw_submission("m1", "Content-Length: 4", "text");
    tokio::io::AsyncWriteExt::write_all(&mut client, &whole).await.expect("writable");
    assert_eq!(read_status(&mut client).await, Some(202));
    assert_eq!(receiver.next_call().await.message_id, "m1");
    child.kill().await.expect("it can be killed");
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_program_with_one_line() {
    let Folder { state, root: _folder } = persistent_folder();
    let good = config("127.0.0.1:1".parse().expect("an address"), &[], DEADLINE_MS);
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
        let output = with_timeout("the end", spawn(&bad, &state).wait_with_output()).await.expect("an end");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && log.lines().count() == 1, "{key}: {log}");
    }
}
