//! A register counts the messages that one incarnation of a sender accepted in an epoch, by tenant.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::membership::Incarnation;

/// Maximum number of tenants that a register or a slice lists: those with the most messages. For each other tenant the same
/// upper bound applies.
pub const MAX_LISTED_TENANTS: usize = 16;

/// Identifies a register within an epoch by its sender and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegisterKey {
    /// The number of the sender that accepted the messages.
    pub sender: usize,
    /// The incarnation of the process that accepted the messages.
    pub incarnation: Incarnation,
}

/// The number of accepted messages of one tenant in an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant's index in the settings.
    pub tenant: u16,
    /// Number of accepted messages.
    pub messages: u32,
}

/// The messages that one incarnation of a sender accepted in an epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Register {
    /// Number of accepted messages of each listed tenant, by the tenant's index in the settings.
    pub totals: BTreeMap<u16, u32>,
    /// Upper bound on the number of messages of each tenant that is not listed.
    pub max_unlisted: u32,
    /// Whether another process may have accepted messages in the epoch under the same sender number, so that the totals may
    /// be too low.
    pub partial: bool,
}

impl Register {
    /// Merges another version of the same register by the maximum of each total.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (tenant, messages) in &other.totals {
            let total = self.totals.entry(*tenant).or_default();
            *total = (*total).max(*messages);
        }
        self.max_unlisted = self.max_unlisted.max(other.max_unlisted);
        self.partial |= other.partial;
        self.truncate();
    }

    /// The register reduced to the [`MAX_LISTED_TENANTS`] tenants with the most messages.
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
            self.max_unlisted = self.max_unlisted.max(messages);
        }
    }

    /// Whether a sender that accepts at most `max_messages` messages in an epoch can have accepted those of this register.
    pub(super) fn is_plausible(&self, max_messages: u64) -> bool {
        let listed_messages =
            self.totals.values().fold(0_u64, |sum, messages| sum.saturating_add(u64::from(*messages)));
        listed_messages <= max_messages && u64::from(self.max_unlisted) <= max_messages
    }
}
