//! The engine: gathers events into batches, lets the policy decide, writes the journal, and only then acts.
//!
//! One batch at a time, at most one each tick. The engine runs as one task and owns all its state; other tasks send
//! it an [`Input`], and share only what [`EngineIo`] names.

mod attempts;
mod backlog;
mod batch;
mod commit;
mod dependencies;
mod endpoint_table;
mod endpoints;
mod intake;
mod outage_records;
mod recovery;
mod status;
mod takeover;
mod time;
mod tracked_messages;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_journal::Store;
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{Event, ListChange, MessageHandle, Settings, SettingsError};
use rudderspindle_policy::settings::Names;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::activity::ActivityLog;
use crate::event::{EndpointList, Input};
use crate::handover::PeerProcess;
use crate::metrics::Metrics;
use crate::notifications::Notifications;
use crate::outbound::{CallHandle, Outbound};
use backlog::Backlog;
pub use dependencies::{EngineDependencies, EngineIo, LimitSharing, PolicyOptions};
use endpoint_table::EndpointTable;
use time::from_millis;
use tracked_messages::TrackedMessages;

/// How long after the request to stop attempts may still start: later ones may not finish.
const SHUTDOWN_SEND_PERIOD: Duration = Duration::from_millis(2_000);
/// Minimum time to stop if clients have no other process to go to: some still connect after the request.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(600);
/// Maximum time to stop. Calls in flight by then stay in the journal as attempts that may have been executed.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(3_300);
/// How often the engine checks whether it can stop.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time between two batches.
const MAX_BATCH_INTERVAL: Duration = Duration::from_secs(3600);
/// Maximum number of inputs in a batch.
const MAX_BATCH_INPUTS: usize = 4096;

/// The engine of one sender process.
pub struct Engine {
    policy: Policy,
    settings: Settings,
    names: Names,
    store: Store,
    outbound: Rc<Outbound>,
    notifications: Rc<Notifications>,
    metrics: Rc<Metrics>,
    peer_process: Rc<PeerProcess>,
    inputs: mpsc::Receiver<Input>,
    /// Whether a successor can accept clients from the same listening socket.
    shared_listener: bool,
    /// Zero of the policy's clock.
    policy_epoch: Instant,
    /// When the last batch began.
    last_batch: Instant,
    /// When the engine was asked to stop.
    stop: Option<Instant>,
    tracked: TrackedMessages,
    /// Recovered messages that the policy has no capacity for yet.
    backlog: Backlog,
    endpoints: EndpointTable,
    /// Calls in flight.
    calls: HashMap<MessageHandle, CallHandle>,
    /// Number of calls in flight as last announced to the peer process.
    announced_calls: usize,
    /// The policy's timers, with their tokens.
    wakes: Vec<(Instant, u64)>,
    /// Inputs for the next batch.
    next_batch_inputs: Vec<Input>,
    /// Events for the next batch.
    next_batch_events: Vec<Event>,
    activity: ActivityLog,
}

impl Engine {
    /// An engine that has applied the configured endpoint list and the fetched one, and has recovered what its journal
    /// holds.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings contradict each other.
    pub fn new(
        dependencies: EngineDependencies,
        configured: &EndpointList,
        fetched: Option<&EndpointList>,
    ) -> Result<Self, SettingsError> {
        let mut engine = Self::build(dependencies)?;
        let entries = engine.apply_entries(configured);
        engine.next_batch_events.push(Event::List(ListChange::Cached(entries)));
        // The configured list may be older than what an earlier process knew: no recovered message may go to a
        // receiver that drains by now.
        if let Some(list) = fetched {
            let entries = engine.apply_entries(list);
            engine.next_batch_events.push(Event::List(ListChange::Full(entries)));
        }
        engine.next_batch_events.extend(engine.recorded_outages());
        let open = engine.store.pending_messages().cloned().collect();
        let pending_notifications = engine.store.pending_notifications().collect();
        engine.recover(engine.policy_epoch, open, pending_notifications);
        engine.run_batch(Vec::new());
        Ok(engine)
    }

    /// An engine that knows no receiver and no message.
    fn build(dependencies: EngineDependencies) -> Result<Self, SettingsError> {
        let EngineDependencies { policy: options, store, io, shared_listener, record_activity } =
            dependencies;
        let policy = options.build()?;
        let PolicyOptions { settings, names, .. } = options;
        let EngineIo { outbound, notifications, metrics, peer_process, inputs } = io;
        let now = Instant::now();
        Ok(Self {
            policy,
            endpoints: EndpointTable::new(names.zones.clone()),
            settings,
            names,
            store,
            outbound,
            notifications,
            metrics,
            peer_process,
            inputs,
            shared_listener,
            policy_epoch: now,
            last_batch: now,
            stop: None,
            tracked: TrackedMessages::default(),
            backlog: Backlog::default(),
            calls: HashMap::new(),
            announced_calls: 0,
            wakes: Vec::new(),
            next_batch_inputs: Vec::new(),
            next_batch_events: Vec::new(),
            activity: ActivityLog::new(record_activity),
        })
    }

    /// Runs until the engine has been asked to stop and has, or until nobody can send it inputs any more.
    pub async fn run(mut self) {
        while let Some(inputs) = self.next_inputs().await {
            self.run_batch(inputs);
            if self.has_stopped() {
                // Another process may own the journal from now on, and call again.
                for call in self.calls.values() {
                    call.cancel();
                }
                return;
            }
        }
    }

    /// Waits until a batch is due; returns its inputs, or `None` if there can be no more.
    async fn next_inputs(&mut self) -> Option<Vec<Input>> {
        let due = self.next_due();
        let mut inputs = std::mem::take(&mut self.next_batch_inputs);
        if inputs.is_empty() {
            tokio::select! {
                received = self.inputs.recv_many(&mut inputs, MAX_BATCH_INPUTS) => {
                    if received == 0 {
                        return None;
                    }
                }
                () = sleep_until(due) => {}
            }
        }
        sleep_until(self.last_batch + from_millis(self.settings.tick)).await;
        while inputs.len() < MAX_BATCH_INPUTS {
            let Ok(input) = self.inputs.try_recv() else { break };
            inputs.push(input);
        }
        Some(inputs)
    }

    /// When the next batch is due without inputs.
    fn next_due(&self) -> Instant {
        let now = Instant::now();
        let can_recover = !self.backlog.is_empty() && self.policy.free_capacity() > 0;
        let latest = if !self.next_batch_events.is_empty() || can_recover {
            now
        } else if self.stop.is_some() {
            now + SHUTDOWN_CHECK_INTERVAL
        } else {
            now + MAX_BATCH_INTERVAL
        };
        let wakes = self.wakes.iter().map(|(at, _)| *at);
        wakes.chain(self.backlog.deadlines()).fold(latest, Instant::min)
    }

    /// Whether the engine is done: asked to stop, and there is nothing left that it can do, or its time is over.
    fn has_stopped(&self) -> bool {
        let Some(stopping) = self.stop.map(|at| at.elapsed()) else { return false };
        let is_idle = self.calls.is_empty() && self.notifications.is_idle();
        let is_done = is_idle && (self.tracked.is_empty() || stopping >= SHUTDOWN_SEND_PERIOD);
        // A client in the middle of a request would have to repeat it elsewhere.
        let no_clients = self.metrics.clients() == 0;
        let min_time = if self.shared_listener { Duration::ZERO } else { MIN_SHUTDOWN_TIME };
        stopping >= MAX_SHUTDOWN_TIME || (is_done && no_clients && stopping >= min_time)
    }
}

#[cfg(test)]
mod tests;
