//! The engine: gathers events into batches, lets the module decide, writes the journal, and only then acts.

mod attempts;
mod batch;
mod commit;
mod intake;
mod list;
mod recovery;
mod standing;
mod succession;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use recovery::Recovered;
use rudderspindle_gossip::{LimitId, Receiver};
use rudderspindle_journal::{self as journal, MessageId, Notice, PossibleExecution, Status, Store};
use rudderspindle_policy::Sender;
use rudderspindle_policy::interface::*;
use rudderspindle_policy::settings::Names;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::activity::ActivityLog;
use crate::event::{ActivityReport, Answer, AttemptResult, Call, Input, List, Member, STORY, Submission};
use crate::handover::{self, HandoverMessage, PeerProcess};
use crate::metrics::{End, EngineStatus, Metrics};
use crate::notifications::Notifications;
use crate::outbound::{CallHandle, Outbound, Route};

/// After SIGTERM, calls start for so long: what starts later may not finish.
const STOP_SENDING: Duration = Duration::from_millis(2_000);
/// Clients still come for some time after SIGTERM.
const STOP_FIRST: Duration = Duration::from_millis(600);
/// Whatever is out by then stays in the journal as an attempt that may have run.
const STOP_LAST: Duration = Duration::from_millis(3_300);
/// How often the engine looks whether it can stop.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Longest time without a batch, where nothing is due.
const IDLE: Duration = Duration::from_secs(3600);
/// A receiver that has left the list keeps its name for longer than the module remembers it: it may only be
/// away from a list that lags, and must not come back as one without a past.
const KEEP_GONE: Duration = Duration::from_secs(70);
/// Clients that may hand in one message at the same time; more are refused.
const MAX_SUBMISSIONS: usize = 4;
/// Stands for clients that an earlier process answered: they are heard for good.
const EARLIER_SUBMISSION: u64 = u64::MAX;
/// Inputs of one batch at most.
const MAX_INPUTS: usize = 4096;

/// A message that is owed its end.
#[derive(Debug)]
struct TrackedMessage {
    message_id: MessageId,
    class: usize,
    /// The hand-ins that it was taken on by, less those whose clients went unheard. While one is left, its
    /// client may have been told that the message is taken on: nothing may withdraw it.
    submissions: Vec<u64>,
    key: Option<Bytes>,
    body: Bytes,
    ends_at: Instant,
    attempts: u32,
    /// To whom the attempt that is out went.
    receiver: Option<Receiver>,
}

/// What a receiver's id stands for.
#[derive(Debug)]
struct KnownReceiver {
    route: RouteId,
    destination: Option<DestinationId>,
    gone_at: Option<Instant>,
}

/// A message that was handed in with this batch.
struct NewSubmission {
    id: MessageHandle,
    class: usize,
    record: journal::Message,
    answer: oneshot::Sender<Answer>,
}

pub struct Engine {
    sender: Sender,
    settings: Settings,
    names: Names,
    store: Store,
    outbound: Rc<Outbound>,
    reports: Rc<Notifications>,
    metrics: Rc<Metrics>,
    peer_process: Rc<PeerProcess>,
    /// Calls out, as the neighbour was last told.
    told_out: usize,
    /// Whether clients come by a listener that a successor has, too.
    shared_door: bool,
    inputs: mpsc::Receiver<Input>,
    origin: Instant,
    last_batch: Instant,
    stop: Option<Instant>,
    held: HashMap<MessageHandle, TrackedMessage>,
    ids: HashMap<MessageId, MessageHandle>,
    submissions: HashMap<u64, MessageHandle>,
    next_id: u32,
    /// Receivers on the list, and for a while those that have left it.
    routes: HashMap<Rc<str>, KnownReceiver>,
    next_route: u64,
    destinations: HashSet<DestinationId>,
    zones: Vec<String>,
    calls: HashMap<MessageHandle, CallHandle>,
    wakes: Vec<(Instant, u64)>,
    /// Inputs and events left for the next batch, and what the module has no room for yet, the best last.
    deferred: Vec<Input>,
    backlog: Vec<Recovered>,
    carried: Vec<Event>,
    activity: ActivityLog,
}

/// What an engine is made of.
pub struct EngineDependencies {
    pub settings: Settings,
    pub names: Names,
    pub seed: u64,
    pub store: Store,
    pub outbound: Rc<Outbound>,
    pub reports: Rc<Notifications>,
    pub metrics: Rc<Metrics>,
    pub peer_process: Rc<PeerProcess>,
    pub shared_door: bool,
    /// Whether other senders will tell this one what they want.
    pub notes: bool,
    /// Whether calls need turns.
    pub permits: bool,
    /// Whether what it sees and takes on goes into notes.
    pub views: bool,
    pub inputs: mpsc::Receiver<Input>,
}

impl Engine {
    /// An engine that has taken in the list, as last known and as fetched, and what its journal holds.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings cannot work.
    pub fn new(
        parts: EngineDependencies,
        known: &List,
        fetched: Option<&List>,
    ) -> Result<Self, SettingsError> {
        let EngineDependencies { settings, names, seed, store, outbound, reports, .. } = parts;
        let EngineDependencies { metrics, peer_process, shared_door, notes, permits, views, inputs, .. } =
            parts;
        let now = Instant::now();
        let mut sender = Sender::new(settings.clone(), seed)?;
        if notes {
            sender.hear_notes();
        }
        if permits {
            sender.keep_rights();
        }
        let mut engine = Self {
            sender,
            zones: names.zones.clone(),
            settings,
            names,
            store,
            outbound,
            reports,
            metrics,
            peer_process,
            told_out: 0,
            shared_door,
            inputs,
            origin: now,
            last_batch: now,
            stop: None,
            held: HashMap::new(),
            ids: HashMap::new(),
            submissions: HashMap::new(),
            next_id: 0,
            routes: HashMap::new(),
            next_route: 0,
            destinations: HashSet::new(),
            calls: HashMap::new(),
            wakes: Vec::new(),
            deferred: Vec::new(),
            backlog: Vec::new(),
            carried: Vec::new(),
            activity: ActivityLog::new(views),
        };
        let entries = engine.list(known);
        engine.carried.push(Event::List(ListChange::Cached(entries)));
        // The list as last known may be older than what was told before a restart: nothing that the journal
        // holds may go to a receiver that has been told to drain since.
        if let Some(list) = fetched {
            let entries = engine.list(list);
            engine.carried.push(Event::List(ListChange::Full(entries)));
        }
        engine.carried.extend(engine.recall());
        let (open, owed) = (
            engine.store.pending_messages().cloned().collect(),
            engine.store.pending_notifications().collect(),
        );
        engine.recover(now, open, owed);
        engine.batch(Vec::new());
        Ok(engine)
    }

    /// Runs until SIGTERM has been dealt with.
    pub async fn run(mut self) {
        loop {
            let due = self.due();
            let mut inputs = std::mem::take(&mut self.deferred);
            if inputs.is_empty() {
                tokio::select! {
                    n = self.inputs.recv_many(&mut inputs, MAX_INPUTS) => if n == 0 { return },
                    () = sleep_until(due) => {}
                }
            }
            let tick = Duration::from_secs_f64(self.settings.tick.max(0.0) / 1_000.0);
            sleep_until(self.last_batch + tick).await;
            while inputs.len() < MAX_INPUTS {
                let Ok(input) = self.inputs.try_recv() else { break };
                inputs.push(input);
            }
            self.batch(inputs);
            if self.stopped() {
                // Another process may have the journal from now on, and call again.
                self.calls.values().for_each(CallHandle::cancel);
                return;
            }
        }
    }

    fn due(&self) -> Instant {
        let now = Instant::now();
        let next = if self.stop.is_some() { STOP_LOOK } else { IDLE };
        let more = !self.backlog.is_empty() && self.sender.room() > 0;
        let next = if self.carried.is_empty() && !more { now + next } else { now };
        let ends = self.backlog.iter().map(|r| r.ends_at);
        self.wakes.iter().map(|w| w.0).chain(ends).fold(next, Instant::min)
    }

    /// Whether the program may end: nothing that it could still do is left, or its time is up.
    fn stopped(&self) -> bool {
        let Some(since) = self.stop.map(|at| at.elapsed()) else { return false };
        let idle = self.calls.is_empty() && self.reports.is_idle();
        let done = idle && (self.held.is_empty() || since >= STOP_SENDING);
        // Those whose request is still coming are heard: they would have to begin again elsewhere.
        let heard = self.metrics.clients() == 0;
        let first = if self.shared_door { Duration::ZERO } else { STOP_FIRST };
        since >= STOP_LAST || (done && heard && since >= first)
    }
}

#[cfg(test)]
mod tests;
