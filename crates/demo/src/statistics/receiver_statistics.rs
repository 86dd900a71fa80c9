//! The counts and outages of one receiver.

use rudderspindle_testkit::scenario::{ReceiverPlan, Scenario, ScheduledEvent};

use crate::incident::Incident;

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

impl ReceiverStatistics {
    /// The figures of a receiver before the scenario's start.
    pub fn new(scenario: &Scenario, plan: &ReceiverPlan) -> Self {
        Self {
            name: plan.name.clone(),
            warm_up_kinds: warm_up_kinds(scenario, plan.number),
            ..Self::default()
        }
    }

    /// Whether one of its endpoints is in an outage.
    pub fn is_down(&self) -> bool {
        self.endpoints_down > 0
    }

    /// Updates the counts of the second of `now` and the total.
    pub(super) fn count(&mut self, now: u64, update: impl Fn(&mut Counts)) {
        update(&mut self.total);
        let second = (now / SECOND) as usize;
        while self.seconds.len() <= second {
            let in_flight = self.seconds.last().map_or(0, |counts| counts.in_flight);
            self.seconds.push(Counts { in_flight, ..Counts::default() });
        }
        update(&mut self.seconds[second]);
        self.seconds[second].in_flight = self.total.in_flight;
    }

    /// Counts the begin or end of an endpoint's outage; the incident if the receiver's state changes with it.
    pub(super) fn record_outage(&mut self, now: u64, kind: &str, begins: bool) -> Option<Incident> {
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

/// Kinds of the outages of a receiver after which it warms up.
fn warm_up_kinds(scenario: &Scenario, number: u16) -> Vec<&'static str> {
    let needs_warm_up = |event: &ScheduledEvent| match event {
        ScheduledEvent::Outage { receiver, outage, .. } => {
            (*receiver == number && outage.needs_warm_up()).then(|| outage.kind())
        }
        _ => None,
    };
    scenario.events.iter().filter_map(needs_warm_up).collect()
}
