//! `rig http2`: bursts of calls to one partner over HTTP/2 and over HTTP/1.1 with a kept connection for each call that is
//! out, in turn; and how soon the next call is answered after a GOAWAY.
//!
//! It measures the client of `crates/http2` alone: nothing is journaled or decided here.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::thread::spawn;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rudderspindle_http2::client::{CallDeadlines, Endpoint};
use rudderspindle_http2::outcome::DeliveryOutcome;
use rudderspindle_http2::pool::PoolLimits;
use rudderspindle_simulation::partner::Draw;
use rudderspindle_testkit::frames::Frames;
use rudderspindle_testkit::scripted_peers::soon;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::report::Report;
use crate::{Common, RigError};

/// Seconds of bursts in each run if nothing else is said.
const SECONDS: u16 = 8;
/// Runs of each kind, in turn.
const PAIRS: usize = 3;
/// A push is wanted within this time.
const AIM: Duration = Duration::from_secs(4);
/// No call is given longer.
const DEADLINE: Duration = Duration::from_secs(12);
/// GOAWAYs that are timed.
const GOAWAYS: usize = 50;
/// The aim for the call after one.
const GOAWAY_AIM_MS: f64 = 50.0;

/// The bursts and the partner.
#[derive(Clone, Debug, Args)]
pub struct Http2Arguments {
    /// Calls in a burst, on average; a burst comes each second, on average.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u16).range(1..=5_000))]
    burst: u16,
    /// Calls that the partner works on at once; others wait for it.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    workers: u16,
    /// How long it works on a call, milliseconds, on average.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(1..=5_000))]
    work_ms: u16,
}

/// What one run saw.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    in_time: f64,
    cpu_us: f64,
    connections: f64,
    p99_ms: f64,
    failed: u64,
}

/// Plays the pairs and the GOAWAYs.
pub fn run(common: &Common, bursts: &Http2Arguments) -> Result<Report, RigError> {
    let seed = common.seed();
    let mut report = Report::new("http2", seed);
    let time = Duration::from_secs(u64::from(common.seconds.unwrap_or(SECONDS)));
    println!(
        "seed {seed}, bursts of {} a second, {} workers, {} ms",
        bursts.burst, bursts.workers, bursts.work_ms
    );
    println!(
        "{:<10} {:>16} {:>16} {:>14} {:>10}",
        "protocol", "in 4 s (share)", "CPU a call (us)", "connections", "p99 (ms)"
    );
    let mut medians = Vec::new();
    let mut all: [Vec<Seen>; 2] = Default::default();
    for pair in 0..PAIRS as u64 {
        for (kind, name) in [(0, "HTTP/2"), (1, "HTTP/1.1")] {
            let seen = play(kind == 0, seed.wrapping_add(pair), time, bursts)?;
            let Seen { in_time, cpu_us, connections, p99_ms, failed } = seen;
            println!("{name:<10} {in_time:>16.3} {cpu_us:>16.1} {connections:>14.0} {p99_ms:>10.0}");
            if failed > 0 {
                report.broken(format!("{name}: {failed} calls ended otherwise than delivered"));
            }
            all[kind].push(seen);
        }
    }
    for (kind, name) in [(0, "http2"), (1, "http1")] {
        let median = |of: fn(&Seen) -> f64| {
            let mut figures: Vec<f64> = all[kind].iter().map(of).collect();
            figures.sort_by(f64::total_cmp);
            figures[figures.len() / 2]
        };
        let cpu = median(|seen| seen.cpu_us);
        report.figure(&format!("{name}_in_time_share"), median(|seen| seen.in_time));
        report.figure(&format!("{name}_cpu_us_per_call"), cpu);
        report.figure(&format!("{name}_connections_count"), median(|seen| seen.connections));
        report.figure(&format!("{name}_p99_ms"), median(|seen| seen.p99_ms));
        medians.push(cpu);
    }
    report.figure("cpu_ratio", medians[0] / medians[1].max(f64::MIN_POSITIVE));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut times = LocalSet::new().block_on(&runtime, goaways())?;
    times.sort_by(f64::total_cmp);
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "after a GOAWAY the next call is answered in {median:.1} ms (median), {worst:.1} ms (worst of {GOAWAYS}); aim {GOAWAY_AIM_MS} ms"
    );
    report.figure("goaway_to_answer_median_ms", median);
    report.figure("goaway_to_answer_worst_ms", worst);
    Ok(report)
}

/// One run against a partner in a thread of its own.
fn play(http2: bool, seed: u64, time: Duration, bursts: &Http2Arguments) -> Result<Seen, RigError> {
    let (tell, told) = channel();
    let (workers, work) = (usize::from(bursts.workers), f64::from(bursts.work_ms) / 1_000.0);
    // It ends with its runtime: when the last sender of `tell` is gone nobody calls it any more.
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let partner = spawn(move || -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let _ = tell.send(listener.local_addr()?);
            let partner = Rc::new(FakeReceiver::new(workers, work, seed));
            tokio::select! {
                served = partner.serve(listener, http2) => served,
                _ = stopped => Ok(()),
            }
        })
    });
    let addr = told.recv().map_err(|_| io::Error::other("the partner did not start"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let seen = LocalSet::new().block_on(&runtime, async {
        if http2 {
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
                    let ended = endpoint.call(request, body, deadlines).await;
                    ended.stream.delivery(ended.request_complete) == DeliveryOutcome::Delivered
                }
            };
            offer(call, seed, time, bursts)
                .await
                .map(|seen| Seen { connections: f64::from(opened.get()), ..seen })
        } else {
            let pool = Rc::new(Pool { addr, idle: RefCell::default(), opened: Cell::new(0) });
            let calls = pool.clone();
            let call = move |body| {
                let pool = calls.clone();
                async move {
                    tokio::time::timeout(DEADLINE, pool.call(body)).await.is_ok_and(|ok| ok.unwrap_or(false))
                }
            };
            offer(call, seed, time, bursts)
                .await
                .map(|seen| Seen { connections: f64::from(pool.opened.get()), ..seen })
        }
    })?;
    drop(stop);
    partner.join().map_err(|_| io::Error::other("the partner panicked"))??;
    Ok(seen)
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Offers bursts for so long, and waits for what came of each call.
async fn offer<F>(
    call: impl Fn(Bytes) -> F,
    seed: u64,
    time: Duration,
    bursts: &Http2Arguments,
) -> io::Result<Seen>
where
    F: Future<Output = bool> + 'static,
{
    let mut draw = Draw::new(seed);
    let mut calls = JoinSet::new();
    let (started, cpu) = (Instant::now(), cpu_ns()?);
    let mut at = Duration::ZERO;
    while at < time {
        let size = (f64::from(bursts.burst) * (0.5 + draw.unit())) as usize;
        // A burst comes within a fifth of a second.
        for n in 0..size {
            sleep_until(started + at + Duration::from_secs_f64(0.2 * n as f64 / size as f64)).await;
            let (call, came) = (call(Bytes::from_static(&[b'x'; 400])), Instant::now());
            calls.spawn_local(async move { call.await.then(|| came.elapsed()) });
        }
        at += Duration::from_secs_f64(0.2 + 1.6 * draw.unit());
    }
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    let (mut all, mut in_time, mut failed) = (0u64, 0u64, 0u64);
    while let Some(ended) = calls.join_next().await {
        all += 1;
        match ended.map_err(io::Error::other)? {
            Some(took) => {
                in_time += u64::from(took <= AIM);
                times.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
            }
            None => failed += 1,
        }
    }
    let of_all = |n: f64| n / all.max(1) as f64;
    Ok(Seen {
        in_time: of_all(in_time as f64),
        cpu_us: of_all((cpu_ns()? - cpu) as f64 / 1_000.0),
        connections: 0.0,
        p99_ms: times.value_at_quantile(0.99) as f64 / 1_000.0,
        failed,
    })
}

/// Nanoseconds that this thread has run.
fn cpu_ns() -> io::Result<u64> {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = stat.split(' ').next().and_then(|n| n.parse().ok());
    first.ok_or_else(|| io::Error::other("/proc/thread-self/schedstat cannot be read"))
}

/// HTTP/1.1: a connection for each call that is out, kept for the next.
struct Pool {
    addr: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    opened: Cell<u32>,
}

impl Pool {
    async fn call(&self, body: Bytes) -> io::Result<bool> {
        let kept = self.idle.borrow_mut().pop();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                self.opened.set(self.opened.get() + 1);
                let io = TokioIo::new(connect(self.addr).await?);
                let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
                spawn_local(connection);
                sender
            }
        };
        let request = Request::post("/drop").header("host", "gw.example.org").body(Full::new(body));
        let request = request.map_err(io::Error::other)?;
        let answer = sender.send_request(request).await.map_err(io::Error::other)?;
        let delivered = answer.status().is_success();
        answer.into_body().collect().await.map_err(io::Error::other)?;
        self.idle.borrow_mut().push(sender);
        Ok(delivered)
    }
}

/// A partner that works on so many calls at once, the same over either protocol.
struct FakeReceiver {
    workers: Semaphore,
    work: f64,
    draw: RefCell<Draw>,
}

impl FakeReceiver {
    fn new(workers: usize, work: f64, seed: u64) -> Self {
        Self { workers: Semaphore::new(workers), work, draw: RefCell::new(Draw::new(seed)) }
    }

    async fn serve(self: Rc<Self>, listener: TcpListener, http2: bool) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let this = self.clone();
            // How a connection ends shows in the calls that were on it.
            if http2 {
                spawn_local(async move { this.streams(stream).await });
            } else {
                spawn_local(async move {
                    let service = service_fn(|request: Request<Incoming>| this.answer(request));
                    let server = hyper::server::conn::http1::Builder::new();
                    let _ = server.serve_connection(TokioIo::new(stream), service).await;
                });
            }
        }
    }

    async fn work(&self) {
        let _worker = self.workers.acquire().await;
        let share = 0.2 + 1.6 * self.draw.borrow_mut().unit();
        sleep(Duration::from_secs_f64(self.work * share)).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let whole = request.into_body().collect().await.is_ok();
        self.work().await;
        let mut response = Response::new(Full::default());
        *response.status_mut() = if whole { StatusCode::CREATED } else { StatusCode::BAD_REQUEST };
        Ok(response)
    }

    async fn streams(self: Rc<Self>, stream: TcpStream) -> Result<(), h2::Error> {
        let mut connection =
            h2::server::Builder::new().max_concurrent_streams(100).handshake::<_, Bytes>(stream).await?;
        while let Some(request) = connection.accept().await {
            let (request, mut respond) = request?;
            let this = self.clone();
            spawn_local(async move {
                let mut body = request.into_body();
                while let Some(Ok(data)) = body.data().await {
                    let _ = body.flow_control().release_capacity(data.len());
                }
                this.work().await;
                let response = Response::builder().status(StatusCode::CREATED).body(()).expect("an answer");
                let _ = respond.send_response(response, true);
            });
        }
        Ok(())
    }
}

/// From each GOAWAY to the answer of the call that comes at that moment, ms. Two calls are out; the second is above it.
async fn goaways() -> Result<Vec<f64>, RigError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let endpoint = Endpoint::new(PoolLimits::default(), move || connect(addr));
    // Whoever came before the GOAWAY was read never ran, and goes again at once.
    let call = |again: bool| {
        let (endpoint, until) = (endpoint.clone(), Instant::now() + DEADLINE);
        spawn_local(async move {
            loop {
                let request = Request::post("http://gw.example.org/drop").body(()).expect("a request");
                let deadlines = CallDeadlines { response: until, request: until };
                let ended = endpoint.call(request, Bytes::from_static(b"text"), deadlines).await;
                let meaning = ended.stream.delivery(ended.request_complete);
                if !again || meaning != DeliveryOutcome::NotExecuted || Instant::now() >= until {
                    return meaning;
                }
            }
        })
    };
    let mut times = Vec::new();
    let mut gateway = None;
    for _ in 0..GOAWAYS {
        let out = [call(false), call(false)];
        let mut old = match gateway.take() {
            Some(gateway) => gateway,
            None => Frames::accept(soon("a connection", listener.accept()).await?.0, 100, 65_535).await,
        };
        let streams = [old.request().await, old.request().await];
        let told = Instant::now();
        old.go_away(streams[0], 0).await;
        let next = call(true);
        let mut new = Frames::accept(soon("a connection", listener.accept()).await?.0, 100, 65_535).await;
        let stream = new.request().await;
        new.head(stream, 201, None, true).await;
        let mut meanings = vec![next.await.map_err(io::Error::other)?];
        times.push(told.elapsed().as_secs_f64() * 1_000.0);
        old.head(streams[0], 201, None, true).await;
        for call in out {
            meanings.push(call.await.map_err(io::Error::other)?);
        }
        if meanings != [DeliveryOutcome::Delivered, DeliveryOutcome::Delivered, DeliveryOutcome::NotExecuted]
        {
            return Err(io::Error::other(format!("after a GOAWAY: {meanings:?}")).into());
        }
        gateway = Some(new);
    }
    Ok(times)
}
