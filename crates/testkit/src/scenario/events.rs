//! Events at set times of a scenario: faults, changes of the endpoint list, and restarts of senders.

use serde::{Deserialize, Serialize};

use super::units::{Ms, Share};

/// Fault of the endpoints of a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outage {
    /// Connections are reset before a byte is read.
    #[serde(alias = "refuse")]
    RefuseConnections,
    /// All calls are rejected, with a Retry-After until the end of the outage.
    #[serde(alias = "shut")]
    RejectAll,
    /// A share of the calls fails without a delay; half of the failing calls are executed.
    Errors {
        /// Share of the calls that fail.
        share: Share,
    },
    /// The endpoint stalls for `stop_ms` of every `every_ms`. It does not need to warm up after the outage.
    Stall {
        /// Length of a stall.
        stop_ms: Ms,
        /// Period of the stalls.
        every_ms: Ms,
    },
    /// Calls are read but never answered.
    #[serde(alias = "silent")]
    Unresponsive,
    /// The same as [`Outage::Unresponsive`], but calls that were executed before the outage are not answered either,
    /// and open connections are reset at the end of the outage.
    #[serde(alias = "vanish")]
    Unreachable,
}

impl Outage {
    /// The kind of the outage, as the event log names it.
    pub fn kind(self) -> &'static str {
        match self {
            Self::RefuseConnections => "refuse",
            Self::RejectAll => "shut",
            Self::Errors { .. } => "errors",
            Self::Stall { .. } => "stall",
            Self::Unresponsive => "silent",
            Self::Unreachable => "vanish",
        }
    }

    /// Whether an endpoint has to warm up after the outage: not after stalls, nor if at least half of the calls succeeded.
    pub fn needs_warm_up(self) -> bool {
        match self {
            Self::Stall { .. } => false,
            Self::Errors { share } => share.get() > 0.5,
            Self::RefuseConnections | Self::RejectAll | Self::Unresponsive | Self::Unreachable => true,
        }
    }
}

/// Fault of a sender's discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryFault {
    /// The service sends nothing, but still acknowledges notifications.
    Silent,
    /// Notifications are answered with 500.
    #[serde(alias = "refuses_notices")]
    RejectsNotifications,
    /// Notifications are not answered.
    #[serde(alias = "ignores_notices")]
    IgnoresNotifications,
}

/// Fault of the links between a sender and a receiver's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum LinkFault {
    /// All bytes are delayed in both directions.
    Delay {
        /// The delay in each direction.
        ms: Ms,
    },
    /// All bytes to the sender are lost without an error.
    #[serde(alias = "lose_back")]
    LoseResponses,
    /// All bytes are lost in both directions without an error.
    BlackHole,
    /// A connection is reset at both ends after a number of bytes to the receiver.
    CutAfter {
        /// Bytes that are forwarded before the reset.
        bytes: u32,
    },
    /// The direction of a connection to the receiver is closed after a number of bytes.
    HalfCloseAfter {
        /// Bytes that are forwarded before the close.
        bytes: u32,
    },
    /// Bytes are forwarded one at a time in both directions.
    Trickle {
        /// Time between a byte and the next.
        pause_ms: Ms,
    },
    /// Open connections are reset once, when the fault begins.
    Reset,
}

/// Phase of an endpoint on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Phase {
    /// The endpoint accepts calls.
    Serving,
    /// The endpoint accepts no new calls.
    Draining,
    /// The endpoint was removed from the list.
    Deleted,
}

impl Phase {
    /// The phase as the endpoint list names it.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
            Self::Deleted => "DELETED",
        }
    }
}

/// An event of a scenario. Times of events are relative to the start of the scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case", deny_unknown_fields)]
pub enum ScheduledEvent {
    /// An outage of a receiver's endpoints.
    Outage {
        /// Start of the fault.
        at_ms: Ms,
        /// Duration of the fault.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Number of the receiver.
        #[serde(alias = "partner")]
        receiver: u16,
        /// Ids of the endpoints in the outage; an empty list stands for all endpoints of the receiver.
        #[serde(default)]
        endpoints: Vec<String>,
        /// Kind of the fault.
        outage: Outage,
    },
    /// A change of the phase of an endpoint on the endpoint list.
    #[serde(rename = "list")]
    PhaseChange {
        /// Time of the event.
        at_ms: Ms,
        /// Id of the endpoint.
        endpoint: String,
        /// The new phase.
        phase: Phase,
    },
    /// A time in which changes of the endpoint list are announced to the senders later than usual.
    #[serde(rename = "stale")]
    ListDelay {
        /// Start of the fault.
        at_ms: Ms,
        /// Duration of the fault.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Delay in addition to [`Scenario::list_delay_ms`](super::Scenario::list_delay_ms).
        #[serde(alias = "late_ms")]
        delay_ms: Ms,
    },
    /// A sender's process is killed and started again.
    Kill {
        /// Time of the event.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Time after the kill at which the process is started again.
        #[serde(alias = "back_ms")]
        restart_after_ms: Ms,
    },
    /// A fault of a sender's discovery service.
    #[serde(rename = "discovery", alias = "agent")]
    DiscoveryFault {
        /// Start of the fault.
        at_ms: Ms,
        /// Duration of the fault.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Kind of the fault.
        #[serde(alias = "trouble")]
        fault: DiscoveryFault,
    },
    /// The discovery service of a sender moves to another address. The sender's configuration is changed, and the sender
    /// receives SIGHUP.
    #[serde(alias = "move")]
    MoveDiscovery {
        /// Time of the event.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
    },
    /// A fault of the links between a sender and a receiver.
    #[serde(rename = "link")]
    LinkFault {
        /// Start of the fault.
        at_ms: Ms,
        /// Duration of the fault.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Number of the receiver.
        #[serde(alias = "partner")]
        receiver: u16,
        /// Kind of the fault.
        #[serde(alias = "trouble")]
        fault: LinkFault,
    },
    /// A sender's process is stopped with SIGTERM and started again after its exit.
    Restart {
        /// Time of the event.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Time after the exit at which the process is started again.
        #[serde(alias = "back_ms")]
        restart_after_ms: Ms,
    },
    /// A second process of a sender takes over, and the first one exits.
    Upgrade {
        /// Time of the event.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
    },
}
