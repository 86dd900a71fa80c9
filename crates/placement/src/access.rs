//! Decides in which zones a sender may act for a tenant.
//!
//! Invariant: without a valid lease, a sender may act for a ruled tenant in no zone; with a valid lease, only in the
//! zones that all held rule sets allow.

use rudderspindle_clock::UnixMillis;
use thiserror::Error;

use crate::fleet_key::TenantId;
use crate::placement::Placement;
use crate::round::ROUND_MS;
use crate::zones::ZoneSet;

/// The zones to which a sender may send a tenant's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ZoneAccess {
    /// All zones, with or without a lease, because no rule set names the tenant.
    Unrestricted,
    /// These zones, until [`Placement::lease_expires_at`].
    Zones(ZoneSet),
    /// No zone, for this reason.
    Closed(ClosedReason),
}

/// Why a sender may not act for a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ClosedReason {
    /// The lease has expired, or none was acquired since the start.
    #[error("the sender has no valid lease for ruled tenants")]
    NoLease,
    /// No rules are known, so any tenant may be ruled.
    #[error("the sender has not received any rule set yet")]
    NoRules,
    /// The held rule sets have no zone in common for this tenant.
    #[error("the held rule sets have no zone in common for the tenant")]
    NoCommonZone,
    /// The tenant's zones do not include this sender's zone; returned only by [`Placement::check_admission`].
    #[error("the tenant's zones do not include the zone of this sender")]
    OwnZoneExcluded,
}

/// Why a message is rejected, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
#[error("{reason}: retry after {retry_after_ms} ms")]
pub struct AdmissionRejected {
    /// Why the sender may not act for the tenant.
    pub reason: ClosedReason,
    /// Delay before a retry, in milliseconds: one round, or one lease if the rules must change first.
    pub retry_after_ms: u64,
}

impl Placement {
    /// The zones to which this tenant's messages may be sent at `now`.
    pub fn zone_access(&self, now: UnixMillis, tenant: TenantId) -> ZoneAccess {
        if self.has_no_rules() {
            return ZoneAccess::Closed(ClosedReason::NoRules);
        }
        match self.held.allowed_zones(tenant) {
            None => ZoneAccess::Unrestricted,
            Some(ZoneSet::EMPTY) => ZoneAccess::Closed(ClosedReason::NoCommonZone),
            Some(_) if !self.lease.is_valid(now) => ZoneAccess::Closed(ClosedReason::NoLease),
            Some(zones) => ZoneAccess::Zones(zones),
        }
    }

    /// Checks whether this sender may accept a message of this tenant at `now`; must be called before any byte of the
    /// message's body is stored.
    ///
    /// # Errors
    ///
    /// [`AdmissionRejected`] if the sender may not act for the tenant, or the tenant's zones do not include the sender's.
    pub fn check_admission(&self, now: UnixMillis, tenant: TenantId) -> Result<(), AdmissionRejected> {
        let reason = match self.zone_access(now, tenant) {
            ZoneAccess::Unrestricted => return Ok(()),
            ZoneAccess::Zones(zones) if zones.contains(self.settings.own_zone) => return Ok(()),
            ZoneAccess::Zones(_) => ClosedReason::OwnZoneExcluded,
            ZoneAccess::Closed(reason) => reason,
        };
        let retry_after_ms = match reason {
            ClosedReason::NoLease | ClosedReason::NoRules => ROUND_MS,
            ClosedReason::NoCommonZone | ClosedReason::OwnZoneExcluded => self.settings.lease_ms,
        };
        Err(AdmissionRejected { reason, retry_after_ms })
    }
}
