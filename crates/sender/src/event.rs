//! What the engine is told and what it asks for: ways in, ways out, membership and notices meet it here, and
//! none of them has to know the engine.

use bytes::Bytes;
use hyper::header::HeaderName;
use rudderspindle_gossip::{CallResult, LimitId, Receiver};
use rudderspindle_journal::MessageId;
use rudderspindle_policy::interface::*;
use serde::Deserialize;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::metrics::EngineStatus;

/// The header that carries a message's key, on the way in and on the way out.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The log's target for what becomes of each message, under its id (`message_id`).
pub(crate) const STORY: &str = "story";

/// What the rest of the program tells the engine.
#[derive(Debug)]
pub enum Input {
    Submitted(Submission),
    /// The client of this hand-in has gone before it was answered.
    Withdrawn(u64),
    Outcome {
        id: MessageHandle,
        attempt: u32,
        report: AttemptResult,
    },
    HealthChecked {
        route: RouteId,
        outcome: Outcome,
    },
    List(List),
    /// Notices that the platform has.
    NotificationsAcknowledged(Vec<MessageId>),
    /// A process that will take over from this one has come, or the other of the two is gone.
    Successor(bool),
    /// The other process of this sender was told to wait.
    RetryAfter {
        destination: u16,
        receiver: Option<String>,
        ms: Millis,
    },
    /// So many calls of the other process of this sender are out.
    PeerCallsInFlight(usize),
    /// Take the journal over, if the process that owns it has ended; whether it is ours is answered.
    TakeOver(oneshot::Sender<bool>),
    /// What is wanted of each limit, and what has been seen and taken on since the last time?
    Demands(oneshot::Sender<ActivityReport>),
    /// What notes leave of limits to this sender: calls a second for each that is wanted, how many all senders want, and
    /// for how long.
    CapacityShares(Vec<(DestinationId, Option<RouteId>, f64, f64)>, Millis),
    /// Where rights are kept: the turns at each limit that are this sender's, ms since 1970.
    Permits(Vec<(DestinationId, Option<RouteId>, Vec<rudderspindle_gossip::Permit>)>),
    /// Receivers that others of this hall judge to be down.
    EjectedReceivers(Vec<RouteId>),
    /// What of each tenant's quota is this sender's, messages a second, where word of others has come.
    Quotas(Vec<Option<f64>>),
    /// How does the engine stand?
    QueryStatus(oneshot::Sender<EngineStatus>),
    /// SIGTERM.
    Stop,
}

/// What a sender wants and does, for its notes.
#[derive(Debug, Default)]
pub struct ActivityReport {
    pub demands: Vec<(LimitId, Demand)>,
    /// How calls ended since the last time, oldest first; of the last [`MAX_CALL_RESULTS`] only.
    pub seen: Vec<(Receiver, CallResult)>,
    /// Messages taken on since the last time, by tenant.
    pub taken_on: Vec<(u16, u32)>,
    /// The receivers on the list.
    pub listed: Vec<(DestinationId, RouteId, Receiver)>,
}

/// Ends of calls that are kept between two reports.
pub(crate) const MAX_CALL_RESULTS: usize = 4_096;

/// A message handed in, and where its answer goes.
#[derive(Debug)]
pub struct Submission {
    /// Names this hand-in, also where two carry the same id.
    pub number: u64,
    pub message_id: MessageId,
    pub class: usize,
    pub tenant: usize,
    pub destination: DestinationId,
    pub key: Option<Bytes>,
    pub body: Bytes,
    pub ends_at: Instant,
    pub answer: oneshot::Sender<Answer>,
}

/// What a client hears of its message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Accepted,
    /// After how many milliseconds to come again; 0 for no advice.
    Refused(Millis),
    Failed,
    UnknownDestination,
}

/// One call with a message.
#[derive(Debug)]
pub struct Call {
    pub id: MessageHandle,
    pub attempt: u32,
    pub route: RouteId,
    pub message_id: MessageId,
    pub key: Option<Bytes>,
    pub body: Bytes,
    /// When to stop waiting.
    pub until: Instant,
    /// By when its last byte must be out: later it does not go.
    pub latest: Instant,
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The wait told, in milliseconds; 0 for none.
    pub wait: Millis,
    /// Whether nothing more is owed.
    pub closed: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, wait: 0.0, closed: outcome == Outcome::Ok }
    }
}

/// A list, or the entries of one that have changed.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub revision: u64,
    /// Whether it is the whole list: what is missing is gone.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// A receiver on a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub id: String,
    #[serde(default)]
    pub host_port: String,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    pub cell: u16,
    pub phase: String,
    #[serde(default)]
    pub size: f64,
}
