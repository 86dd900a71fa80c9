//! The types between a host and a [`Policy`](crate::Policy): settings, ids, events and actions. No decision.
//!
//! Types only: every decision is made in the files that `deploy/balancer.toml` names under `policy`. Times
//! are milliseconds; the host's clock may start anywhere, but must not go back.

mod action;
mod checks;
mod event;
mod limit;
mod list;
mod settings;

pub use action::{Action, Demand};
pub use checks::SettingsError;
pub use event::{AttemptResult, Event, Outcome};
pub use limit::{
    CapacityUpdate, LimitScope, OutageState, Permit, PermitUpdate, RememberedOutage, RetryAfterUpdate,
};
pub use list::{AttemptHistory, ListChange, Listing, Message, PriorExecution, RouteEntry};
pub use settings::{Class, Discovery, Effect, KeyGroup, Kind, LateDecay, RateHint, Settings, Tenant};

/// A duration or a point in time, in milliseconds.
pub type Millis = f64;

/// Identifies a message; chosen by the host and never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageHandle(pub u32);

/// Identifies one endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u64);

/// Identifies a receiver's system, which is reached by one or more routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u16);
