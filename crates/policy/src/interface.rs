//! The types that a host and a [`Policy`](crate::Policy) exchange: settings, ids, events and actions.
//!
//! This module makes no decisions. Times are in milliseconds, on a monotonic clock of the host.

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
    CapacityUpdate, LimitScope, OutageState, Permit, PermitUpdate, PersistedOutage, RetryAfterUpdate,
};
pub use list::{AttemptHistory, ListChange, Listing, Message, PriorExecution, RouteEntry};
pub use settings::{Class, Discovery, Effect, KeyGroup, Kind, LateDecay, RateHint, Settings, Tenant};

/// A duration or a point in time, in milliseconds.
pub type Millis = f64;

/// Identifies a message; the host must not use a handle for two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageHandle(pub u32);

/// Identifies a route, which is one endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u64);

/// Identifies a destination, which has one or more routes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u16);
