//! Messages and calls, reconstructed from the log.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// A line of the log and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogPosition {
    /// Number of the line, from 1.
    pub(super) line: usize,
    /// Microseconds on the log's clock.
    pub(super) time_us: u64,
}

/// Final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalOutcome {
    Delivered,
    Rejected,
    Failed,
}

impl fmt::Display for FinalOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Delivered => "delivered",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
        })
    }
}

/// The first final outcome of a message.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordedOutcome {
    pub(super) outcome: FinalOutcome,
    pub(super) at: LogPosition,
}

/// A submitted message.
#[derive(Debug)]
pub(super) struct Message {
    /// Index of the message's class in the header.
    pub(super) class_index: usize,
    pub(super) sender: String,
    pub(super) submitted: LogPosition,
    /// Deadline of the delivery, in microseconds on the log's clock.
    pub(super) deadline_us: u64,
    pub(super) ordering_key: Option<String>,
    /// Number of the line in which the client received the acceptance; `None` if the client received none.
    pub(super) accepted_line: Option<usize>,
    pub(super) outcome: Option<RecordedOutcome>,
    /// Ids of the message's calls, in the order of the log.
    pub(super) call_ids: Vec<u64>,
    /// Number of executions; repeats that the receiver dropped do not count.
    pub(super) executions: u32,
}

/// State of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    InFlight,
    /// Answered with this status.
    Answered(u16),
    /// The connection ended before a response.
    Aborted {
        at_us: u64,
    },
}

/// A call that an endpoint received.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) message_id: String,
    pub(super) sender: String,
    pub(super) endpoint: String,
    /// When the first byte of the call arrived, in microseconds.
    pub(super) first_us: u64,
    /// Number of the line in which the call was received.
    pub(super) line: usize,
    pub(super) state: CallState,
    /// Whether the link loses responses, so that the endpoint may not notice that the sender cancelled the call.
    pub(super) unobservable: bool,
}

impl Call {
    /// Whether the sender has the call in flight, as far as the log can show.
    pub(super) fn is_in_flight(&self) -> bool {
        self.state == CallState::InFlight && !self.unobservable
    }

    /// Whether the sender has to assume that the call was executed: any call that is not answered with 429, 503, 504 or
    /// 410.
    pub(super) fn possibly_executed(&self) -> bool {
        !matches!(self.state, CallState::Answered(429 | 503 | 504 | 410))
    }
}

/// A call that an endpoint has just received; it is checked before it is added to the table.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedCall<'a> {
    pub(super) at: LogPosition,
    pub(super) id: u64,
    pub(super) sender: &'a str,
    pub(super) endpoint: &'a str,
    pub(super) message_id: &'a str,
    /// When the first byte of the call arrived, in microseconds.
    pub(super) first_us: u64,
}

/// All messages and calls of a log so far.
#[derive(Debug, Default)]
pub(super) struct MessageTable {
    messages: BTreeMap<String, Message>,
    calls: HashMap<u64, Call>,
}

impl MessageTable {
    /// Adds a message, unless a message with the same id was submitted before.
    pub(super) fn add_message(&mut self, id: &str, message: Message) {
        self.messages.entry(id.to_owned()).or_insert(message);
    }

    pub(super) fn message(&self, id: &str) -> Option<&Message> {
        self.messages.get(id)
    }

    pub(super) fn message_mut(&mut self, id: &str) -> Option<&mut Message> {
        self.messages.get_mut(id)
    }

    /// All messages with their ids, in the order of the ids.
    pub(super) fn messages(&self) -> impl Iterator<Item = (&String, &Message)> {
        self.messages.iter()
    }

    /// Adds a call, and its id to the message if the message was submitted.
    pub(super) fn add_call(&mut self, received: &ReceivedCall<'_>, unobservable: bool) {
        let call = Call {
            message_id: received.message_id.to_owned(),
            sender: received.sender.to_owned(),
            endpoint: received.endpoint.to_owned(),
            first_us: received.first_us,
            line: received.at.line,
            state: CallState::InFlight,
            unobservable,
        };
        self.calls.insert(received.id, call);
        if let Some(message) = self.messages.get_mut(received.message_id) {
            message.call_ids.push(received.id);
        }
    }

    pub(super) fn call(&self, id: u64) -> Option<&Call> {
        self.calls.get(&id)
    }

    /// The calls of a message, in the order of the log.
    pub(super) fn calls_of<'a>(&'a self, message: &'a Message) -> impl Iterator<Item = &'a Call> {
        message.call_ids.iter().map(|id| &self.calls[id])
    }

    /// Sets the final state of a call in flight and returns the call; `None` if the call was not in flight.
    pub(super) fn finish_call(&mut self, id: u64, state: CallState) -> Option<&Call> {
        let call = self.calls.get_mut(&id).filter(|call| call.state == CallState::InFlight)?;
        call.state = state;
        Some(call)
    }

    /// Marks the calls in flight between a sender and an endpoint as unobservable.
    pub(super) fn mark_calls_unobservable(&mut self, sender: &str, endpoint: &str) {
        for call in self.calls.values_mut() {
            if call.state == CallState::InFlight && call.sender == sender && call.endpoint == endpoint {
                call.unobservable = true;
            }
        }
    }

    /// Counts an execution of the message that a call carried.
    pub(super) fn count_execution(&mut self, call_id: u64) {
        let Some(call) = self.calls.get(&call_id) else { return };
        if let Some(message) = self.messages.get_mut(&call.message_id) {
            message.executions += 1;
        }
    }
}
