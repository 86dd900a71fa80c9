//! Faults and changes of state that are printed as they happen.

use std::fmt;

use crate::process_signals::Signal;

/// A fault, or a change of the state of a receiver, an endpoint or a sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Incident {
    /// An outage of a receiver began.
    Down {
        /// Name of the receiver.
        receiver: String,
        /// Kind of the outage, as the event log names it.
        kind: String,
    },
    /// An outage of a receiver ended.
    Recovered {
        /// Name of the receiver.
        receiver: String,
        /// Whether its capacity grows from a fraction to the whole.
        warming_up: bool,
    },
    /// A change of the endpoint list was sent to a sender.
    EndpointChanged {
        /// Name of the sender.
        sender: String,
        /// Id of the endpoint.
        endpoint: String,
        /// Its phase on the wire.
        phase: String,
    },
    /// A sender's process was signalled.
    Signalled {
        /// Name of the sender.
        sender: String,
        /// The signal.
        signal: Signal,
    },
    /// A sender's process became ready.
    Ready {
        /// Name of the sender.
        sender: String,
    },
    /// A sender's process exited.
    Exited {
        /// Name of the sender.
        sender: String,
    },
}

impl fmt::Display for Incident {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down { receiver, kind } => write!(f, "{receiver}: down ({})", outage_text(kind)),
            Self::Recovered { receiver, warming_up: true } => write!(f, "{receiver}: recovered, warming up"),
            Self::Recovered { receiver, warming_up: false } => write!(f, "{receiver}: recovered"),
            Self::EndpointChanged { sender, endpoint, phase } => {
                write!(f, "{sender}: endpoint {endpoint} {}", phase_text(phase))
            }
            Self::Signalled { sender, signal } => write!(f, "{sender}: {signal}"),
            Self::Ready { sender } => write!(f, "{sender}: ready"),
            Self::Exited { sender } => write!(f, "{sender}: exited"),
        }
    }
}

fn outage_text(kind: &str) -> &str {
    match kind {
        "refuse" => "connections refused",
        "shut" => "all calls rejected",
        "stall" => "stalls",
        "silent" => "no responses",
        "vanish" => "unreachable",
        other => other,
    }
}

fn phase_text(phase: &str) -> &str {
    match phase {
        "DRAINING" => "draining",
        "DELETED" => "removed",
        _ => "serving",
    }
}

#[cfg(test)]
mod tests;
