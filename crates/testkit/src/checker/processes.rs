//! Records when the senders' processes were down and when the platform did not acknowledge their notifications, because
//! both postpone the time at which outcomes are due.

use std::collections::HashMap;

use super::messages::Message;
use super::ms_to_us;
use crate::event_log::{ProcessState, Rules};

/// A time span in which a process was down or notifications were not acknowledged, in microseconds on the log's clock.
#[derive(Clone, Copy, Debug)]
struct Downtime {
    from_us: u64,
    until_us: u64,
}

impl Downtime {
    /// The end of the grace period after the downtime, if `due_us` is in the downtime or in the grace
    /// period: the outcome is then due at that end.
    fn postponed_due(&self, due_us: u64, grace_us: u64) -> Option<u64> {
        let until = self.until_us + grace_us;
        (self.from_us <= due_us && due_us < until).then_some(until)
    }
}

/// The process of a sender. Times are in microseconds on the log's clock.
#[derive(Debug, Default)]
struct Process {
    /// How often the process has become ready.
    start_count: u64,
    /// When the process began to stop or exited; `None` while it is ready.
    down_since_us: Option<u64>,
    restarts: Vec<Downtime>,
    /// When the platform stopped acknowledging notifications; `None` while it acknowledges them.
    notifications_blocked_since_us: Option<u64>,
    notification_outages: Vec<Downtime>,
}

/// The senders' processes by name.
#[derive(Debug, Default)]
pub(super) struct Processes(HashMap<String, Process>);

impl Processes {
    /// How often a sender's process has become ready.
    pub(super) fn start_count(&self, sender: &str) -> u64 {
        self.0.get(sender).map_or(0, |process| process.start_count)
    }

    /// Records a change of a process's state.
    pub(super) fn change_state(&mut self, sender: &str, state: ProcessState, time_us: u64) {
        let process = self.0.entry(sender.to_owned()).or_default();
        match state {
            ProcessState::Ready => {
                process.start_count += 1;
                if let Some(from_us) = process.down_since_us.take() {
                    process.restarts.push(Downtime { from_us, until_us: time_us });
                }
            }
            ProcessState::Terminating | ProcessState::Exited => {
                process.down_since_us = process.down_since_us.or(Some(time_us));
            }
        }
    }

    /// Records that the platform stops acknowledging a sender's notifications, or acknowledges them again.
    pub(super) fn block_notifications(&mut self, sender: &str, blocked: bool, time_us: u64) {
        let process = self.0.entry(sender.to_owned()).or_default();
        if blocked {
            process.notifications_blocked_since_us = process.notifications_blocked_since_us.or(Some(time_us));
        } else if let Some(from_us) = process.notifications_blocked_since_us.take() {
            process.notification_outages.push(Downtime { from_us, until_us: time_us });
        }
    }

    /// When a message must have its final outcome, in microseconds; `None` while its sender is down or while the
    /// platform does not acknowledge notifications.
    pub(super) fn outcome_due(&self, message: &Message, rules: &Rules) -> Option<u64> {
        let due_us = message.deadline_us + ms_to_us(rules.outcome_grace_ms + rules.slack_ms);
        let Some(process) = self.0.get(&message.sender) else { return Some(due_us) };
        let began_before_due = |since_us: Option<u64>| since_us.is_some_and(|since_us| since_us <= due_us);
        if began_before_due(process.down_since_us) || began_before_due(process.notifications_blocked_since_us)
        {
            return None;
        }
        // An unacknowledged notification is repeated after the platform acknowledges notifications again.
        let due_us = postpone(
            &process.notification_outages,
            due_us,
            ms_to_us(rules.notification_grace_ms + rules.slack_ms),
        );
        // An outcome that is due during a restart is postponed to the end of the grace period after it.
        Some(postpone(&process.restarts, due_us, ms_to_us(rules.restart_grace_ms + rules.slack_ms)))
    }
}

/// The latest time to which a downtime postpones an outcome; `due_us` if none does.
fn postpone(downtimes: &[Downtime], due_us: u64, grace_us: u64) -> u64 {
    let postponed_times_us = downtimes.iter().filter_map(|downtime| downtime.postponed_due(due_us, grace_us));
    postponed_times_us.fold(due_us, u64::max)
}
