//! What the demo shows, counted from the evidence as it is written.

use std::collections::{BTreeMap, HashMap};

use rudderspindle_testkit::event_log::{Event, Line, ProcessState};
use rudderspindle_testkit::scenario::Scenario;

/// A partner's figures in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Messages taken on.
    pub offered: u32,
    /// Delivered.
    pub delivered: u32,
    /// Calls refused.
    pub refused: u32,
    /// Taken on and not ended, at the second's end.
    pub held: u32,
}

/// A time in which something was so, microseconds.
pub type Span = (u64, u64);

/// A partner through the evening.
#[derive(Clone, Debug, Default)]
pub struct FakeReceiver {
    /// Its name.
    pub name: String,
    /// Second by second.
    pub seconds: Vec<Second>,
    /// Taken on, delivered, refused calls, and held now.
    pub total: Second,
    /// When it was in an outage; the last one may be open.
    pub outages: Vec<Span>,
    /// When a sender was told to wait.
    pub waits: Vec<Span>,
    struck: usize,
}

impl FakeReceiver {
    /// Whether it is in an outage now.
    pub fn is_out(&self) -> bool {
        self.struck > 0
    }
}

/// All partners.
#[derive(Debug, Default)]
pub struct Tally {
    /// By number.
    pub partners: BTreeMap<u16, FakeReceiver>,
    of_endpoint: HashMap<String, u16>,
    of_message: HashMap<String, (u16, bool)>,
    of_call: HashMap<u64, (String, u16)>,
}

impl Tally {
    /// Nothing has happened yet.
    pub fn new(script: &Scenario) -> Self {
        let mut tally = Self::default();
        for plan in &script.receivers {
            let partner = FakeReceiver { name: plan.name.clone(), ..FakeReceiver::default() };
            tally.partners.insert(plan.number, partner);
            for endpoint in &plan.endpoints {
                tally.of_endpoint.insert(endpoint.id.clone(), plan.number);
            }
        }
        tally
    }

    /// Counts a line in; what of it is worth a line on the screen.
    pub fn take(&mut self, line: &Line) -> Option<String> {
        let t = line.t;
        match &line.event {
            Event::Submitted { message_id, receiver: partner, .. } => {
                self.of_message.insert(message_id.clone(), (*partner, false));
            }
            Event::Responded { message_id, status: 200 | 202 } => {
                let (partner, held) = self.of_message.get_mut(message_id)?;
                *held = true;
                let partner = *partner;
                self.count(partner, t, |s| s.offered += 1, 1);
            }
            Event::CallReceived { call, endpoint, message_id, .. } => {
                let partner = *self.of_endpoint.get(endpoint)?;
                self.of_call.insert(*call, (message_id.clone(), partner));
            }
            Event::CallAnswered { call, status, retry_after_ms: wait_ms } => {
                let (message_id, partner) = self.of_call.remove(call)?;
                if *status == 200 {
                    let held = self.of_message.get_mut(&message_id).is_some_and(|m| std::mem::take(&mut m.1));
                    if held {
                        self.count(partner, t, |s| s.delivered += 1, -1);
                    }
                } else if matches!(status, 429 | 503) {
                    self.count(partner, t, |s| s.refused += 1, 0);
                }
                if *wait_ms > 0 {
                    self.partners.get_mut(&partner)?.waits.push((t, t + wait_ms * 1_000));
                }
            }
            Event::Notified { message_id, acknowledged: true, .. } => {
                let (partner, held) = self.of_message.get_mut(message_id)?;
                let (partner, was) = (*partner, std::mem::take(held));
                if was {
                    self.count(partner, t, |_| (), -1);
                }
            }
            Event::Outage { endpoint, kind, on } => return self.outage(t, endpoint, kind, *on),
            Event::EndpointChanged { sender, endpoint, phase } => {
                let word = match phase.as_str() {
                    "DRAINING" => "drains",
                    "DELETED" => "is gone",
                    _ => "serves",
                };
                return Some(format!("{sender} is told that {endpoint} {word}"));
            }
            Event::ProcessChanged { sender, state } => {
                return Some(match state {
                    ProcessState::Ready => format!("{sender} is ready"),
                    ProcessState::Terminating => format!("{sender} is told to end, or killed"),
                    ProcessState::Exited => format!("{sender} has ended"),
                });
            }
            _ => {}
        }
        None
    }

    fn outage(&mut self, t: u64, endpoint: &str, kind: &str, on: bool) -> Option<String> {
        let partner = self.partners.get_mut(self.of_endpoint.get(endpoint)?)?;
        if on {
            partner.struck += 1;
            if partner.struck > 1 {
                return None;
            }
            partner.outages.push((t, u64::MAX));
            return Some(format!("{} is down ({kind})", partner.name));
        }
        partner.struck = partner.struck.saturating_sub(1);
        if partner.struck > 0 {
            return None;
        }
        if let Some(last) = partner.outages.last_mut() {
            last.1 = t;
        }
        Some(format!("{} is back, cold", partner.name))
    }

    fn count(&mut self, partner: u16, t: u64, what: impl Fn(&mut Second), held: i32) {
        let Some(partner) = self.partners.get_mut(&partner) else { return };
        what(&mut partner.total);
        partner.total.held = partner.total.held.saturating_add_signed(held);
        let second = (t / 1_000_000) as usize;
        let now = partner.total.held;
        while partner.seconds.len() <= second {
            let held = partner.seconds.last().map_or(0, |s| s.held);
            partner.seconds.push(Second { held, ..Second::default() });
        }
        what(&mut partner.seconds[second]);
        partner.seconds[second].held = now;
    }
}

#[cfg(test)]
mod tests;
