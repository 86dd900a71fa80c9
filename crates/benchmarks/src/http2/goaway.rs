//! Measures the time from a GOAWAY to the response of a call made at that moment.

use std::io;

use bytes::Bytes;
use hyper::Request;
use rudderspindle_http2::client::{CallDeadlines, Endpoint};
use rudderspindle_http2::outcome::DeliveryOutcome;
use rudderspindle_http2::pool::PoolLimits;
use rudderspindle_testkit::frames::Frames;
use rudderspindle_testkit::scripted_peers::with_timeout;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use super::DEADLINE;
use crate::error::BenchmarkError;
use crate::tcp::connect;

/// Number of measured GOAWAYs.
const ROUNDS: usize = 50;
/// HTTP/2 settings of the receiver's connections.
const MAX_CONCURRENT_STREAMS: u32 = 100;
/// Initial window of a stream, bytes.
const WINDOW: u32 = 65_535;
/// Status of each response.
const CREATED: u16 = 201;

/// Whether a call that was not executed is retried.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Retry {
    Never,
    Immediately,
}

/// The time from each GOAWAY to the response of the call made at that moment, ms.
///
/// Two calls are in flight; the GOAWAY covers the first one and not the second.
pub(super) async fn run() -> Result<Vec<f64>, BenchmarkError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let endpoint = Endpoint::new(PoolLimits::default(), move || connect(addr));
    let call = |retry| {
        let endpoint = endpoint.clone();
        let until = Instant::now() + DEADLINE;
        // The task ends with its call, by its deadline.
        spawn_local(async move {
            loop {
                let request = Request::post("http://gw.example.org/drop").body(()).expect("a request");
                let deadlines = CallDeadlines { response: until, request: until };
                let result = endpoint.call(request, Bytes::from_static(b"text"), deadlines).await;
                let outcome = result.stream.delivery(result.request_complete);
                let retries = retry == Retry::Immediately && outcome == DeliveryOutcome::NotExecuted;
                if !retries || Instant::now() >= until {
                    return outcome;
                }
            }
        })
    };
    let mut times = Vec::new();
    let mut connection = None;
    for _ in 0..ROUNDS {
        let in_flight = [call(Retry::Never), call(Retry::Never)];
        let mut old = match connection.take() {
            Some(connection) => connection,
            None => accept(&listener).await?,
        };
        let streams = [old.request().await, old.request().await];
        let goaway_at = Instant::now();
        old.go_away(streams[0], 0).await;
        let next = call(Retry::Immediately);
        let mut new = accept(&listener).await?;
        let stream = new.request().await;
        new.head(stream, CREATED, None, true).await;
        let next = next.await.map_err(io::Error::other)?;
        times.push(goaway_at.elapsed().as_secs_f64() * 1_000.0);
        old.head(streams[0], CREATED, None, true).await;
        check_outcomes(next, in_flight).await?;
        connection = Some(new);
    }
    Ok(times)
}

async fn accept(listener: &TcpListener) -> Result<Frames, BenchmarkError> {
    let (stream, _) = with_timeout("a connection", listener.accept()).await?;
    Ok(Frames::accept(stream, MAX_CONCURRENT_STREAMS, WINDOW).await)
}

/// Checks that the next call and the one below the GOAWAY were delivered, and that the one above was not executed.
async fn check_outcomes(
    next: DeliveryOutcome,
    in_flight: [JoinHandle<DeliveryOutcome>; 2],
) -> Result<(), BenchmarkError> {
    let mut outcomes = vec![next];
    for call in in_flight {
        outcomes.push(call.await.map_err(io::Error::other)?);
    }
    if outcomes == [DeliveryOutcome::Delivered, DeliveryOutcome::Delivered, DeliveryOutcome::NotExecuted] {
        Ok(())
    } else {
        Err(io::Error::other(format!("after a GOAWAY: {outcomes:?}")).into())
    }
}
