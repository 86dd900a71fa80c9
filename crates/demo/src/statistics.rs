//! Counts per receiver, from the event log as it is written.

use std::collections::{BTreeMap, HashMap};

use rudderspindle_testkit::event_log::{Event, Line, ProcessState};
use rudderspindle_testkit::scenario::{Scenario, ScheduledEvent};

use crate::incident::Incident;
use crate::process_signals::ProcessSignals;

/// Length of the periods in which receivers' counts are kept, us.
const SECOND: u64 = 1_000_000;

/// Counts of a receiver, in one second or in total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages accepted.
    pub accepted: u32,
    /// Messages delivered.
    pub delivered: u32,
    /// Calls answered with 429 or 503.
    pub rejected_calls: u32,
    /// Accepted messages without a final outcome, at the end of the period.
    pub in_flight: u32,
}

/// A period of time, us since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan {
    /// Its start.
    pub from: u64,
    /// Its end; `u64::MAX` while it lasts.
    pub until: u64,
}

/// The figures of one receiver.
#[derive(Clone, Debug, Default)]
pub struct ReceiverStatistics {
    /// Its name.
    pub name: String,
    /// Counts of each second.
    pub seconds: Vec<Counts>,
    /// Counts since the start.
    pub total: Counts,
    /// Its outages.
    pub outages: Vec<TimeSpan>,
    /// The Retry-Afters that it sent.
    pub retry_afters: Vec<TimeSpan>,
    /// Number of its endpoints in an outage.
    endpoints_down: usize,
    /// Kinds of its scheduled outages after which it warms up.
    warm_up_kinds: Vec<&'static str>,
}

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
            let receiver = ReceiverStatistics {
                name: plan.name.clone(),
                warm_up_kinds: warm_up_kinds(scenario, plan.number),
                ..ReceiverStatistics::default()
            };
            statistics.receivers.insert(plan.number, receiver);
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

impl ReceiverStatistics {
    /// Whether one of its endpoints is in an outage.
    pub fn is_down(&self) -> bool {
        self.endpoints_down > 0
    }

    /// Updates the counts of the second of `now` and the total.
    fn count(&mut self, now: u64, update: impl Fn(&mut Counts)) {
        update(&mut self.total);
        let second = (now / SECOND) as usize;
        while self.seconds.len() <= second {
            let in_flight = self.seconds.last().map_or(0, |counts| counts.in_flight);
            self.seconds.push(Counts { in_flight, ..Counts::default() });
        }
        update(&mut self.seconds[second]);
        self.seconds[second].in_flight = self.total.in_flight;
    }

    /// The receiver is down from the first endpoint's outage to the end of the last one's.
    fn record_outage(&mut self, now: u64, kind: &str, begins: bool) -> Option<Incident> {
        let was_down = self.is_down();
        if begins {
            self.endpoints_down += 1;
        } else {
            self.endpoints_down = self.endpoints_down.saturating_sub(1);
        }
        match (was_down, self.is_down()) {
            (false, true) => {
                self.outages.push(TimeSpan { from: now, until: u64::MAX });
                Some(Incident::Down { receiver: self.name.clone(), kind: kind.to_owned() })
            }
            (true, false) => {
                if let Some(outage) = self.outages.last_mut() {
                    outage.until = now;
                }
                let warming_up = self.warm_up_kinds.contains(&kind);
                Some(Incident::Recovered { receiver: self.name.clone(), warming_up })
            }
            _ => None,
        }
    }
}

fn warm_up_kinds(scenario: &Scenario, number: u16) -> Vec<&'static str> {
    let needs_warm_up = |event: &ScheduledEvent| match event {
        ScheduledEvent::Outage { receiver, outage, .. } => {
            (*receiver == number && outage.needs_warm_up()).then(|| outage.kind())
        }
        _ => None,
    };
    scenario.events.iter().filter_map(needs_warm_up).collect()
}

#[cfg(test)]
mod tests;
