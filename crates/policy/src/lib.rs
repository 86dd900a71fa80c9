//! The decisions of a sender: client-side load balancing, admission and retry policy.
//!
//! A [`Policy`] decides when and by which route each message is sent, and gives every message one final
//! outcome. The policy does no I/O, has no clock and starts no thread: the host calls it with the events
//! since the last batch, and executes the actions that it returns. Random draws come from a seeded generator,
//! so the same events give the same actions.
//!
//! ```
//! use rudderspindle_policy::Policy;
//! use rudderspindle_policy::interface::{
//!     Action, AttemptResult, Class, DestinationId, Discovery, Effect, Event, KeyGroup, Kind, LateDecay,
//!     ListChange, Listing, Message, MessageHandle, Outcome, RateHint, RouteEntry, RouteId, Settings,
//!     SettingsError,
//! };
//!
//! # fn main() -> Result<(), SettingsError> {
//! let notice = Class {
//!     value: 1.0,
//!     latency_objective: 4_000.0,
//!     latency_objective_stretch: 0.0,
//!     deadline: 20_000.0,
//!     late_value: 0.3,
//!     effect: Effect::IdempotencyKey { group: KeyGroup::All, window: 20_000.0 },
//!     ordered: false,
//! };
//! let settings = Settings {
//!     zone: 0,
//!     peers_total: 2,
//!     classes: vec![notice],
//!     kinds: vec![Kind { max_batch: 1, limit_per_route: false }],
//!     tenants: vec![],
//!     over_quota_value: 1.0,
//!     late_decay: LateDecay::Linear,
//!     slots: 16,
//!     max_pending: 200,
//!     max_attempts: 6,
//!     max_retry_after: 3_000.0,
//!     retry_after: true,
//!     health_checks: false,
//!     cancelling: true,
//!     streams_per_connection: 1,
//!     idle_close: 10_000.0,
//!     connect_timeout: 1_000.0,
//!     rate_hint: RateHint::Nominal,
//!     discovery: Discovery::Pushed,
//!     cross_zone_price: 0.0,
//!     zone_fees: vec![],
//!     recovery_start_share: 0.2,
//!     recovery_duration: 12_000.0,
//!     overload_multiple: 2.0,
//!     overload_duration: 3_000.0,
//!     ordering_key_pause: 0.0,
//!     tick: 5.0,
//! };
//! let mut policy = Policy::new(settings, 42)?;
//!
//! let route = RouteEntry {
//!     route: RouteId(1),
//!     destination: DestinationId(7),
//!     zone: 0,
//!     kind: 0,
//!     listing: Listing::Ready,
//!     rate: 5.0,
//! };
//! let message = Message {
//!     id: MessageHandle(1),
//!     class: 0,
//!     tenant: 0,
//!     ordering_key: 0,
//!     time_left: 20_000.0,
//!     work_estimate: None,
//!     destination: DestinationId(7),
//! };
//! let batch = [Event::List(ListChange::Full(vec![route])), Event::Message(message)];
//! let mut actions = Vec::new();
//! policy.handle(1_000.0, &batch, &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: MessageHandle(1), route: RouteId(1), .. }));
//!
//! // The host makes the call, and reports its outcome in the next batch.
//! let delivered = AttemptResult {
//!     id: MessageHandle(1),
//!     attempt: 0,
//!     outcome: Outcome::Ok,
//!     retry_after: 0.0,
//!     completed: true,
//! };
//! actions.clear();
//! policy.handle(1_250.0, &[Event::Outcome(delivered)], &mut actions);
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]
#![warn(clippy::disallowed_methods)]
#![warn(missing_docs)]

mod calls;
mod circuit_breaker;
mod context;
mod destination;
mod destinations;
pub mod interface;
mod key_ordering;
mod latency;
mod messages;
mod policy;
mod priority_weight;
mod quota;
mod rng;
pub mod settings;
mod slots;
mod subscription;
mod throttle;
mod wake_timer;
mod window;

pub use policy::Policy;
