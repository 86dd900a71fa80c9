//! Settings of policy instances, as JSON text.

/// All routes of a destination share one limit.
pub const TOGETHER: &str = include_str!("settings/together.json");
/// Each route has its own limit.
pub const APART: &str = include_str!("settings/apart.json");
/// The instance is one sender of a fleet of 300.
pub const FLEET: &str = include_str!("settings/fleet.json");
/// Few slots, and few messages may be pending at a time.
pub const SCARCE: &str = include_str!("settings/scarce.json");
/// Few slots, for sessions with a steady load.
pub const NARROW: &str = include_str!("settings/narrow.json");
