//! Sends bursts of calls over either protocol and measures them.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Request;
use rudderspindle_http2::client::{CallDeadlines, Endpoint};
use rudderspindle_http2::outcome::DeliveryOutcome;
use rudderspindle_http2::pool::PoolLimits;
use rudderspindle_testkit::scenario::SeededRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::{DEADLINE, Protocol};
use crate::http1_pool::Http1Pool;
use crate::tcp::connect;

/// Latency objective of a call.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(4);
/// Time over which the calls of a burst are spread, s.
const BURST_SPREAD: f64 = 0.2;
/// Maximum pause between the end of a burst and the next one, s; the pause is uniform from 0.
const MAX_PAUSE: f64 = 1.6;
/// Body of each call.
const BODY: &[u8] = &[b'x'; 400];
/// Highest latency of the histogram, us.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Metrics of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BurstMetrics {
    /// Share of the calls that were delivered within the latency objective.
    pub in_time: f64,
    /// CPU time of the client, us a call.
    pub cpu_us: f64,
    /// Connections that were opened.
    pub connections: f64,
    /// 99th percentile of the delivered calls' latency, ms.
    pub p99_ms: f64,
    /// Calls that were not delivered.
    pub failed: u64,
}

/// Sends bursts for `duration`, and waits for each call's outcome.
pub(super) async fn run(
    protocol: Protocol,
    addr: SocketAddr,
    seed: u64,
    duration: Duration,
    burst: u16,
) -> io::Result<BurstMetrics> {
    match protocol {
        Protocol::Http2 => run_http2(addr, seed, duration, burst).await,
        Protocol::Http1 => run_http1(addr, seed, duration, burst).await,
    }
}

async fn run_http2(addr: SocketAddr, seed: u64, duration: Duration, burst: u16) -> io::Result<BurstMetrics> {
    let opened = Rc::new(Cell::new(0u32));
    let count = opened.clone();
    let connect = move || {
        count.set(count.get() + 1);
        connect(addr)
    };
    let endpoint = Endpoint::new(PoolLimits::default(), connect);
    let call = move |body| {
        let endpoint = endpoint.clone();
        async move {
            let request = Request::post("http://gw.example.org/drop").body(()).expect("a request");
            let until = Instant::now() + DEADLINE;
            let deadlines = CallDeadlines { response: until, request: until };
            let result = endpoint.call(request, body, deadlines).await;
            result.stream.delivery(result.request_complete) == DeliveryOutcome::Delivered
        }
    };
    let metrics = send_bursts(call, seed, duration, burst).await?;
    Ok(BurstMetrics { connections: f64::from(opened.get()), ..metrics })
}

async fn run_http1(addr: SocketAddr, seed: u64, duration: Duration, burst: u16) -> io::Result<BurstMetrics> {
    let pool = Rc::new(Http1Pool::new(addr));
    let calls = pool.clone();
    let call = move |body| {
        let pool = calls.clone();
        async move { timeout(DEADLINE, post(&pool, body)).await.is_ok_and(|delivered| delivered) }
    };
    let metrics = send_bursts(call, seed, duration, burst).await?;
    Ok(BurstMetrics { connections: f64::from(pool.opened()), ..metrics })
}

/// Posts a body over HTTP/1.1; whether it was delivered.
async fn post(pool: &Http1Pool, body: Bytes) -> bool {
    let request = Request::post("/drop").header("host", "gw.example.org").body(Full::new(body));
    let status = pool.send(request.expect("a request")).await;
    status.is_ok_and(|status| status.is_success())
}

/// Sends the bursts; `call` is whether a call was delivered.
async fn send_bursts<F>(
    call: impl Fn(Bytes) -> F,
    seed: u64,
    duration: Duration,
    burst: u16,
) -> io::Result<BurstMetrics>
where
    F: Future<Output = bool> + 'static,
{
    let mut rng = SeededRng::new(seed);
    // Each call is a task of this set, which waits for all of them below.
    let mut calls = JoinSet::new();
    let started = Instant::now();
    let cpu_before = cpu_ns()?;
    let mut at = Duration::ZERO;
    while at < duration {
        let size = (f64::from(burst) * (0.5 + rng.unit())) as usize;
        for n in 0..size {
            let offset = Duration::from_secs_f64(BURST_SPREAD * n as f64 / size as f64);
            sleep_until(started + at + offset).await;
            let call = call(Bytes::from_static(BODY));
            let called_at = Instant::now();
            calls.spawn_local(async move { call.await.then(|| called_at.elapsed()) });
        }
        at += Duration::from_secs_f64(BURST_SPREAD + MAX_PAUSE * rng.unit());
    }
    collect(calls, cpu_before).await
}

/// Waits for all calls.
async fn collect(mut calls: JoinSet<Option<Duration>>, cpu_before: u64) -> io::Result<BurstMetrics> {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(io::Error::other)?;
    let mut total = 0u64;
    let mut in_time = 0u64;
    let mut failed = 0u64;
    while let Some(result) = calls.join_next().await {
        total += 1;
        match result.map_err(io::Error::other)? {
            Some(latency) => {
                in_time += u64::from(latency <= LATENCY_OBJECTIVE);
                latencies.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            None => failed += 1,
        }
    }
    let per_call = |sum: f64| sum / total.max(1) as f64;
    Ok(BurstMetrics {
        in_time: per_call(in_time as f64),
        cpu_us: per_call((cpu_ns()? - cpu_before) as f64 / 1_000.0),
        connections: 0.0,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1_000.0,
        failed,
    })
}

/// CPU time of this thread since its start, ns.
fn cpu_ns() -> io::Result<u64> {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = stat.split(' ').next().and_then(|ns| ns.parse().ok());
    first.ok_or_else(|| io::Error::other("/proc/thread-self/schedstat cannot be read"))
}
