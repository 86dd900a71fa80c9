//! `rig load`: what a message costs the built sender on one core, beside a bare relay on the same HTTP library.
//!
//! Both run as processes of their own on the same core, in turn, under the same clients and receivers, which run
//! here on the other cores. Clients hand in as fast as they are answered.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rudderspindle_testkit::event_log::{EventLog, Rules};
use rudderspindle_testkit::fake_discovery::{Entry, FakeDiscovery};
use rudderspindle_testkit::program::Program;
use rudderspindle_testkit::scenario::Phase;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::report::Report;
use crate::{Common, LoadArguments, RigError};

/// Pairs of sender and relay; the figures are medians.
const PAIRS: usize = 3;
/// So long each of them is measured in each pair, after a start that does not count.
const SECONDS: u16 = 4;
const WARM_UP: Duration = Duration::from_millis(700);
/// The core that the measured process has for itself.
const CORE: usize = 0;

/// What was measured of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    per_s: f64,
    cpu_us: f64,
    own_cpu_us: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    peak_kib: f64,
    refused: f64,
}

pub async fn run(common: &Common, load: &LoadArguments) -> Result<Report, RigError> {
    let (seed, binary) = (common.seed(), common.sender()?);
    let seconds = Duration::from_secs(common.seconds.unwrap_or(SECONDS).into());
    // The measured process has its core for itself, as far as that is ours to say.
    let cores = std::thread::available_parallelism()?.get();
    if cores > 1 {
        let (own, pid) = (format!("1-{}", cores - 1), std::process::id().to_string());
        Command::new("taskset").args(["-a", "-c", "-p", &own, &pid]).stdout(Stdio::null()).status().await?;
    }
    let receivers =
        Receivers::start(load.destinations, Duration::from_millis(load.partner_ms.into())).await?;
    let (mut sender, mut relay) = (Vec::new(), Vec::new());
    for pair in 0..PAIRS as u64 * common.rounds {
        sender.push(measure_sender(&binary, &receivers, load, seed ^ pair, seconds).await?);
        relay.push(measure_relay(&receivers, load, seed ^ pair, seconds).await?);
    }
    let (sender, relay) = (medians(&sender), medians(&relay));
    println!("{} clients, {} destinations, {} ms at each", load.clients, load.destinations, load.partner_ms);
    println!("{:<28}{:>12}{:>12}", "", "sender", "relay");
    let row = |name: &str, of: fn(&Measured) -> f64| {
        println!("{name:<28}{:>12.3}{:>12.3}", of(&sender), of(&relay))
    };
    row("messages a second", |m| m.per_s);
    row("CPU, us a message", |m| m.cpu_us);
    row("rig's own CPU, us a message", |m| m.own_cpu_us);
    row("202 p50, ms", |m| m.p50_ms);
    row("202 p99, ms", |m| m.p99_ms);
    row("202 p99.9, ms", |m| m.p999_ms);
    row("peak memory, KiB", |m| m.peak_kib);
    row("refused, share", |m| m.refused);
    let mut report = Report::new("load", seed);
    for (who, m) in [("sender", &sender), ("relay", &relay)] {
        report.figure(&format!("{who}_messages_per_s"), m.per_s);
        report.figure(&format!("{who}_cpu_us_per_message"), m.cpu_us);
        report.figure(&format!("{who}_p50_ms"), m.p50_ms);
        report.figure(&format!("{who}_p99_ms"), m.p99_ms);
        report.figure(&format!("{who}_p999_ms"), m.p999_ms);
        report.figure(&format!("{who}_peak_kib"), m.peak_kib);
        report.figure(&format!("{who}_refused_share"), m.refused);
    }
    report.figure("rig_cpu_us_per_message", sender.own_cpu_us);
    report.figure("p50_ratio", sender.p50_ms / relay.p50_ms);
    report.figure("cpu_ratio", sender.cpu_us / relay.cpu_us);
    Ok(report)
}

fn medians(all: &[Measured]) -> Measured {
    let median = |of: fn(&Measured) -> f64| {
        let mut values: Vec<f64> = all.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    Measured {
        per_s: median(|m| m.per_s),
        cpu_us: median(|m| m.cpu_us),
        own_cpu_us: median(|m| m.own_cpu_us),
        p50_ms: median(|m| m.p50_ms),
        p99_ms: median(|m| m.p99_ms),
        p999_ms: median(|m| m.p999_ms),
        peak_kib: median(|m| m.peak_kib),
        refused: median(|m| m.refused),
    }
}

async fn measure_sender(
    binary: &Path,
    receivers: &Receivers,
    load: &LoadArguments,
    seed: u64,
    seconds: Duration,
) -> Result<Measured, RigError> {
    let evidence = EventLog::start(Vec::new(), Vec::new(), Rules::default());
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
    let agent = FakeDiscovery::start("n0", entries, &evidence).await?;
    let config = json!({"discovery": agent.addr().to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 8192, "disk_mb": 64}, "known": agent.list(),
        "settings": {"azs": ["hall-a"], "kinds": ["any-size"], "peers_total": 1, "tick": load.tick_ms, "weights": "nominal",
            "lanes": [{"name": "safe", "effect": "free", "deadline": 20000.0, "target": 2000.0,
                       "credit": 3.0, "late_worth": 0.3}],
            "projects": [{"name": "acme", "fraction": 1.0, "quota_per_s": 1e6}],
            "extra": {"bundle_max": [1], "kind_apart": [false], "calls_out": 3000},
            "limits": {"connect_timeout": 1500.0, "idle_close": 15000.0, "max_attempts": 12, "most_held": 20000,
                       "max_retry_after": 3000.0, "retry_after": true},
            "rules": {"cold_from": 0.17, "fall_multiple": 2.5, "tip_after": 3000.0, "warm_within": 9300.0}}});
    let folder = tempfile::tempdir()?;
    let mut program = Program::new("n0", &binary.into(), folder.path(), config, Some(CORE), &evidence)
        .map_err(rudderspindle_testkit::test_environment::EnvironmentError::from)?;
    program.start().await.map_err(rudderspindle_testkit::test_environment::EnvironmentError::from)?;
    let addr = *program.address().borrow();
    let Some(addr) = addr else { return Err(RigError::NoSender) };
    let cpu = || program.cpu_us().unwrap_or(0);
    let peak = || program.peak_kib().unwrap_or(0);
    let measured = under_load(addr, receivers, load, seconds, cpu, peak).await;
    program.kill().await.map_err(rudderspindle_testkit::test_environment::EnvironmentError::from)?;
    Ok(measured)
}

async fn measure_relay(
    receivers: &Receivers,
    load: &LoadArguments,
    _seed: u64,
    seconds: Duration,
) -> Result<Measured, RigError> {
    let (mut child, addr) = start_relay(receivers).await?;
    let pid = child.id().unwrap_or(0);
    let cpu = || process_cpu_us(pid);
    let peak = || process_peak_kib(pid);
    let measured = under_load(addr, receivers, load, seconds, cpu, peak).await;
    child.kill().await?;
    Ok(measured)
}

async fn start_relay(receivers: &Receivers) -> Result<(Child, SocketAddr), RigError> {
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
    if let Some(out) = &mut child.stdout {
        while !line.ends_with(b"\n") && out.read_buf(&mut line).await? > 0 {}
    }
    let addr = String::from_utf8_lossy(&line).trim().parse();
    addr.map(|addr| (child, addr)).map_err(|_| RigError::NoRelay)
}

fn process_cpu_us(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    stat.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0) / 1_000
}

fn process_peak_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// This process's own processor time, all threads.
fn own_cpu_us() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let stats = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
    stats.filter_map(|s| s.split_whitespace().next()?.parse::<u64>().ok()).sum::<u64>() / 1_000
}

async fn under_load(
    addr: SocketAddr,
    receivers: &Receivers,
    load: &LoadArguments,
    seconds: Duration,
    cpu: impl Fn() -> u64,
    peak: impl Fn() -> u64,
) -> Measured {
    let start = Instant::now();
    let (from, until) = (start + WARM_UP, start + WARM_UP + seconds);
    let mut clients = JoinSet::new();
    for client in 0..load.clients {
        clients.spawn(hand_in_all(addr, client, load.destinations, from, until));
    }
    sleep(from - Instant::now()).await;
    let (cpu_before, own_before, calls_before) = (cpu(), own_cpu_us(), receivers.calls());
    let began = Instant::now();
    sleep(until.saturating_duration_since(began)).await;
    let spent = (cpu() - cpu_before) as f64;
    let own = own_cpu_us().saturating_sub(own_before) as f64;
    let (calls, took) = ((receivers.calls() - calls_before) as f64, began.elapsed().as_secs_f64());
    let (mut latencies, mut refused) = (Vec::new(), 0u64);
    while let Some(done) = clients.join_next().await {
        let (mut times, turned) = done.unwrap_or_default();
        latencies.append(&mut times);
        refused += turned;
    }
    latencies.sort_unstable();
    let at = |share: f64| {
        let n = ((latencies.len() as f64 * share) as usize).min(latencies.len().saturating_sub(1));
        latencies.get(n).map_or(0.0, |us| f64::from(*us) / 1_000.0)
    };
    // What has been delivered is what was paid for.
    let messages = calls.max(1.0);
    Measured {
        per_s: messages / took,
        cpu_us: spent / messages,
        own_cpu_us: own / messages,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        peak_kib: peak() as f64,
        refused: refused as f64 / (latencies.len() as f64 + refused as f64).max(1.0),
    }
}

/// A client that hands one message in after the other; the times until 202, microseconds, and how many were refused.
async fn hand_in_all(
    addr: SocketAddr,
    client: usize,
    destinations: usize,
    from: Instant,
    until: Instant,
) -> (Vec<u32>, u64) {
    let (mut times, mut refused, mut stream) = (Vec::new(), 0, None);
    for n in 0u64.. {
        if Instant::now() >= until {
            break;
        }
        let destination = (client as u64 * 7 + n) % destinations as u64;
        let request = format!(
            "POST /safe HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {client:04x}{n:012x}\r\n\
             X-Org: acme\r\nX-Remaining: 20.000\r\nX-Route-To: dest={destination}\r\n\
             Content-Length: 200\r\n\r\n{:200}",
            "text"
        );
        let begun = Instant::now();
        let answer = exchange(&mut stream, addr, request.as_bytes()).await;
        if begun < from {
            continue;
        }
        match answer {
            Some(202) => times.push(begun.elapsed().as_micros().min(u128::from(u32::MAX)) as u32),
            _ => refused += 1,
        }
    }
    (times, refused)
}

async fn exchange(kept: &mut Option<TcpStream>, addr: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            stream
        }
    };
    stream.write_all(request).await.ok()?;
    let mut bytes = Vec::with_capacity(256);
    loop {
        if let Some((status, _)) = answer_in(&bytes).filter(|(_, length)| bytes.len() >= *length) {
            *kept = Some(stream);
            return Some(status);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// An answer's status, and its length with its body, once its head is there.
fn answer_in(bytes: &[u8]) -> Option<(u16, usize)> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = std::str::from_utf8(&bytes[..head]).ok()?;
    let length = text.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
    Some((text.get(9..12)?.parse().ok()?, head + 4 + length.unwrap_or(0)))
}

/// Receivers that answer every call with 200 after a set time, as cheaply as can be.
struct Receivers {
    addrs: Vec<SocketAddr>,
    calls: Arc<AtomicU64>,
    _tasks: JoinSet<()>,
}

impl Receivers {
    async fn start(count: usize, pause: Duration) -> std::io::Result<Self> {
        let (mut addrs, calls, mut tasks) = (Vec::new(), Arc::new(AtomicU64::new(0)), JoinSet::new());
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            let calls = calls.clone();
            tasks.spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(receive(stream, pause, calls.clone()));
                }
            });
        }
        Ok(Self { addrs, calls, _tasks: tasks })
    }

    fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn receive(mut stream: TcpStream, pause: Duration, calls: Arc<AtomicU64>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut bytes = Vec::with_capacity(1_024);
    loop {
        // Heads of both are written in lower case, and hold their body's length.
        while let Some((_, length)) = request_in(&bytes).filter(|(_, length)| bytes.len() >= *length) {
            bytes.drain(..length);
            if !pause.is_zero() {
                sleep(pause).await;
            }
            calls.fetch_add(1, Ordering::Relaxed);
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.is_err() {
                return;
            }
        }
        if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
            return;
        }
    }
}

fn request_in(bytes: &[u8]) -> Option<((), usize)> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = std::str::from_utf8(&bytes[..head]).ok()?;
    let length = text.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse::<usize>().ok());
    Some(((), head + 4 + length.unwrap_or(0)))
}
