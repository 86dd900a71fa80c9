//! Counts per receiver, from the event log as it is written.

mod receiver_statistics;

use std::collections::{BTreeMap, HashMap};

use rudderspindle_testkit::event_log::{Event, Line, ProcessState};
use rudderspindle_testkit::scenario::Scenario;

use crate::incident::Incident;
use crate::process_signals::ProcessSignals;
pub use receiver_statistics::{Counts, ReceiverStatistics, TimeSpan};

/// A submitted message.
#[derive(Clone, Copy, Debug)]
struct TrackedMessage {
    receiver: u16,
    /// Whether it was accepted and has no final outcome.
    in_flight: bool,
}

/// A call without a response.
#[derive(Clone, Debug)]
struct TrackedCall {
    message_id: String,
    receiver: u16,
}

/// The figures of all receivers.
#[derive(Debug, Default)]
pub struct Statistics {
    /// By number.
    pub receivers: BTreeMap<u16, ReceiverStatistics>,
    /// Receivers' numbers by endpoint.
    endpoint_receivers: HashMap<String, u16>,
    messages: HashMap<String, TrackedMessage>,
    calls: HashMap<u64, TrackedCall>,
    signals: ProcessSignals,
}

impl Statistics {
    /// The figures before the scenario's start.
    pub fn new(scenario: &Scenario) -> Self {
        let mut statistics = Self { signals: ProcessSignals::new(scenario), ..Self::default() };
        for plan in &scenario.receivers {
            statistics.receivers.insert(plan.number, ReceiverStatistics::new(scenario, plan));
            for endpoint in &plan.endpoints {
                statistics.endpoint_receivers.insert(endpoint.id.clone(), plan.number);
            }
        }
        statistics
    }

    /// Counts an event; the incident to show, if it is one.
    pub fn record(&mut self, line: &Line) -> Option<Incident> {
        match &line.event {
            Event::Submitted { message_id, receiver, .. } => self.record_submission(message_id, *receiver),
            Event::Responded { message_id, status: 200 | 202 } => self.record_acceptance(message_id, line.t),
            Event::CallReceived { call, endpoint, message_id, .. } => {
                self.record_call(*call, endpoint, message_id);
            }
            Event::CallAnswered { call, status, retry_after_ms } => {
                self.record_call_response(*call, *status, *retry_after_ms, line.t);
            }
            Event::Notified { message_id, acknowledged: true, .. } => {
                self.record_final_outcome(message_id, line.t, |_| ());
            }
            Event::Outage { endpoint, kind, on } => {
                let number = self.endpoint_receivers.get(endpoint)?;
                return self.receivers.get_mut(number)?.record_outage(line.t, kind, *on);
            }
            Event::EndpointChanged { sender, endpoint, phase } => {
                let (sender, endpoint, phase) = (sender.clone(), endpoint.clone(), phase.clone());
                return Some(Incident::EndpointChanged { sender, endpoint, phase });
            }
            Event::ProcessChanged { sender, state } => {
                return Some(self.record_process(sender, *state, line.t));
            }
            _ => {}
        }
        None
    }

    fn record_submission(&mut self, message_id: &str, receiver: u16) {
        self.messages.insert(message_id.to_owned(), TrackedMessage { receiver, in_flight: false });
    }

    fn record_acceptance(&mut self, message_id: &str, now: u64) {
        let Some(message) = self.messages.get_mut(message_id) else { return };
        message.in_flight = true;
        if let Some(receiver) = self.receivers.get_mut(&message.receiver) {
            receiver.total.in_flight += 1;
            receiver.count(now, |counts| counts.accepted += 1);
        }
    }

    fn record_call(&mut self, call: u64, endpoint: &str, message_id: &str) {
        if let Some(&receiver) = self.endpoint_receivers.get(endpoint) {
            self.calls.insert(call, TrackedCall { message_id: message_id.to_owned(), receiver });
        }
    }

    fn record_call_response(&mut self, call: u64, status: u16, retry_after_ms: u64, now: u64) {
        let Some(call) = self.calls.remove(&call) else { return };
        if status == 200 {
            self.record_final_outcome(&call.message_id, now, |counts| counts.delivered += 1);
        }
        let Some(receiver) = self.receivers.get_mut(&call.receiver) else { return };
        if matches!(status, 429 | 503) {
            receiver.count(now, |counts| counts.rejected_calls += 1);
        }
        if retry_after_ms > 0 {
            receiver.retry_afters.push(TimeSpan { from: now, until: now + retry_after_ms * 1_000 });
        }
    }

    /// Counts the final outcome of a message in flight with `update`.
    fn record_final_outcome(&mut self, message_id: &str, now: u64, update: fn(&mut Counts)) {
        let Some(message) = self.messages.get_mut(message_id).filter(|message| message.in_flight) else {
            return;
        };
        message.in_flight = false;
        if let Some(receiver) = self.receivers.get_mut(&message.receiver) {
            receiver.total.in_flight = receiver.total.in_flight.saturating_sub(1);
            receiver.count(now, update);
        }
    }

    fn record_process(&mut self, sender: &str, state: ProcessState, now: u64) -> Incident {
        let sender = sender.to_owned();
        match state {
            ProcessState::Ready => Incident::Ready { sender },
            ProcessState::Terminating => {
                let signal = self.signals.take(&sender, now / 1_000);
                Incident::Signalled { sender, signal }
            }
            ProcessState::Exited => Incident::Exited { sender },
        }
    }
}

#[cfg(test)]
mod tests;
