//! Simulated clients: they submit planned messages, wait for responses and retry after some rejections. Some clients
//! disconnect before the response, and some send malformed requests.

mod malformed;
mod plan;
mod response;
mod submission;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

use malformed::malformed_request;
pub use plan::{KEYED, MessageClass, PlannedMessage, SAFE, TENANTS, Tenant, plan};
use submission::{Submission, SubmissionResult};

use crate::event_log::{Event, EventLog};
use crate::scenario::SeededRng;

/// How long a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Range of the pause before an unanswered message is submitted again, in milliseconds.
const RESUBMIT_PAUSE_MS: Range<f64> = 710.0..1_700.0;
/// Maximum number of submissions of a message after the first one.
const MAX_RESUBMISSIONS: u32 = 4;
/// Lag of a submission behind its planned time above which the event log records it: the test machine is overloaded.
const MAX_LAG: Duration = Duration::from_millis(20);
/// How long a client reads the response to a malformed request.
const MALFORMED_READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Address at which clients reach a sender; `None` while the sender is down.
pub type Address = watch::Receiver<Option<SocketAddr>>;

/// An open connection without a request, which the next submission can use.
#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

/// Name, address and idle connections of a sender.
#[derive(Debug)]
struct Sender {
    name: String,
    address: Address,
    idle_connections: Mutex<Vec<IdleConnection>>,
}

impl Sender {
    fn idle_connections(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The clients of all senders.
#[derive(Debug)]
pub struct Clients {
    senders: Vec<Sender>,
    event_log: EventLog,
}

impl Clients {
    /// Creates the clients of `senders`, which are given as pairs of name and address.
    pub fn new(senders: Vec<(String, Address)>, event_log: &EventLog) -> Arc<Self> {
        let sender = |(name, address)| Sender { name, address, idle_connections: Mutex::default() };
        let senders = senders.into_iter().map(sender).collect();
        Arc::new(Self { senders, event_log: event_log.clone() })
    }

    /// Submits all planned messages at their times after `start`; returns when the last client is done.
    pub async fn run(self: Arc<Self>, planned: Vec<PlannedMessage>, start: Instant) {
        // Owns the clients' tasks, so that they are cancelled together with this one.
        let mut client_tasks = JoinSet::new();
        for message in planned {
            let due = start + message.at;
            sleep_until(due.into()).await;
            let lag = due.elapsed();
            if lag > MAX_LAG {
                let lag_us = lag.as_micros() as u64;
                self.event_log.record(Event::Lagged { who: "clients".to_owned(), lag_us });
            }
            let this = self.clone();
            client_tasks.spawn(async move { this.submit_with_retries(message).await });
            while client_tasks.try_join_next().is_some() {}
        }
        while client_tasks.join_next().await.is_some() {}
    }

    /// Submits one message, and retries as its client is planned to.
    async fn submit_with_retries(&self, message: PlannedMessage) {
        let mut sender = message.sender;
        let mut rng = SeededRng::new(u64::from_str_radix(&message.message_id, 16).unwrap_or_default());
        let start = Instant::now();
        let mut resubmissions = 0;
        let mut was_rejected = false;
        while let Some(time_left) = message.lifetime.checked_sub(start.elapsed()) {
            let message_id = submission_id(&message.message_id, resubmissions);
            let submission = Submission { message: &message, sender, message_id: &message_id, time_left };
            let pause = match self.submit(&submission).await {
                SubmissionResult::Responded { status: 429 | 503, retry_after } if !was_rejected => {
                    was_rejected = true;
                    let Some(pause) = message.retry_pause else { return };
                    retry_after.unwrap_or(pause).max(pause)
                }
                SubmissionResult::Responded { .. } => return,
                SubmissionResult::Unanswered if message.disconnects => return,
                SubmissionResult::Unanswered | SubmissionResult::NotSubmitted => {
                    // The sender is probably down, so the next submission goes to the next sender.
                    sender = (sender + 1) % self.senders.len();
                    let pause_ms = rng.between(RESUBMIT_PAUSE_MS.start, RESUBMIT_PAUSE_MS.end);
                    Duration::from_secs_f64(pause_ms / 1_000.0)
                }
            };
            if resubmissions >= MAX_RESUBMISSIONS {
                return;
            }
            resubmissions += 1;
            sleep(pause).await;
        }
    }

    /// Sends malformed requests to random senders at a mean rate of `per_s` until the task is cancelled.
    pub async fn send_malformed(self: Arc<Self>, per_s: f64, seed: u64) {
        if per_s <= 0.0 {
            return;
        }
        let mut rng = SeededRng::new(seed);
        loop {
            sleep(Duration::from_secs_f64(rng.exponential(1.0 / per_s))).await;
            let sender = rng.integer(0, self.senders.len() as u64) as usize;
            let Some(addr) = *self.senders[sender].address.borrow() else { continue };
            let request = malformed_request(&mut rng);
            // The task is not owned: it ends by its own timeouts.
            tokio::spawn(send_and_read(addr, request));
        }
    }
}

/// Id of a submission: the id of the message's first submission, with a number appended for each later one.
fn submission_id(first_message_id: &str, resubmissions: u32) -> String {
    if resubmissions == 0 {
        first_message_id.to_owned()
    } else {
        format!("{first_message_id}-{resubmissions}")
    }
}

/// Writes a request, then reads until the connection ends or [`MALFORMED_READ_TIMEOUT`] has passed.
async fn send_and_read(addr: SocketAddr, request: Vec<u8>) {
    let connected = timeout(RESPONSE_TIMEOUT, TcpStream::connect(addr)).await;
    let Ok(Ok(mut stream)) = connected else { return };
    let _ = timeout(RESPONSE_TIMEOUT, stream.write_all(&request)).await;
    let _ = timeout(MALFORMED_READ_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
}
