//! Tests of the delivery rules: for each rule a case that could break it, and random streams of valid
//! events.

#[path = "../common/mod.rs"]
mod common;
mod completion;
mod host;
mod ordering;
mod outages;
mod random_streams;
mod retry_after;
mod route_list;

use rudderspindle_policy::interface::{Effect, KeyGroup};

const IDEMPOTENT: Effect = Effect::Idempotent;

/// An effect with idempotency keys that all routes share.
const KEYED_ALL: Effect = Effect::IdempotencyKey { group: KeyGroup::All, window: 4_000.0 };

/// An effect with idempotency keys that the routes of one zone share.
const KEYED_ZONE: Effect = Effect::IdempotencyKey { group: KeyGroup::Zone, window: 4_000.0 };
