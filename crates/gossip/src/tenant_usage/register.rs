//! One sender's register: the messages that it accepted in an epoch, by tenant.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Maximum number of tenants in a register or a slice, those with the most messages; a remainder bounds the others.
pub const MAX_LISTED_TENANTS: usize = 16;

/// Identifies a register by its sender and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterKey {
    /// The sender's number.
    pub sender: usize,
    /// The incarnation that accepted the messages.
    pub incarnation: Incarnation,
}

/// The messages of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant's index in the settings.
    pub tenant: u16,
    /// Number of messages.
    pub messages: u32,
}

/// The messages that one incarnation of a sender accepted in an epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    /// Messages by tenant (index in the settings).
    pub totals: BTreeMap<u16, u32>,
    /// Upper bound on the messages of each tenant that is not listed.
    pub rest: u32,
    /// Whether another process may have accepted messages in the epoch under the same number.
    pub partial: bool,
}

impl Register {
    /// Merges another version of the same register by the maximum of each total.
    pub(crate) fn join(&mut self, other: &Self) {
        for (tenant, messages) in &other.totals {
            let total = self.totals.entry(*tenant).or_default();
            *total = (*total).max(*messages);
        }
        self.rest = self.rest.max(other.rest);
        self.partial |= other.partial;
        self.truncate();
    }

    /// The register with at most [`MAX_LISTED_TENANTS`] tenants.
    pub(crate) fn truncated(mut self) -> Self {
        self.truncate();
        self
    }

    fn truncate(&mut self) {
        while self.totals.len() > MAX_LISTED_TENANTS
            && let Some((messages, tenant)) =
                self.totals.iter().map(|(tenant, messages)| (*messages, *tenant)).min()
        {
            self.totals.remove(&tenant);
            self.rest = self.rest.max(messages);
        }
    }

    /// Whether a sender that accepts at most `max` messages in an epoch can have accepted these.
    pub(super) fn is_plausible(&self, max: u64) -> bool {
        let listed =
            self.totals.values().fold(0_u64, |sum, messages| sum.saturating_add(u64::from(*messages)));
        listed <= max && u64::from(self.rest) <= max
    }
}
