//! Rule: messages of one ordering key are sent one at a time, in the order of their submission.

use std::collections::HashMap;

use super::messages::{Call, CallState, Message, MessageTable, ReceivedCall};
use super::ms_to_us;
use super::processes::Processes;
use super::rule::{Rule, Violation};
use super::topology::Topology;

/// Identifies a queue: an ordering key between two starts of a sender, because a restart begins a new queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueueKey {
    sender: String,
    /// How often the sender had become ready at the time of the submission.
    start_count: u64,
    ordering_key: String,
}

/// State of the rule: the message ids of each queue, in the order of their submission.
#[derive(Debug, Default)]
pub(super) struct OrderingRule {
    queues: HashMap<QueueKey, Vec<String>>,
}

impl OrderingRule {
    /// Records the submission of a message with an ordering key.
    pub(super) fn record_submission(
        &mut self,
        sender: &str,
        start_count: u64,
        ordering_key: &str,
        message_id: &str,
    ) {
        let key = QueueKey { sender: sender.to_owned(), start_count, ordering_key: ordering_key.to_owned() };
        self.queues.entry(key).or_default().push(message_id.to_owned());
    }

    /// Checks that all earlier messages of the same queue are complete when a call is received.
    pub(super) fn check_call(
        &self,
        topology: &Topology,
        table: &MessageTable,
        processes: &Processes,
        message: &Message,
        call: &ReceivedCall<'_>,
    ) -> Option<Violation> {
        let ordering_key =
            message.ordering_key.clone().filter(|_| topology.class(message.class_index).ordered)?;
        let start_count = processes.start_count(&message.sender);
        let key = QueueKey { sender: message.sender.clone(), start_count, ordering_key };
        let queue = self.queues.get(&key)?;
        let pause_us = ms_to_us(topology.rules.ordering_pause_ms);
        let earlier_ids = queue.iter().take_while(|id| *id != call.message_id);
        let obstacle = earlier_ids
            .filter_map(|id| Some((id, table.message(id)?)))
            .find_map(|(id, earlier)| find_obstacle(table, id, earlier, call, pause_us))?;
        let lines = vec![obstacle.line, call.at.line];
        Some(Violation { rule: Rule::Ordering, what: obstacle.what, lines })
    }
}

/// The reason why an earlier message of the same queue forbids a call.
struct Obstacle {
    /// Text of the violation.
    what: String,
    /// Number of the log line that shows the state of the earlier message.
    line: usize,
}

/// Checks whether an earlier message is in flight, incomplete or possibly still executing.
fn find_obstacle(
    table: &MessageTable,
    earlier_id: &str,
    earlier: &Message,
    call: &ReceivedCall<'_>,
    pause_us: u64,
) -> Option<Obstacle> {
    let id = call.message_id;
    if let Some(in_flight) = table.calls_of(earlier).find(|earlier_call| earlier_call.is_in_flight()) {
        let what = format!("{id} is sent while {earlier_id} is in flight");
        return Some(Obstacle { what, line: in_flight.line });
    }
    // A message whose submission got no response may have been rejected.
    if earlier.outcome.is_none() && earlier.accepted_line.is_some() {
        let what = format!("{id} is sent before {earlier_id} is complete");
        return Some(Obstacle { what, line: earlier.submitted.line });
    }
    let may_still_be_executing = |other: &&Call| matches!(other.state, CallState::Aborted { at_us } if call.first_us < at_us + pause_us);
    let executing = table.calls_of(earlier).find(may_still_be_executing)?;
    let what = format!("{id} is sent while {earlier_id} may still be executing");
    Some(Obstacle { what, line: executing.line })
}
