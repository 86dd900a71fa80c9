//! This sender's permits, and its shares of the tenants' quotas.

use rudderspindle_policy::interface::LimitScope;

/// The permits that this sender holds for a limit.
#[derive(Clone, Debug)]
pub struct PermitUpdate {
    /// The limit.
    pub scope: LimitScope,
    /// The permits. Their times are wall clock times, in milliseconds since 1970.
    pub permits: Vec<rudderspindle_gossip::Permit>,
}

/// This sender's share of a tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantQuota {
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The share in messages per second; `None` while no other sender's usage is known.
    pub messages_per_s: Option<f64>,
}
