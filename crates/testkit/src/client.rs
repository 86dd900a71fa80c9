//! Clients: they submit planned messages, wait for responses and submit again after some rejections. Some disconnect early,
//! and some send malformed requests.

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
/// Range of the pause before a message is submitted again that was not answered, in milliseconds.
const RESUBMIT_PAUSE_MS: Range<f64> = 710.0..1_700.0;
/// Submissions of a message after its first.
const MAX_RESUBMISSIONS: u32 = 4;
/// Delay of a submission beyond which a lag of this machine is recorded.
const MAX_LAG: Duration = Duration::from_millis(20);
/// How long a malicious client reads the response.
const MALICIOUS_READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Address of a sender; `None` while it is down.
pub type Address = watch::Receiver<Option<SocketAddr>>;

/// An idle connection that can be used again.
#[derive(Debug)]
struct KeptConnection {
    stream: TcpStream,
    since: Instant,
}

/// A sender as its clients see it.
#[derive(Debug)]
struct Sender {
    name: String,
    address: Address,
    kept: Mutex<Vec<KeptConnection>>,
}

impl Sender {
    fn kept(&self) -> MutexGuard<'_, Vec<KeptConnection>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The clients of all senders.
#[derive(Debug)]
pub struct Clients {
    senders: Vec<Sender>,
    event_log: EventLog,
}

impl Clients {
    /// Clients of these senders, by name.
    pub fn new(senders: Vec<(String, Address)>, event_log: &EventLog) -> Arc<Self> {
        let sender = |(name, address)| Sender { name, address, kept: Mutex::default() };
        let senders = senders.into_iter().map(sender).collect();
        Arc::new(Self { senders, event_log: event_log.clone() })
    }

    /// Submits all planned messages from `start` on; returns when the last client is done.
    pub async fn run(self: Arc<Self>, planned: Vec<PlannedMessage>, start: Instant) {
        // Owns the clients' tasks, which are cancelled with this one.
        let mut open = JoinSet::new();
        for message in planned {
            let due = start + message.at;
            sleep_until(due.into()).await;
            let lag = due.elapsed();
            if lag > MAX_LAG {
                let lag_us = lag.as_micros() as u64;
                self.event_log.record(Event::Lagged { who: "clients".to_owned(), lag_us });
            }
            let this = self.clone();
            open.spawn(async move { this.deliver(message).await });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    /// Submits one message, and again as its client would.
    async fn deliver(&self, message: PlannedMessage) {
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
                    // The sender is probably down: use the next one.
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

    /// Sends malformed requests at this rate until it is cancelled.
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
            // Ends after its timeouts.
            tokio::spawn(send_and_read(addr, request));
        }
    }
}

/// Id of a submission: the message's own id, with a number for the later ones.
fn submission_id(first: &str, resubmissions: u32) -> String {
    if resubmissions == 0 { first.to_owned() } else { format!("{first}-{resubmissions}") }
}

/// Writes a request and reads until the connection ends or a timeout.
async fn send_and_read(addr: SocketAddr, request: Vec<u8>) {
    let connected = timeout(RESPONSE_TIMEOUT, TcpStream::connect(addr)).await;
    let Ok(Ok(mut stream)) = connected else { return };
    let _ = timeout(RESPONSE_TIMEOUT, stream.write_all(&request)).await;
    let _ = timeout(MALICIOUS_READ_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
}
