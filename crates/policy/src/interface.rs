//! What a host tells a [`Policy`](crate::Policy) and what it gets back: settings, ids, events and actions. No decision.
//!
//! Types only. Every choice is made in the files that `deploy/balancer.toml` names under `policy`. Times are milliseconds; the clock may start anywhere.

mod action;
mod checks;
mod event;
mod list;
mod settings;

pub use action::{Action, Demand};
pub use checks::SettingsError;
pub use event::{Event, OutageState, Outcome, Permit};
pub use list::{AttemptHistory, ListChange, Listing, Message, PriorExecution, RouteEntry};
pub use settings::{Class, Discovery, Effect, KeyGroup, Kind, LateDecay, RateHint, Settings, Tenant};

/// A span or a point of time in milliseconds.
pub type Millis = f64;

/// A message, named by the host; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageHandle(pub u32);

/// One endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u64);

/// A partner's system, reached by one or more routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u16);
