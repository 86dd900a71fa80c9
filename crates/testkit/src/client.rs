//! Clients: they hand messages in as planned, wait so long for an answer, come again after some refusals, and some
//! of them are bad.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};

use crate::event_log::{Event, EventLog};
use crate::scenario::{Scenario, SeededRng};

/// A client waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// What a dead sender held, or did not answer, comes again after so long, milliseconds.
const AGAIN_MS: (f64, f64) = (710.0, 1_700.0);
/// Connections that clients keep to one sender at most.
const MOST_KEPT: usize = 32;
/// A connection that has rested longer is not used again.
const KEPT: Duration = Duration::from_millis(1_500);
/// A hand-in that was due longer ago shows that this machine is too slow.
const LATE: Duration = Duration::from_millis(20);

/// A message that a client will hand in.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When, after the start.
    pub at: Duration,
    /// Its first id.
    pub message_id: String,
    /// Its class.
    pub class: &'static str,
    /// Its tenant.
    pub tenant: &'static str,
    /// Its partner.
    pub partner: u16,
    /// The sender beside its client.
    pub sender: usize,
    /// How long it may be delivered.
    pub left: Duration,
    /// Whether its client comes again after a refusal.
    pub again: Option<Duration>,
    /// Whether its client goes before it is answered.
    pub leaves: bool,
    /// Bytes of its body.
    pub size: usize,
}

/// The tenants, and their parts of the traffic.
pub const TENANTS: [(&str, f64); 5] =
    [("tenant-a", 0.45), ("tenant-b", 0.19), ("tenant-c", 0.15), ("tenant-d", 0.11), ("tenant-e", 0.10)];

/// The classes, and how long each may be delivered.
pub const KEYED: (&str, Duration) = ("keyed", Duration::from_millis(28_000));
/// See [`KEYED`].
pub const SAFE: (&str, Duration) = ("safe", Duration::from_millis(20_000));

/// All that clients will hand in: the same for the same script. `longest` bounds how long a message may be
/// delivered, so that an evening has an end.
pub fn plan(script: &Scenario, longest: Duration) -> Vec<Planned> {
    let mut draw = SeededRng::new(script.seed ^ 0x636c_6965_6e74);
    let traffic = &script.traffic;
    let total: f64 = script.receivers.iter().map(|p| p.weight).sum();
    let (mut planned, mut at, mut number) = (Vec::new(), 0.0, 0u32);
    // Clumps bring several at once: fewer arrivals for the same messages.
    let (clumps, clump) = (traffic.burst_share.get(), f64::from(traffic.burst_len.max(1)));
    let per_arrival = 1.0 + clumps / clump.max(1.0) * (clump - 1.0);
    loop {
        at += draw.exponential(per_arrival / traffic.per_s.get());
        if at >= f64::from(script.seconds) {
            return planned;
        }
        let mut at_weight = draw.unit() * total;
        let partner = script.receivers.iter().find(|p| {
            at_weight -= p.weight;
            at_weight < 0.0
        });
        let partner = partner.or(script.receivers.last()).map_or(0, |p| p.number);
        let several = if draw.chance(clumps / clump) { traffic.burst_len.max(1) } else { 1 };
        let sender = draw.integer(0, script.senders as u64) as usize;
        for _ in 0..several {
            let mut share = draw.unit();
            let tenant = TENANTS.iter().find(|(_, part)| {
                share -= part;
                share < 0.0
            });
            let (class, left) = if draw.chance(traffic.idempotent_share.get()) { SAFE } else { KEYED };
            let again = draw
                .chance(traffic.retry_share.get())
                .then(|| Duration::from_secs_f64(draw.between(0.33, 1.2)));
            planned.push(Planned {
                at: Duration::from_secs_f64(at),
                message_id: format!("{:08x}{number:08x}", script.seed as u32),
                class,
                tenant: tenant.unwrap_or(&TENANTS[0]).0,
                partner,
                sender,
                left: left.min(longest),
                again,
                leaves: draw.chance(traffic.abandon_share.get()),
                size: draw.integer(50, 800) as usize,
            });
            number += 1;
        }
    }
}

/// Where a sender is; nowhere while it is down.
pub type Address = watch::Receiver<Option<SocketAddr>>;

/// All clients together.
#[derive(Debug)]
pub struct Clients {
    senders: Vec<(String, Address)>,
    kept: Vec<Mutex<Vec<(TcpStream, Instant)>>>,
    evidence: EventLog,
}

/// What a client hears.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Status {
        status: u16,
        again: Option<Duration>,
    },
    /// None in time, or the connection ended.
    Nothing,
    /// The sender could not be reached, or closed a kept connection: nothing was handed in.
    NotHandedIn,
}

impl Clients {
    /// Clients of these senders.
    pub fn new(senders: Vec<(String, Address)>, evidence: &EventLog) -> Arc<Self> {
        let kept = senders.iter().map(|_| Mutex::default()).collect();
        Arc::new(Self { senders, kept, evidence: evidence.clone() })
    }

    /// Hands in all that is planned, from `start` on; returns when the last client has its answer.
    pub async fn run(self: Arc<Self>, planned: Vec<Planned>, start: Instant) {
        let mut open = tokio::task::JoinSet::new();
        for message in planned {
            let due = start + message.at;
            sleep_until(due.into()).await;
            let late = due.elapsed();
            if late > LATE {
                let lag_us = late.as_micros() as u64;
                self.evidence.record(Event::Lagged { who: "clients".to_owned(), lag_us });
            }
            let this = self.clone();
            open.spawn(async move { this.deliver(message).await });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    /// One message, and again as its client would.
    async fn deliver(&self, message: Planned) {
        let mut sender = message.sender;
        let mut draw = SeededRng::new(u64::from_str_radix(&message.message_id, 16).unwrap_or_default());
        let since = Instant::now();
        let (mut number, mut refused) = (0, false);
        while let Some(left) = message.left.checked_sub(since.elapsed()) {
            let message_id = if number == 0 {
                message.message_id.clone()
            } else {
                format!("{}-{number}", message.message_id)
            };
            let pause = match self.hand_in(&message, sender, &message_id, left).await {
                Answer::Status { status: 429 | 503, again } if !refused => {
                    refused = true;
                    let Some(wait) = message.again else { return };
                    again.unwrap_or(wait).max(wait)
                }
                Answer::Status { .. } => return,
                Answer::Nothing if message.leaves => return,
                Answer::Nothing | Answer::NotHandedIn => {
                    // Its own sender is down, most likely: the next one.
                    sender = (sender + 1) % self.senders.len();
                    Duration::from_secs_f64(draw.between(AGAIN_MS.0, AGAIN_MS.1) / 1_000.0)
                }
            };
            if number >= 4 {
                return;
            }
            number += 1;
            sleep(pause).await;
        }
    }

    async fn hand_in(&self, message: &Planned, sender: usize, message_id: &str, left: Duration) -> Answer {
        let kept = {
            let mut kept = self.kept[sender].lock().unwrap_or_else(PoisonError::into_inner);
            kept.retain(|(_, since)| since.elapsed() < KEPT);
            kept.pop()
        };
        if let Some((stream, _)) = kept {
            match self.exchange(stream, message, sender, message_id, left).await {
                // It crossed the sender's close: once more on a new one, under the same id.
                Answer::NotHandedIn => {}
                answer => return answer,
            }
        }
        let Some(addr) = *self.senders[sender].1.borrow() else { return Answer::NotHandedIn };
        let connected = timeout(PATIENCE, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return Answer::NotHandedIn };
        if stream.set_nodelay(true).is_err() {
            return Answer::NotHandedIn;
        }
        self.exchange(stream, message, sender, message_id, left).await
    }

    async fn exchange(
        &self,
        mut stream: TcpStream,
        message: &Planned,
        sender: usize,
        message_id: &str,
        left: Duration,
    ) -> Answer {
        let seconds = left.as_secs_f64();
        let key = format!("key-{}", message.message_id);
        let head = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {message_id}\r\nX-Org: {}\r\nX-Remaining: {seconds:.3}\r\n\
             X-Route-To: dest={}\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n",
            message.class, message.tenant, message.partner, message.size,
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + message.size, b'x');
        let name = self.senders[sender].0.clone();
        // A kept connection may have ended; what is written to it then was never read.
        let mut byte = [0; 1];
        if !matches!(stream.try_read(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
        {
            return Answer::NotHandedIn;
        }
        self.evidence.record(Event::Submitted {
            message_id: message_id.to_owned(),
            first_message_id: message.message_id.clone(),
            sender: name,
            class: message.class.to_owned(),
            tenant: message.tenant.to_owned(),
            receiver: message.partner,
            time_left_ms: left.as_millis() as u64,
            ordering_key: None,
        });
        let unheard = || {
            self.evidence.record(Event::Unanswered { message_id: message_id.to_owned() });
            Answer::Nothing
        };
        if stream.write_all(&request).await.is_err() {
            return unheard();
        }
        if message.leaves {
            sleep(Duration::from_millis(1)).await;
            return unheard();
        }
        let Ok(Some(answer)) = timeout(PATIENCE, read_answer(&mut stream)).await else { return unheard() };
        let (status, again, keep) = answer;
        self.evidence.record(Event::Responded { message_id: message_id.to_owned(), status });
        if keep {
            let mut kept = self.kept[sender].lock().unwrap_or_else(PoisonError::into_inner);
            if kept.len() < MOST_KEPT {
                kept.push((stream, Instant::now()));
            }
        }
        Answer::Status { status, again }
    }

    /// Bad clients, so many a second, until it is dropped.
    pub async fn misbehave(self: Arc<Self>, per_s: f64, seed: u64) {
        if per_s <= 0.0 {
            return;
        }
        let mut draw = SeededRng::new(seed);
        loop {
            sleep(Duration::from_secs_f64(draw.exponential(1.0 / per_s))).await;
            let sender = draw.integer(0, self.senders.len() as u64) as usize;
            let Some(addr) = *self.senders[sender].1.borrow() else { continue };
            let bytes = nonsense(&mut draw);
            tokio::spawn(async move {
                let Ok(Ok(mut stream)) = timeout(PATIENCE, TcpStream::connect(addr)).await else { return };
                let _ = timeout(PATIENCE, stream.write_all(&bytes)).await;
                // Reads what it is sent until it is closed, or for a while.
                let _ = timeout(Duration::from_secs(6), stream.read_to_end(&mut Vec::new())).await;
            });
        }
    }
}

/// What a bad client writes; never a message that could be taken on.
fn nonsense(draw: &mut SeededRng) -> Vec<u8> {
    let post = |headers: &str, body: &str| {
        format!("POST /safe HTTP/1.1\r\nHost: a\r\nX-Org: tenant-b\r\n{headers}\r\n\r\n{body}").into_bytes()
    };
    match draw.integer(0, 8) {
        0 => (0..200).map(|_| draw.integer(0, 256) as u8).collect(),
        1 => post("X-Txn: bad\r\nX-Remaining: never\r\nX-Route-To: dest=1\r\nContent-Length: 4", "text"),
        2 => post("X-Remaining: 5\r\nX-Route-To: dest=1\r\nContent-Length: 4", "text"),
        3 => post("X-Txn: bad\r\nX-Remaining: 5\r\nX-Route-To: dest=60000\r\nContent-Length: 4", "text"),
        4 => post("X-Txn: bad\r\nX-Remaining: 5\r\nX-Route-To: dest=1\r\nContent-Length: -4", "text"),
        5 => post("X-Txn: bad\r\nX-Remaining: 5\r\nX-Route-To: dest=1\r\nContent-Length: 400", "half"),
        6 => format!("GET /{} HTTP/1.1\r\nX: ", "y".repeat(20_000)).into_bytes(),
        _ => Vec::new(),
    }
}

/// Status, when to come again, and whether the connection can be used again; `None` if it ends first.
async fn read_answer(stream: &mut TcpStream) -> Option<(u16, Option<Duration>, bool)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let field =
                |name: &str| head.lines().find_map(|l| l.strip_prefix(name).map(|v| v.trim().to_owned()));
            let status = head.get(9..12)?.parse().ok()?;
            let length: usize = field("content-length:").map_or(Some(0), |v| v.parse().ok())?;
            if bytes.len() >= end + 4 + length {
                let again = field("retry-after:").and_then(|v| v.parse::<f64>().ok());
                let again = again.filter(|a| (0.0..3_600.0).contains(a)).map(Duration::from_secs_f64);
                return Some((status, again, field("connection:").is_none_or(|v| v != "close")));
            }
        }
        if bytes.len() > 64 * 1024 || stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_the_same_for_the_same_script_and_brings_what_it_says() {
        let script = Scenario::random(3, 60);
        let planned = plan(&script, Duration::from_secs(12));
        assert_eq!(planned, plan(&script, Duration::from_secs(12)));
        let expected = script.traffic.per_s.get() * 60.0;
        let share = planned.len() as f64 / expected;
        assert!((0.8..1.25).contains(&share), "{} of {expected}", planned.len());
        assert!(planned.is_sorted_by_key(|p| p.at));
        assert!(planned.iter().all(|p| p.left <= Duration::from_secs(12) && p.sender < 2));
    }
}
