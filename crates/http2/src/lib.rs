//! Client for HTTP/2 push gateways that reports for each failed call whether the gateway may have executed it.
//!
//! - [`outcome`]: derives from the end of a stream whether its message was executed. No I/O, no clock.
//! - [`retry_after`]: parses the `Retry-After` header. No I/O, no clock.
//! - [`pool`]: a state machine that assigns calls to the connections of one endpoint and decides when a connection is
//!   opened, probed with a PING or closed. No I/O, no clock.
//! - [`client`]: performs the I/O, on top of the `h2` crate.
//!
//! ```
//! use rudderspindle_http2::outcome::{DeliveryOutcome, StreamOutcome};
//!
//! // After a lost connection a complete request may have been executed; an incomplete one was not.
//! assert_eq!(StreamOutcome::ConnectionLost.delivery(true), DeliveryOutcome::Interrupted);
//! assert_eq!(StreamOutcome::ConnectionLost.delivery(false), DeliveryOutcome::NotExecuted);
//! ```
#![forbid(unsafe_code)]

pub mod client;
pub mod outcome;
pub mod pool;
pub mod retry_after;
