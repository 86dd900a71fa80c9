//! What happens at set times of a scenario: faults, changes of the endpoint list, and restarts of senders.

use serde::{Deserialize, Serialize};

use super::units::{Ms, Share};

/// Fault of a receiver's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outage {
    /// Connections are reset before a byte is read.
    #[serde(alias = "refuse")]
    RefuseConnections,
    /// All calls are rejected, with a Retry-After until the end of the outage.
    #[serde(alias = "shut")]
    RejectAll,
    /// A share of the calls fails at once; half of those are executed.
    Errors {
        /// The share.
        share: Share,
    },
    /// The endpoint stalls for `stop_ms` of every `every_ms`. It needs no warm-up afterwards.
    Stall {
        /// Length of a stall.
        stop_ms: Ms,
        /// Period of the stalls.
        every_ms: Ms,
    },
    /// Calls are read and never answered.
    #[serde(alias = "silent")]
    Unresponsive,
    /// As [`Outage::Unresponsive`], also for calls that were executed before; open connections are reset at the end.
    #[serde(alias = "vanish")]
    Unreachable,
}

impl Outage {
    /// Its kind as the event log names it.
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

    /// Whether an endpoint has to warm up after it; not after stalls or if half of the calls or more passed.
    pub fn needs_warm_up(self) -> bool {
        match self {
            Self::Stall { .. } => false,
            Self::Errors { share } => share.get() > 0.5,
            Self::RefuseConnections | Self::RejectAll | Self::Unresponsive | Self::Unreachable => true,
        }
    }
}

/// Fault of the discovery service beside a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryFault {
    /// Discovery sends nothing; notifications are still accepted.
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
    /// Everything is delayed, each way.
    Delay {
        /// The delay.
        ms: Ms,
    },
    /// Everything towards the sender is lost without an error.
    #[serde(alias = "lose_back")]
    LoseResponses,
    /// Everything is lost both ways without an error.
    BlackHole,
    /// Both ends are reset after a number of bytes towards the receiver.
    CutAfter {
        /// The number of bytes.
        bytes: u32,
    },
    /// The direction towards the receiver ends after a number of bytes.
    HalfCloseAfter {
        /// The number of bytes.
        bytes: u32,
    },
    /// One byte at a time, each way.
    Trickle {
        /// The pause after each byte.
        pause_ms: Ms,
    },
    /// Open connections are reset once, when the fault begins.
    Reset,
}

/// Phase of an endpoint on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Phase {
    /// It accepts calls.
    Serving,
    /// It accepts no new calls.
    Draining,
    /// It has left the list.
    Deleted,
}

impl Phase {
    /// The phase as it is on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
            Self::Deleted => "DELETED",
        }
    }
}

/// An event at a set time after the start of the scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case", deny_unknown_fields)]
pub enum ScheduledEvent {
    /// An outage of a receiver's endpoints.
    Outage {
        /// Begin.
        at_ms: Ms,
        /// Duration.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Number of the receiver.
        #[serde(alias = "partner")]
        receiver: u16,
        /// Ids of the endpoints; all if there are none.
        #[serde(default)]
        endpoints: Vec<String>,
        /// The fault.
        outage: Outage,
    },
    /// An endpoint's phase on the list changes.
    List {
        /// Time.
        at_ms: Ms,
        /// Id of the endpoint.
        endpoint: String,
        /// Its new phase.
        phase: Phase,
    },
    /// Changes of the list reach senders later than usual.
    Stale {
        /// Begin.
        at_ms: Ms,
        /// Duration.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Additional delay.
        #[serde(alias = "late_ms")]
        delay_ms: Ms,
    },
    /// A sender is killed and started again.
    Kill {
        /// Time.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Time after which it is started again.
        #[serde(alias = "back_ms")]
        restart_after_ms: Ms,
    },
    /// A fault of the discovery service beside a sender.
    #[serde(alias = "agent")]
    Discovery {
        /// Begin.
        at_ms: Ms,
        /// Duration.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// The fault.
        #[serde(alias = "trouble")]
        fault: DiscoveryFault,
    },
    /// The discovery service beside a sender moves to another address, and the sender gets SIGHUP.
    #[serde(alias = "move")]
    MoveDiscovery {
        /// Time.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
    },
    /// A fault of the links between a sender and a receiver.
    Link {
        /// Begin.
        at_ms: Ms,
        /// Duration.
        #[serde(alias = "for_ms")]
        duration_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Number of the receiver.
        #[serde(alias = "partner")]
        receiver: u16,
        /// The fault.
        #[serde(alias = "trouble")]
        fault: LinkFault,
    },
    /// A sender is stopped, and started again when it has exited.
    Restart {
        /// Time.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
        /// Time after its exit at which it is started again.
        #[serde(alias = "back_ms")]
        restart_after_ms: Ms,
    },
    /// A second process of a sender takes over, and the first one exits.
    Upgrade {
        /// Time.
        at_ms: Ms,
        /// Index of the sender.
        sender: usize,
    },
}
