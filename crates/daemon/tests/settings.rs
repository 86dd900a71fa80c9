//! Invalid configurations: rejected with one line and no side effect, at the start and on SIGHUP.

mod common;
mod invalid_configurations;

use std::net::{SocketAddr, TcpListener};

use common::*;
use invalid_configurations::invalid_configurations;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};

/// An address at which a test sees whether anybody came.
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

    fn nobody_came(&self) -> bool {
        self.0.accept().is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// The configuration with another value at a place, or without what stands there.
fn with(config: &Value, pointer: &str, value: Option<Value>) -> Value {
    let mut config = config.clone();
    let (parent, key) = pointer.rsplit_once('/').expect("a place");
    let parent = config.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
    match value {
        Some(value) => _ = parent.insert(key.to_owned(), value),
        None => _ = parent.remove(key),
    }
    config
}

/// What the program says before it ends, without success.
async fn last_words(config: &Value, state: &std::path::Path) -> String {
    let output = soon("the end", spawn(config, state).wait_with_output()).await.expect("an end");
    let log = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success(), "{log}");
    log
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_program_with_one_line_before_any_side_effect() {
    let (clients, discovery) = (Watched::new(), Watched::new());
    let (_folder, state) = lasting();
    let mut good = config(discovery.addr(), &[], DEADLINE_MS);
    // A port that is taken: whoever tries to listen there says so instead.
    good["listen"] = clients.addr().to_string().into();
    let said = last_words(&good, &state).await;
    assert!(said.contains("cannot listen on"), "{said}");
    for (pointer, value, key, right) in invalid_configurations() {
        let said = last_words(&with(&good, pointer, value), &state).await;
        assert_eq!(said.lines().count(), 1, "{pointer}: {said}");
        assert!(said.starts_with(&format!("rudderspindle: {key}")), "{pointer}: {said}");
        assert!(said.contains(right), "{pointer}: {said}");
        let left = std::fs::read_dir(&state).expect("a folder").count();
        assert_eq!(left, 0, "{pointer}");
        assert!(clients.nobody_came() && discovery.nobody_came(), "{pointer}");
    }
}

/// What is doubtful about a configuration is said of one that is used; otherwise the reason is all that is said.
#[tokio::test]
async fn an_invalid_configuration_that_also_has_warnings_is_rejected_with_one_line() {
    let (_folder, state) = lasting();
    let doubtful = with(&config(Watched::new().addr(), &[], DEADLINE_MS), "/settings/peers_total", None);
    for (pointer, value, key, _) in invalid_configurations() {
        if pointer.starts_with("/settings/peers_total") || pointer == "/settings" {
            continue;
        }
        let said = last_words(&with(&doubtful, pointer, value), &state).await;
        assert!(said.lines().count() == 1 && said.contains(key), "{pointer}: {said}");
    }
}

#[tokio::test]
async fn a_number_out_of_range_is_rejected_with_its_position() {
    let (_folder, state) = lasting();
    let text = config(Watched::new().addr(), &[], DEADLINE_MS).to_string().replace("15000.0", "1e400");
    std::fs::write(state.with_extension("json"), text).expect("a file");
    let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_rudderspindle"));
    program.env("RELAY_CONFIG", state.with_extension("json")).env("RELAY_STATE", &state);
    let output = soon("the end", program.output()).await.expect("it runs");
    let said = String::from_utf8(output.stderr).expect("text");
    assert!(!output.status.success() && said.lines().count() == 1, "{said}");
    assert!(said.contains("number out of range at line 1 column"), "{said}");
    assert_eq!(std::fs::read_dir(&state).expect("a folder").count(), 0);
}

/// Numbers as other programs write them, what nobody knows, and no more than has to be there.
#[tokio::test]
async fn a_minimal_configuration_or_one_with_unknown_keys_works() {
    let (platform, mut receiver) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let members = [member("r1", receiver.addr, 7, "SERVING")];
    let whole = config(platform.addr, &members, DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(whole["known"].clone());
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
        let folder = lasting();
        let program = Program::start(config, &folder.1).await;
        let message_id = format!("m{n}");
        assert_eq!(program.hand_in("safe", &message_id, "text".into()).await.status(), 202, "{config}");
        assert_eq!(receiver.call().await.message_id, message_id);
    }
}

#[tokio::test]
async fn on_sighup_each_invalid_configuration_logs_one_line_and_changes_nothing() {
    let (platform, mut receiver) = (FakePlatform::start().await, Receiver::start(&[]).await);
    let good = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], DEADLINE_MS);
    *platform.list.lock().expect("a list") = Some(good["known"].clone());
    let (_folder, state) = lasting();
    let mut child = spawn(&good, &state);
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let line = soon("a line", log.next_line()).await.expect("a log").expect("it goes on");
    let addr: SocketAddr = line.strip_prefix("listening on ").expect("the address").parse().expect("one");
    let elsewhere = Watched::new();
    let mut moved = good.clone();
    moved["discovery"] = elsewhere.addr().to_string().into();
    let pid = child.id().expect("it runs").to_string();
    for (pointer, value, key, right) in invalid_configurations() {
        let bad = with(&moved, pointer, value);
        std::fs::write(state.with_extension("json"), bad.to_string()).expect("a file");
        let sent = tokio::process::Command::new("kill").args(["-HUP", &pid]).status().await;
        assert!(sent.expect("kill runs").success());
        // The next line each time: there is no other.
        let line = soon(pointer, log.next_line()).await.expect("a log").expect("it goes on");
        assert!(line.starts_with(&format!("configuration not reloaded error={key}")), "{pointer}: {line}");
        assert!(line.contains(right), "{pointer}: {line}");
    }
    assert!(elsewhere.nobody_came());
    let mut client = tokio::net::TcpStream::connect(addr).await.expect("a connection");
    let whole = raw_submission("m1", "Content-Length: 4", "text");
    tokio::io::AsyncWriteExt::write_all(&mut client, &whole).await.expect("writable");
    assert_eq!(status(&mut client).await, Some(202));
    assert_eq!(receiver.call().await.message_id, "m1");
    child.kill().await.expect("it can be killed");
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_program_with_one_line() {
    let (_folder, state) = lasting();
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
        let output = soon("the end", spawn(&bad, &state).wait_with_output()).await.expect("an end");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && log.lines().count() == 1, "{key}: {log}");
    }
}
