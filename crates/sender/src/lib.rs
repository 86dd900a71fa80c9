//! A sender on real sockets: the I/O around the decisions of `rudderspindle-policy`.
//!
//! The [`Service`] accepts messages from clients over HTTP/1.1, writes them to its journal before it responds with
//! 202, delivers them to receivers as the policy decides, and notifies the platform of messages that it could not
//! deliver. The policy alone decides about messages; this crate executes the decisions.
//!
//! The module `engine` passes events to the policy and executes its decisions. The tasks around the engine do the I/O,
//! send their events as an `Input` (module `event`), and do not depend on the engine.
//!
//! ```no_run
//! use rudderspindle_sender::{Service, ValidatedConfig};
//!
//! # async fn example() -> Result<(), rudderspindle_sender::StartError> {
//! // Within a tokio LocalSet:
//! let config = ValidatedConfig::read("config.json".as_ref())?;
//! let service = Service::start(config, "state".as_ref(), None).await?;
//! println!("listening on {}", service.local_addr());
//! let control = service.control();
//! tokio::task::spawn_local(async move {
//!     tokio::time::sleep(std::time::Duration::from_secs(60)).await;
//!     control.stop().await;
//! });
//! service.run().await;
//! # Ok(())
//! # }
//! ```

/// Marks a named point at which a test can stop the program; expands to nothing without the feature `failpoints`.
macro_rules! failpoint {
    ($($point:tt)*) => {
        #[cfg(feature = "failpoints")]
        crate::failpoint::reach(&format!($($point)*));
    };
}

mod accept;
mod activity;
mod admission_state;
mod config;
mod connection_slots;
mod control;
mod discovery;
mod engine;
mod event;
#[cfg(feature = "failpoints")]
mod failpoint;
mod fleet_file;
mod gossip;
mod graceful_close;
mod handover;
mod inbound;
mod incarnation;
mod metrics;
mod notifications;
mod outbound;
mod platform;
mod poll_schedule;
mod service;
mod write_progress;

pub use config::{StartError, ValidatedConfig};
pub use fleet_file::{FleetFile, FleetFileError, LimitBound, SharingConfig};
pub use poll_schedule::PollSchedule;
pub use service::{Control, Service};
