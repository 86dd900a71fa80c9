//! What a sender may do now.
//!
//! Invariant: for a ruled tenant nothing is open without a lease, and never more than all rule sets held allow.
use crate::halls::HallMask;
use crate::key::TenantId;
use crate::lease::ROUND_MS;
use crate::state::Placement;

/// Where a tenant's messages may go now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Open {
    /// No rule set names the tenant: everywhere, lease or not.
    Unruled,
    /// To these halls, while [`Placement::lease_until`] is not over.
    Halls(HallMask),
    /// Nowhere.
    Closed(Closed),
}

/// Why nothing is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Closed {
    /// Word of more than half is too old, or has not come since the start.
    NoLease,
    /// No rules are known yet, so it is not known who is ruled.
    NoRules,
    /// The rule sets that are held have no hall in common for this tenant.
    NoHallLeft,
    /// The tenant's halls do not have this sender's (only from [`Placement::may_take_on`]).
    Outside,
}

/// Why a message is refused at the door, and when to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Refused {
    /// Why.
    pub why: Closed,
    /// When it may be otherwise here, ms from now: the next word, or where only other rules would help, a lease.
    pub again_in_ms: u64,
}

impl Placement {
    /// The halls to which this tenant's messages may be sent at `now`.
    pub fn open_halls(&self, now: u64, tenant: TenantId) -> Open {
        if self.knows_nothing() {
            return Open::Closed(Closed::NoRules);
        }
        match self.allowed(tenant) {
            None => Open::Unruled,
            Some(HallMask(0)) => Open::Closed(Closed::NoHallLeft),
            Some(_) if !self.leased(now) => Open::Closed(Closed::NoLease),
            Some(mask) => Open::Halls(mask),
        }
    }

    /// Whether a message of this tenant may be taken on here at `now`; asked before a byte of its body is on disk.
    pub fn may_take_on(&self, now: u64, tenant: TenantId) -> Result<(), Refused> {
        let why = match self.open_halls(now, tenant) {
            Open::Unruled => return Ok(()),
            Open::Halls(mask) if mask.contains(self.settings().own_hall) => return Ok(()),
            Open::Halls(_) => Closed::Outside,
            Open::Closed(why) => why,
        };
        let again_in_ms = match why {
            Closed::NoLease | Closed::NoRules => ROUND_MS,
            Closed::NoHallLeft | Closed::Outside => self.settings().lease_ms,
        };
        Err(Refused { why, again_in_ms })
    }
}
