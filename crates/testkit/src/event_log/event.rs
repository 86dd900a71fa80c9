//! The events of a log.

use serde::{Deserialize, Serialize};

use super::{Class, Endpoint, Rules};

/// State of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// It has answered that it is ready.
    Ready,
    /// It was asked to stop.
    #[serde(rename = "term")]
    Terminating,
    /// The process has exited, for whatever reason.
    #[serde(rename = "ended")]
    Exited,
}

/// An event. Names of senders, endpoints and messages are those on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Event {
    /// The first line: what the test consists of.
    #[serde(rename = "world")]
    Header {
        /// Version of the format.
        v: u32,
        /// The message classes.
        classes: Vec<Class>,
        /// The receivers' endpoints.
        endpoints: Vec<Endpoint>,
        /// The limits of the rules.
        rules: Rules,
    },
    /// A client has written the last byte of a submission.
    #[serde(rename = "handed_in")]
    Submitted {
        /// Id of the message, new for each submission.
        #[serde(rename = "txn")]
        message_id: String,
        /// Id of its first submission.
        #[serde(rename = "first")]
        first_message_id: String,
        /// The sender it was submitted to.
        sender: String,
        /// Name of its class.
        class: String,
        /// Its tenant.
        tenant: String,
        /// Number of its receiver.
        #[serde(rename = "partner")]
        receiver: u16,
        /// Time left to deliver it, in milliseconds.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
        /// Its ordering key.
        #[serde(default, skip_serializing_if = "Option::is_none", rename = "order")]
        ordering_key: Option<String>,
    },
    /// A client has read the response to its submission.
    #[serde(rename = "heard")]
    Responded {
        /// The message.
        #[serde(rename = "txn")]
        message_id: String,
        /// 200 or 202: accepted; 429 or 503: rejected; else failed.
        status: u16,
    },
    /// A client has disconnected without a response.
    #[serde(rename = "unheard")]
    Unanswered {
        /// The message.
        #[serde(rename = "txn")]
        message_id: String,
    },
    /// An endpoint has read the last byte of a call.
    #[serde(rename = "called")]
    CallReceived {
        /// Id of the call.
        call: u64,
        /// The sender that made it.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// The message.
        #[serde(rename = "txn")]
        message_id: String,
        /// When its first byte arrived, in microseconds on the log's clock.
        first_us: u64,
    },
    /// A call was executed, or dropped as a repeat.
    #[serde(rename = "effect")]
    Executed {
        /// The call.
        call: u64,
        /// Whether it was dropped as a repeat.
        repeat: bool,
    },
    /// An endpoint writes the response to a call.
    #[serde(rename = "answered")]
    CallAnswered {
        /// The call.
        call: u64,
        /// Status of the response.
        status: u16,
        /// Its Retry-After in milliseconds; 0 for none.
        #[serde(rename = "wait_ms")]
        retry_after_ms: u64,
    },
    /// The connection of a call has ended before its response.
    #[serde(rename = "cut")]
    CallAborted {
        /// The call.
        call: u64,
    },
    /// An endpoint has received a health check.
    #[serde(rename = "probed")]
    HealthChecked {
        /// The sender that made it.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// Whether the response was good.
        ok: bool,
    },
    /// An endpoint has reset a connection before it read a byte.
    #[serde(rename = "turned")]
    ConnectionRefused {
        /// The sender that connected.
        sender: String,
        /// The endpoint.
        endpoint: String,
    },
    /// A change of the endpoint list was written to a sender.
    #[serde(rename = "told")]
    EndpointChanged {
        /// The sender.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// `SERVING`, `DRAINING` or `DELETED`.
        phase: String,
    },
    /// A notification has arrived at the platform.
    #[serde(rename = "noticed")]
    Notified {
        /// The sender of the notification.
        sender: String,
        /// The message.
        #[serde(rename = "txn")]
        message_id: String,
        /// `undeliverable` or `deferred`.
        status: String,
        /// Whether the platform acknowledged it.
        #[serde(rename = "taken")]
        acknowledged: bool,
    },
    /// An outage of an endpoint begins or ends. After its end the endpoint warms up.
    Outage {
        /// The endpoint.
        endpoint: String,
        /// Kind of the outage.
        kind: String,
        /// Whether it begins.
        on: bool,
    },
    /// A fault of the discovery service beside a sender begins or ends.
    #[serde(rename = "agent")]
    DiscoveryFault {
        /// The sender.
        sender: String,
        /// `silent`, `refuses_notices` or `ignores_notices`.
        kind: String,
        /// Whether it begins.
        on: bool,
    },
    /// A fault of the link between a sender and an endpoint begins or ends.
    #[serde(rename = "link")]
    LinkFault {
        /// The sender.
        sender: String,
        /// The endpoint.
        endpoint: String,
        /// Kind of the fault.
        kind: String,
        /// Whether it may lose or delay responses and ends of connections without an error.
        #[serde(rename = "hides")]
        hides_responses: bool,
        /// Whether it begins.
        on: bool,
    },
    /// The state of a sender's process has changed.
    #[serde(rename = "sender")]
    ProcessChanged {
        /// The sender.
        sender: String,
        /// Its new state.
        #[serde(rename = "life")]
        state: ProcessState,
    },
    /// A fake acted later than it was due, so that a violation may not be the sender's.
    #[serde(rename = "late")]
    Lagged {
        /// Which fake.
        who: String,
        /// The delay in microseconds.
        #[serde(rename = "by_us")]
        lag_us: u64,
    },
}
