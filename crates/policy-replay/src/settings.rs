//! The settings of the instances, as JSON text.

/// Routes of a destination share a limit.
pub const TOGETHER: &str = include_str!("settings/together.json");
/// Routes have limits of their own.
pub const APART: &str = include_str!("settings/apart.json");
/// One sender of a large fleet.
pub const FLEET: &str = include_str!("settings/fleet.json");
/// Few slots and few pending messages.
pub const SCARCE: &str = include_str!("settings/scarce.json");
/// Few slots for a steady load.
pub const NARROW: &str = include_str!("settings/narrow.json");
