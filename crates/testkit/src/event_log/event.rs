//! The events of a log.

use serde::{Deserialize, Serialize};

use super::{Class, Endpoint, Rules};

/// State of a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// The process has answered that it is ready.
    Ready,
    /// The process was asked to stop with SIGTERM.
    #[serde(rename = "term")]
    Terminating,
    /// The process has exited, for any reason.
    #[serde(rename = "ended")]
    Exited,
}

/// An event of a log. Names of senders and ids of endpoints and messages are those on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "snake_case")]
pub enum Event {
    /// The first line of the log, which describes the test.
    #[serde(rename = "world")]
    Header {
        /// Version of the format.
        v: u32,
        /// The message classes.
        classes: Vec<Class>,
        /// The receivers' endpoints.
        endpoints: Vec<Endpoint>,
        /// The limits that the checker's rules apply.
        rules: Rules,
    },
    /// A client has written the last byte of a submission.
    #[serde(rename = "handed_in")]
    Submitted {
        /// Id of the message, new for each submission.
        #[serde(rename = "txn")]
        message_id: String,
        /// Id of the first submission of the same message by the client.
        #[serde(rename = "first")]
        first_message_id: String,
        /// Name of the sender to which the message was submitted.
        sender: String,
        /// Name of the message's class.
        class: String,
        /// Name of the message's tenant.
        tenant: String,
        /// Number of the message's receiver.
        #[serde(rename = "partner")]
        receiver: u16,
        /// Time from the submission to the deadline of the delivery, in milliseconds.
        #[serde(rename = "left_ms")]
        time_left_ms: u64,
        /// Ordering key of the message, if it has one.
        #[serde(default, skip_serializing_if = "Option::is_none", rename = "order")]
        ordering_key: Option<String>,
    },
    /// A client has read the response to its submission.
    #[serde(rename = "heard")]
    Responded {
        /// Id of the message.
        #[serde(rename = "txn")]
        message_id: String,
        /// Status of the response. 200 and 202: accepted; 429 and 503: rejected; any other: failed.
        status: u16,
    },
    /// A client has disconnected before it received a response.
    #[serde(rename = "unheard")]
    Unanswered {
        /// Id of the message.
        #[serde(rename = "txn")]
        message_id: String,
    },
    /// An endpoint has read the last byte of a call.
    #[serde(rename = "called")]
    CallReceived {
        /// Id of the call, unique in the log.
        call: u64,
        /// Name of the sender that made the call.
        sender: String,
        /// Id of the endpoint.
        endpoint: String,
        /// Id of the message.
        #[serde(rename = "txn")]
        message_id: String,
        /// When the first byte of the call arrived, in microseconds on the log's clock.
        first_us: u64,
    },
    /// A receiver has executed a call, or dropped it as a repeat.
    #[serde(rename = "effect")]
    Executed {
        /// Id of the call.
        call: u64,
        /// Whether the call was dropped as a repeat.
        repeat: bool,
    },
    /// An endpoint begins to write the response to a call.
    #[serde(rename = "answered")]
    CallAnswered {
        /// Id of the call.
        call: u64,
        /// Status of the response.
        status: u16,
        /// Retry-After of the response, in milliseconds; 0 if it has none.
        #[serde(rename = "wait_ms")]
        retry_after_ms: u64,
    },
    /// The connection of a call has ended before its response.
    #[serde(rename = "cut")]
    CallAborted {
        /// Id of the call.
        call: u64,
    },
    /// An endpoint has received a health check.
    #[serde(rename = "probed")]
    HealthChecked {
        /// Name of the sender that made the health check.
        sender: String,
        /// Id of the endpoint.
        endpoint: String,
        /// Whether the response reported a healthy endpoint.
        ok: bool,
    },
    /// An endpoint has reset a connection before the endpoint read a byte.
    #[serde(rename = "turned")]
    ConnectionRefused {
        /// Name of the sender that connected.
        sender: String,
        /// Id of the endpoint.
        endpoint: String,
    },
    /// A change of the endpoint list was written to a sender.
    #[serde(rename = "told")]
    EndpointChanged {
        /// Name of the sender.
        sender: String,
        /// Id of the endpoint.
        endpoint: String,
        /// The new phase: `SERVING`, `DRAINING` or `DELETED`.
        phase: String,
    },
    /// A notification has arrived at the platform.
    #[serde(rename = "noticed")]
    Notified {
        /// Name of the sender that sent the notification.
        sender: String,
        /// Id of the message.
        #[serde(rename = "txn")]
        message_id: String,
        /// Status of the notification: `undeliverable` or `deferred`.
        status: String,
        /// Whether the platform acknowledged the notification.
        #[serde(rename = "taken")]
        acknowledged: bool,
    },
    /// An outage of an endpoint begins or ends. The endpoint warms up after the outage.
    Outage {
        /// Id of the endpoint.
        endpoint: String,
        /// Kind of the outage, as [`Outage::kind`](crate::scenario::Outage::kind) returns it.
        kind: String,
        /// Whether the outage begins.
        on: bool,
    },
    /// A fault of a sender's discovery service begins or ends.
    #[serde(rename = "agent")]
    DiscoveryFault {
        /// Name of the sender.
        sender: String,
        /// Kind of the fault: `silent`, `refuses_notices` or `ignores_notices`.
        kind: String,
        /// Whether the fault begins.
        on: bool,
    },
    /// A fault of the link between a sender and an endpoint begins or ends.
    #[serde(rename = "link")]
    LinkFault {
        /// Name of the sender.
        sender: String,
        /// Id of the endpoint.
        endpoint: String,
        /// Kind of the fault.
        kind: String,
        /// Whether the fault may lose or delay responses and ends of connections without an error.
        #[serde(rename = "hides")]
        hides_responses: bool,
        /// Whether the fault begins.
        on: bool,
    },
    /// The state of a sender's process has changed.
    #[serde(rename = "sender")]
    ProcessChanged {
        /// Name of the sender.
        sender: String,
        /// The new state.
        #[serde(rename = "life")]
        state: ProcessState,
    },
    /// A fake acted late, so that a later violation may be caused by the test and not by the sender.
    #[serde(rename = "late")]
    Lagged {
        /// Name of the fake.
        who: String,
        /// How late the fake acted, in microseconds.
        #[serde(rename = "by_us")]
        lag_us: u64,
    },
}
