//! The engine: collects inputs into batches, passes each batch to the policy, writes the decisions to the journal, and
//! executes them only after that write.
//!
//! Batches run one after the other, at most one per tick of the settings. The engine runs as one task and owns its
//! state. Other tasks send it an [`Input`], and share with it only the parts in [`EngineIo`].
//!
//! Start reading at [`Engine::run`]; `batch` handles the inputs of a batch, and `commit` writes and executes its
//! decisions.

mod attempts;
mod backlog;
mod batch;
mod calls_in_flight;
mod claims;
mod commit;
mod completed_messages;
mod dependencies;
mod endpoint_table;
mod endpoints;
mod id_claims;
mod intake;
mod known_messages;
mod listed_endpoints;
mod message_content;
mod outage_records;
mod recovery;
mod shutdown;
mod status;
mod takeover;
mod time;
mod timers;
mod tracked_messages;

use std::time::Duration;

use rudderspindle_journal::{PendingNotification, Store};
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{Event, ListChange, Millis, Settings, SettingsError};
use rudderspindle_policy::settings::Names;
use tokio::time::{Instant, sleep_until};

use crate::activity::ActivityLog;
use crate::event::{EndpointList, Input};
use backlog::Backlog;
use calls_in_flight::CallsInFlight;
use commit::JOURNAL_RETRY_DELAY;
use completed_messages::CompletedMessages;
pub use dependencies::{EngineDependencies, EngineIo, LimitSharing, PolicyOptions};
use endpoint_table::EndpointTable;
use id_claims::IdClaims;
use listed_endpoints::ListedEndpoints;
pub use outage_records::restore_outages;
use shutdown::{RemainingWork, Shutdown};
use time::from_millis;
use timers::Timers;
use tracked_messages::TrackedMessages;

/// How often the engine checks during a shutdown whether it can stop.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time between two batches while no input arrives and no timer or deadline is due.
const MAX_BATCH_INTERVAL: Duration = Duration::from_secs(3600);
/// Maximum number of inputs in a batch.
const MAX_BATCH_INPUTS: usize = 4096;

/// The engine of one sender process. Create it with [`Engine::new`], then poll [`Engine::run`].
pub struct Engine {
    policy: Policy,
    /// The instant that is zero on the policy's clock.
    policy_epoch: Instant,
    timers: Timers,
    settings: Settings,
    names: Names,
    store: Store,
    /// See [`EngineDependencies::max_pending_bytes`].
    max_pending_bytes: Option<u64>,
    io: EngineIo,
    shutdown: Shutdown,
    /// When the last batch started.
    last_batch_at: Instant,
    /// Notifications about messages whose completion is not in the journal yet, because the write has failed.
    unwritten_notifications: Vec<PendingNotification>,
    /// When attempts may start again after a failed write of the journal.
    send_not_before: Instant,
    /// Submissions that did not fit into the last batch of the journal.
    next_batch_inputs: Vec<Input>,
    /// Events for the policy that arose after the events of the last batch were passed to it, or while the engine was
    /// created. The next batch passes them to the policy.
    next_batch_events: Vec<Event>,
    tracked_messages: TrackedMessages,
    /// Messages whose ids must not be accepted again for a while.
    completed_messages: CompletedMessages,
    /// Submissions whose message ids are claimed from the peer process.
    id_claims: IdClaims,
    /// Recovered messages that wait for capacity in the policy.
    backlog: Backlog,
    endpoints: EndpointTable,
    /// The current endpoint list, for a successor.
    listed_endpoints: ListedEndpoints,
    calls: CallsInFlight,
    activity: ActivityLog,
}

impl Engine {
    /// Creates an engine, applies the configured endpoint list and then the one fetched from discovery, and recovers
    /// the messages and notifications of the journal.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings contradict each other.
    pub fn new(
        dependencies: EngineDependencies,
        configured_list: &EndpointList,
        fetched_list: Option<&EndpointList>,
    ) -> Result<Self, SettingsError> {
        let mut engine = Self::build(dependencies)?;
        let entries = engine.apply_entries(configured_list);
        engine.next_batch_events.push(Event::List(ListChange::Cached(entries)));
        // The fetched list is applied before messages are recovered, because the configured list may be outdated:
        // a recovered message must not be sent to a receiver that is draining by now.
        if let Some(list) = fetched_list {
            engine.listed_endpoints.record_received();
            let entries = engine.apply_entries(list);
            engine.next_batch_events.push(Event::List(ListChange::Full(entries)));
        }
        let outages = outage_records::recorded_outages(&engine.store, &engine.endpoints);
        engine.next_batch_events.extend(outages);
        let pending_messages = engine.store.pending_messages().cloned().collect();
        let pending_notifications = engine.store.pending_notifications().collect();
        engine.recover(engine.policy_epoch, pending_messages, pending_notifications);
        engine.run_batch(Vec::new());
        engine.announce_acceptance();
        Ok(engine)
    }

    /// Creates an engine without receivers and messages.
    fn build(dependencies: EngineDependencies) -> Result<Self, SettingsError> {
        let EngineDependencies {
            policy: options,
            store,
            max_pending_bytes,
            io,
            shared_listener,
            collect_activity,
        } = dependencies;
        let policy = options.build()?;
        let PolicyOptions { settings, names, .. } = options;
        let now = Instant::now();
        // Clients may submit a message again until its deadline.
        let max_deadline = settings.classes.iter().map(|class| class.deadline).fold(0.0, Millis::max);
        let max_deadline = from_millis(max_deadline);
        let id_claims = IdClaims::new(!store.is_owner() && io.peer_process.answers_claims());
        Ok(Self {
            policy,
            policy_epoch: now,
            timers: Timers::default(),
            endpoints: EndpointTable::new(names.zones.clone()),
            listed_endpoints: ListedEndpoints::default(),
            settings,
            names,
            store,
            max_pending_bytes,
            io,
            shutdown: Shutdown::new(shared_listener),
            last_batch_at: now,
            send_not_before: now,
            unwritten_notifications: Vec::new(),
            next_batch_inputs: Vec::new(),
            next_batch_events: Vec::new(),
            tracked_messages: TrackedMessages::default(),
            completed_messages: CompletedMessages::new(max_deadline),
            id_claims,
            backlog: Backlog::default(),
            calls: CallsInFlight::default(),
            activity: ActivityLog::new(collect_activity),
        })
    }

    /// Runs until the shutdown is complete, or until the channel of inputs is closed.
    pub async fn run(mut self) {
        while let Some(inputs) = self.next_inputs().await {
            self.run_batch(inputs);
            if self.shutdown.is_complete(Instant::now(), self.remaining_work()) {
                // From now on another process may own the journal and send the messages again.
                self.calls.cancel_all();
                return;
            }
        }
    }

    /// Waits until a batch is due, and returns its inputs; `None` if the channel of inputs is closed.
    async fn next_inputs(&mut self) -> Option<Vec<Input>> {
        let next_batch_due = self.next_batch_due();
        let mut inputs = std::mem::take(&mut self.next_batch_inputs);
        if inputs.is_empty() {
            tokio::select! {
                received = self.io.inputs.recv_many(&mut inputs, MAX_BATCH_INPUTS) => {
                    if received == 0 {
                        return None;
                    }
                }
                () = sleep_until(next_batch_due) => {}
            }
        }
        sleep_until(self.last_batch_at + from_millis(self.settings.tick)).await;
        while inputs.len() < MAX_BATCH_INPUTS {
            let Ok(input) = self.io.inputs.try_recv() else { break };
            inputs.push(input);
        }
        Some(inputs)
    }

    /// When the next batch is due if no input arrives before.
    fn next_batch_due(&self) -> Instant {
        let now = Instant::now();
        let has_unwritten = !self.unwritten_notifications.is_empty();
        let journal_retry = has_unwritten.then_some(self.last_batch_at + JOURNAL_RETRY_DELAY);
        let resume_sending = (self.send_not_before > self.last_batch_at).then_some(self.send_not_before);
        let can_recover = !self.backlog.is_empty() && self.policy.free_capacity() > 0;
        let latest = if !self.next_batch_events.is_empty() || can_recover {
            now
        } else if self.shutdown.is_requested() {
            now + SHUTDOWN_CHECK_INTERVAL
        } else {
            now + MAX_BATCH_INTERVAL
        };
        let due_times = self.timers.due_times().chain(self.backlog.deadlines());
        let due_times = due_times.chain(journal_retry).chain(resume_sending).chain(self.id_claims.next_due());
        due_times.fold(latest, Instant::min)
    }

    /// The work that must be finished before the engine can stop.
    fn remaining_work(&self) -> RemainingWork {
        RemainingWork {
            calls: self.calls.len(),
            has_unacknowledged_notifications: !self.io.notifications.is_idle(),
            messages: self.tracked_messages.len(),
            client_connections: self.io.metrics.client_connections(),
        }
    }
}

#[cfg(test)]
mod tests;
