//! When the senders' processes were down or could not send notifications, which postpones the outcomes that are due.

use std::collections::HashMap;

use super::messages::Message;
use super::us;
use crate::event_log::{ProcessState, Rules};

/// A time in which something was unavailable, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Downtime {
    from_us: u64,
    until_us: u64,
}

impl Downtime {
    /// The end of the downtime and a grace period, if `due_us` falls into them.
    fn postpones(&self, due_us: u64, grace_us: u64) -> Option<u64> {
        let until = self.until_us + grace_us;
        (self.from_us <= due_us && due_us < until).then_some(until)
    }
}

#[derive(Debug, Default)]
struct Process {
    starts: u64,
    /// When it began to stop or exited, if it is not ready.
    down_since: Option<u64>,
    restarts: Vec<Downtime>,
    /// When the platform stopped acknowledging its notifications.
    notifications_blocked_since: Option<u64>,
    blocked_notifications: Vec<Downtime>,
}

/// The senders' processes by name.
#[derive(Debug, Default)]
pub(super) struct Processes(HashMap<String, Process>);

impl Processes {
    /// How often a sender has become ready.
    pub(super) fn starts(&self, sender: &str) -> u64 {
        self.0.get(sender).map_or(0, |process| process.starts)
    }

    /// Records a change of a process's state.
    pub(super) fn change_state(&mut self, sender: &str, state: ProcessState, time_us: u64) {
        let process = self.0.entry(sender.to_owned()).or_default();
        match state {
            ProcessState::Ready => {
                process.starts += 1;
                if let Some(from_us) = process.down_since.take() {
                    process.restarts.push(Downtime { from_us, until_us: time_us });
                }
            }
            ProcessState::Terminating | ProcessState::Exited => {
                process.down_since = process.down_since.or(Some(time_us));
            }
        }
    }

    /// Records that the platform stops acknowledging a sender's notifications, or acknowledges them again.
    pub(super) fn block_notifications(&mut self, sender: &str, blocked: bool, time_us: u64) {
        let process = self.0.entry(sender.to_owned()).or_default();
        if blocked {
            process.notifications_blocked_since = process.notifications_blocked_since.or(Some(time_us));
        } else if let Some(from_us) = process.notifications_blocked_since.take() {
            process.blocked_notifications.push(Downtime { from_us, until_us: time_us });
        }
    }

    /// When a message must have its final outcome, in microseconds; `None` while its sender cannot give one.
    pub(super) fn outcome_due(&self, message: &Message, rules: &Rules) -> Option<u64> {
        let due = message.deadline_us + us(rules.outcome_ms + rules.slack_ms);
        let Some(process) = self.0.get(&message.sender) else { return Some(due) };
        let began_before = |since: Option<u64>| since.is_some_and(|since| since <= due);
        if began_before(process.down_since) || began_before(process.notifications_blocked_since) {
            return None;
        }
        // An unacknowledged notification is repeated after the fault.
        let due = postpone(&process.blocked_notifications, due, us(rules.notification_ms + rules.slack_ms));
        // An outcome that is due during a restart is due some time after it.
        Some(postpone(&process.restarts, due, us(rules.restart_ms + rules.slack_ms)))
    }
}

fn postpone(downtimes: &[Downtime], due_us: u64, grace_us: u64) -> u64 {
    let postponed = downtimes.iter().filter_map(|downtime| downtime.postpones(due_us, grace_us));
    postponed.fold(due_us, u64::max)
}
