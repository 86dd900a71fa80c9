//! Clients that submit messages one after another, and the measurement of the process that serves them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::LoadArguments;
use super::framing::MessageHead;
use super::process::own_cpu_us;
use super::receivers::Receivers;

/// How long clients run before the measurement.
const WARM_UP: Duration = Duration::from_millis(700);
/// The status of an accepted message.
const ACCEPTED: u16 = 202;

/// What was measured of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadMetrics {
    /// Messages delivered a second.
    pub per_s: f64,
    /// CPU time of the measured process, us a message.
    pub cpu_us: f64,
    /// CPU time of this process, us a message.
    pub own_cpu_us: f64,
    /// Percentiles of the time from submission to 202, ms.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Peak resident memory of the measured process, KiB.
    pub peak_kib: f64,
    /// Share of the messages that were not accepted.
    pub rejected: f64,
}

/// When submissions are counted.
#[derive(Clone, Copy)]
struct Period {
    from: Instant,
    until: Instant,
}

/// Results of submissions.
#[derive(Default)]
struct Submissions {
    /// Time until 202 of each accepted one, us.
    latencies: Vec<u32>,
    rejected: u64,
}

/// Measures the process that listens at `addr`; `cpu_us` and `peak_kib` read its statistics.
pub(super) async fn measure(
    addr: SocketAddr,
    receivers: &Receivers,
    load: &LoadArguments,
    duration: Duration,
    cpu_us: impl Fn() -> u64,
    peak_kib: impl Fn() -> u64,
) -> LoadMetrics {
    let from = Instant::now() + WARM_UP;
    let period = Period { from, until: from + duration };
    // Clients return at the end of the period and are joined below.
    let mut clients = JoinSet::new();
    for client in 0..load.clients {
        clients.spawn(submit_all(addr, client, load.destinations, period));
    }
    sleep(period.from - Instant::now()).await;
    let cpu_before = cpu_us();
    let own_cpu_before = own_cpu_us();
    let calls_before = receivers.calls();
    let started = Instant::now();
    sleep(period.until.saturating_duration_since(started)).await;
    let cpu = (cpu_us() - cpu_before) as f64;
    let own_cpu = own_cpu_us().saturating_sub(own_cpu_before) as f64;
    let calls = (receivers.calls() - calls_before) as f64;
    let elapsed = started.elapsed().as_secs_f64();
    let submissions = collect(clients).await;
    // The cost is that of delivered messages.
    let messages = calls.max(1.0);
    LoadMetrics {
        per_s: messages / elapsed,
        cpu_us: cpu / messages,
        own_cpu_us: own_cpu / messages,
        p50_ms: submissions.percentile_ms(0.5),
        p99_ms: submissions.percentile_ms(0.99),
        p999_ms: submissions.percentile_ms(0.999),
        peak_kib: peak_kib() as f64,
        rejected: submissions.rejected_share(),
    }
}

/// Waits for all clients; the latencies are sorted.
async fn collect(mut clients: JoinSet<Submissions>) -> Submissions {
    let mut all = Submissions::default();
    while let Some(done) = clients.join_next().await {
        let mut submissions = done.unwrap_or_default();
        all.latencies.append(&mut submissions.latencies);
        all.rejected += submissions.rejected;
    }
    all.latencies.sort_unstable();
    all
}

impl Submissions {
    /// A percentile of the sorted latencies, ms; 0 without any.
    fn percentile_ms(&self, share: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        let index = ((self.latencies.len() as f64 * share) as usize).min(last);
        self.latencies.get(index).map_or(0.0, |us| f64::from(*us) / 1_000.0)
    }

    fn rejected_share(&self) -> f64 {
        let rejected = self.rejected as f64;
        rejected / (self.latencies.len() as f64 + rejected).max(1.0)
    }
}

/// A client that submits one message after another until the period's end.
async fn submit_all(addr: SocketAddr, client: usize, destinations: usize, period: Period) -> Submissions {
    let mut submissions = Submissions::default();
    let mut connection = None;
    for n in 0u64.. {
        if Instant::now() >= period.until {
            break;
        }
        let destination = (client as u64 * 7 + n) % destinations as u64;
        let request = request(client, n, destination);
        let submitted_at = Instant::now();
        let status = exchange(&mut connection, addr, request.as_bytes()).await;
        if submitted_at < period.from {
            continue;
        }
        if status == Some(ACCEPTED) {
            let latency = submitted_at.elapsed().as_micros().min(u128::from(u32::MAX));
            submissions.latencies.push(latency as u32);
        } else {
            submissions.rejected += 1;
        }
    }
    submissions
}

fn request(client: usize, n: u64, destination: u64) -> String {
    format!(
        "POST /safe HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {client:04x}{n:012x}\r\n\
         X-Org: acme\r\nX-Remaining: 20.000\r\nX-Route-To: dest={destination}\r\n\
         Content-Length: 200\r\n\r\n{:200}",
        "text"
    )
}

/// Sends a request on the pooled connection, or on a new one; the response's status.
async fn exchange(pooled: &mut Option<TcpStream>, addr: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut stream = if let Some(stream) = pooled.take() {
        stream
    } else {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        stream
    };
    stream.write_all(request).await.ok()?;
    let mut bytes = Vec::with_capacity(256);
    loop {
        if let Some(status) = complete_response_status(&bytes) {
            *pooled = Some(stream);
            return Some(status);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// The status of a response that has arrived with its body.
fn complete_response_status(bytes: &[u8]) -> Option<u16> {
    let head = MessageHead::parse(bytes)?;
    let status = head.status()?;
    (bytes.len() >= head.message_len).then_some(status)
}
