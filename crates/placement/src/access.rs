//! Decides in which zones a sender may act for a tenant.
//!
//! Invariant: a ruled tenant has access to no zone without a lease, and only to zones that all held rule sets allow.

use rudderspindle_clock::UnixMillis;
use thiserror::Error;

use crate::fleet_key::TenantId;
use crate::placement::Placement;
use crate::round::ROUND_MS;
use crate::zones::ZoneSet;

/// The zones to which a tenant's messages may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ZoneAccess {
    /// No rule set names the tenant: all zones, with or without a lease.
    Unrestricted,
    /// These zones, until [`Placement::lease_expires_at`].
    Zones(ZoneSet),
    /// No zone.
    Closed(ClosedReason),
}

/// Why a sender may not act for a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ClosedReason {
    /// The lease has expired, or was not renewed since the start.
    #[error("there is no valid lease")]
    NoLease,
    /// No rules are known, so any tenant may be ruled.
    #[error("no rules are known yet")]
    NoRules,
    /// The rule sets held have no zone in common for this tenant.
    #[error("the rule sets held have no zone in common")]
    NoCommonZone,
    /// The tenant's zones do not include this sender's; only from [`Placement::check_admission`].
    #[error("the sender's own zone is not among the tenant's")]
    OwnZoneExcluded,
}

/// Why a message is rejected, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
#[error("{reason}: retry after {retry_after_ms} ms")]
pub struct AdmissionRejected {
    /// The reason.
    pub reason: ClosedReason,
    /// Delay before a retry, in milliseconds: a round, or a lease if only other rules would help.
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

    /// Checks whether a message of this tenant may be accepted here at `now`; to be called before any byte of its body is
    /// stored.
    ///
    /// # Errors
    ///
    /// [`AdmissionRejected`] is the reason and when to retry.
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
