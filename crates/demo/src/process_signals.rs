//! Tells with which signal a sender's process is stopped, which the event log does not record.

use std::collections::BTreeMap;
use std::fmt;

use rudderspindle_testkit::scenario::{Scenario, ScheduledEvent};

/// A signal that stops a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// A request to shut down.
    Terminate,
    /// A kill without a shutdown.
    Kill,
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Terminate => "SIGTERM",
            Self::Kill => "SIGKILL",
        })
    }
}

/// A signal that the scenario sends.
#[derive(Clone, Copy, Debug)]
struct ScheduledSignal {
    /// When it is sent, ms since the scenario's start.
    at: u64,
    signal: Signal,
}

/// The scenario's signals that were not seen yet, by sender.
#[derive(Debug, Default)]
pub struct ProcessSignals(BTreeMap<String, Vec<ScheduledSignal>>);

impl ProcessSignals {
    /// The signals of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let mut signals = Self::default();
        for event in &scenario.events {
            let (at, sender, signal) = match event {
                ScheduledEvent::Kill { at_ms, sender, .. } => (at_ms, sender, Signal::Kill),
                ScheduledEvent::Restart { at_ms, sender, .. } => (at_ms, sender, Signal::Terminate),
                _ => continue,
            };
            let scheduled = ScheduledSignal { at: at.get(), signal };
            signals.0.entry(format!("n{sender}")).or_default().push(scheduled);
        }
        for scheduled in signals.0.values_mut() {
            scheduled.sort_by_key(|scheduled| scheduled.at);
        }
        signals
    }

    /// The signal with which a sender's process is stopped at `now`, ms; SIGTERM where the scenario schedules none.
    pub fn take(&mut self, sender: &str, now: u64) -> Signal {
        let Some(scheduled) = self.0.get_mut(sender) else { return Signal::Terminate };
        let due = scheduled.partition_point(|scheduled| scheduled.at <= now);
        scheduled.drain(..due).next_back().map_or(Signal::Terminate, |scheduled| scheduled.signal)
    }
}

#[cfg(test)]
mod tests;
