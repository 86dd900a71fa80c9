//! A sender on real sockets: what stands between the decisions and the network.
//!
//! The [`Service`] takes messages from clients over HTTP/1.1, writes them to its journal before it answers 202,
//! lets the decision module say what is done with them, calls receivers, and owes each message its end. What
//! happens reaches the engine as events (`event.rs`); ways in and out, membership and notices know those and
//! not the engine. This crate decides nothing about messages: that is `rudderspindle-policy`'s.
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

/// Where a test may stop the program; nothing without the feature `failpoints`.
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
