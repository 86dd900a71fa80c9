//! The measured processes: the built sender with its discovery, and the minimal relay.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use rudderspindle_testkit::event_log::{EventLog, Rules};
use rudderspindle_testkit::fake_discovery::{Entry, FakeDiscovery};
use rudderspindle_testkit::program::Program;
use rudderspindle_testkit::scenario::Phase;
use rudderspindle_testkit::test_environment::EnvironmentError;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::process::{Child, Command};

use super::clients::{LoadMetrics, measure};
use super::receivers::Receivers;
use super::{CORE, LoadArguments, process};
use crate::error::BenchmarkError;

/// Measures the built sender.
pub(super) async fn measure_sender(
    binary: &Path,
    receivers: &Receivers,
    load: &LoadArguments,
    seed: u64,
    duration: Duration,
) -> Result<LoadMetrics, BenchmarkError> {
    let event_log = EventLog::start(Vec::new(), Vec::new(), Rules::default());
    let entry = |(n, addr): (usize, &SocketAddr)| Entry {
        id: format!("r{n}"),
        addr: *addr,
        zone: "hall-a".to_owned(),
        kind: "any-size".to_owned(),
        receiver: n as u16,
        phase: Phase::Serving,
        per_s: 1e6,
    };
    let entries = receivers.addrs.iter().enumerate().map(entry).collect();
    let discovery = FakeDiscovery::start("n0", entries, &event_log).await?;
    let config = sender_config(&discovery, load, seed);
    let folder = tempfile::tempdir()?;
    let mut program = Program::new("n0", &binary.into(), folder.path(), config, Some(CORE), &event_log)
        .map_err(EnvironmentError::from)?;
    program.start().await.map_err(EnvironmentError::from)?;
    let addr = *program.address().borrow();
    let Some(addr) = addr else { return Err(BenchmarkError::NoSender) };
    let cpu_us = || program.cpu_us().unwrap_or(0);
    let peak_kib = || program.peak_kib().unwrap_or(0);
    let measured = measure(addr, receivers, load, duration, cpu_us, peak_kib).await;
    program.kill().await.map_err(EnvironmentError::from)?;
    Ok(measured)
}

fn sender_config(discovery: &FakeDiscovery, load: &LoadArguments, seed: u64) -> serde_json::Value {
    json!({"discovery": discovery.addr().to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 8192, "disk_mb": 64}, "known": discovery.list(),
        "settings": {"azs": ["hall-a"], "kinds": ["any-size"], "peers_total": 1, "tick": load.tick_ms, "weights": "nominal",
            "lanes": [{"name": "safe", "effect": "free", "deadline": 20000.0, "target": 2000.0,
                       "credit": 3.0, "late_worth": 0.3}],
            "projects": [{"name": "acme", "fraction": 1.0, "quota_per_s": 1e6}],
            "extra": {"bundle_max": [1], "kind_apart": [false], "calls_out": 3000},
            "limits": {"connect_timeout": 1500.0, "idle_close": 15000.0, "max_attempts": 12, "most_held": 20000,
                       "max_retry_after": 3000.0, "retry_after": true},
            "rules": {"cold_from": 0.17, "fall_multiple": 2.5, "tip_after": 3000.0, "warm_within": 9300.0}}})
}

/// Measures the minimal relay.
pub(super) async fn measure_relay(
    receivers: &Receivers,
    load: &LoadArguments,
    duration: Duration,
) -> Result<LoadMetrics, BenchmarkError> {
    let mut relay = Relay::start(receivers).await?;
    let pid = relay.child.id().unwrap_or(0);
    let cpu_us = || process::cpu_us(pid);
    let peak_kib = || process::peak_kib(pid);
    let measured = measure(relay.addr, receivers, load, duration, cpu_us, peak_kib).await;
    relay.child.kill().await?;
    Ok(measured)
}

/// The running relay, which is killed when this is dropped.
struct Relay {
    child: Child,
    addr: SocketAddr,
}

impl Relay {
    /// Starts this program's `relay` subcommand, which prints its address.
    async fn start(receivers: &Receivers) -> Result<Self, BenchmarkError> {
        let addrs: Vec<String> = receivers.addrs.iter().map(ToString::to_string).collect();
        let mut child = Command::new("taskset")
            .arg("-c")
            .arg(CORE.to_string())
            .arg(std::env::current_exe()?)
            .args(["relay", &addrs.join(",")])
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let mut line = Vec::new();
        if let Some(stdout) = &mut child.stdout {
            while !line.ends_with(b"\n") && stdout.read_buf(&mut line).await? > 0 {}
        }
        let addr = String::from_utf8_lossy(&line).trim().parse().map_err(|_| BenchmarkError::NoRelay)?;
        Ok(Self { child, addr })
    }
}
