//! The rule sets that a sender holds, and the zones that all of them allow.
//!
//! Invariant: a rule set is dropped only once a higher revision is known to be committed; until then the allowed zones only
//! shrink.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::fleet_key::TenantId;
use crate::rule_set::RuleSet;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};
use crate::zones::ZoneSet;

/// The result of [`HeldRuleSets::insert`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Insertion {
    /// The rule set was added.
    Added {
        /// Whether another rule set of the same revision is held.
        conflicting: bool,
    },
    AlreadyHeld,
    /// Not added, because a higher revision is committed.
    Superseded,
    /// Not added, because [`MAX_RULE_SETS`] are held already.
    TooMany,
}

/// A rule set and whether this sender has acknowledged it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct HeldRuleSet {
    pub rules: RuleSet,
    /// Since when this sender has announced the rule set without acknowledging it; `None` once it is acknowledged.
    pub announced_since: Option<UnixMillis>,
}

impl HeldRuleSet {
    pub fn is_acknowledged(&self) -> bool {
        self.announced_since.is_none()
    }
}

/// All rule sets that a sender holds, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct HeldRuleSets {
    pub by_id: BTreeMap<RuleSetId, HeldRuleSet>,
    /// The highest revision known to be committed; 0 if no revision is.
    pub committed_revision: u64,
}

impl HeldRuleSets {
    /// The highest revision of the held rule sets; 0 if no rule set is held.
    pub fn highest_revision(&self) -> u64 {
        self.by_id.keys().next_back().map_or(0, |id| id.revision)
    }

    /// Adds a rule set that was received at `now`; the restrictions of an added rule set apply immediately.
    pub fn insert(&mut self, id: RuleSetId, rules: RuleSet, now: UnixMillis) -> Insertion {
        if self.by_id.contains_key(&id) {
            return Insertion::AlreadyHeld;
        }
        if id.revision < self.committed_revision {
            return Insertion::Superseded;
        }
        if self.by_id.len() >= MAX_RULE_SETS {
            return Insertion::TooMany;
        }
        let conflicting = self.by_id.keys().any(|held| held.revision == id.revision);
        self.by_id.insert(id, HeldRuleSet { rules, announced_since: Some(now) });
        Insertion::Added { conflicting }
    }

    /// Marks a rule set as committed and drops lower revisions. Returns false if its revision or a higher one is committed
    /// already, or if the rule set is not held.
    pub fn commit(&mut self, id: RuleSetId) -> bool {
        if id.revision <= self.committed_revision || !self.by_id.contains_key(&id) {
            return false;
        }
        self.committed_revision = id.revision;
        self.by_id.retain(|held, _| held.revision >= id.revision);
        true
    }

    /// The zones that all held rule sets with a rule for this tenant allow; `None` if no rule set names it.
    pub fn allowed_zones(&self, tenant: TenantId) -> Option<ZoneSet> {
        self.by_id.values().filter_map(|held| held.rules.zones_of(tenant)).reduce(ZoneSet::intersection)
    }

    /// The tenants of all rule sets; a tenant may occur more than once.
    pub fn tenants(&self) -> impl Iterator<Item = TenantId> {
        self.by_id.values().flat_map(|held| held.rules.zones_by_tenant.keys().copied())
    }

    /// Acknowledges a rule set. Returns false if the rule set was acknowledged already or is not held.
    pub fn acknowledge(&mut self, id: RuleSetId) -> bool {
        self.by_id.get_mut(&id).is_some_and(|held| held.announced_since.take().is_some())
    }

    /// Acknowledges the rule sets that have been announced for `announce_ms` at `now`. Returns whether any was acknowledged.
    pub fn acknowledge_due(&mut self, now: UnixMillis, announce_ms: u64) -> bool {
        let mut acknowledged = false;
        for held in self.by_id.values_mut() {
            if held.announced_since.is_some_and(|since| since.saturating_add(announce_ms) <= now) {
                held.announced_since = None;
                acknowledged = true;
            }
        }
        acknowledged
    }

    /// Bit `i` is set if the rule set with index `i` in [`HeldRuleSets::ids`] is acknowledged.
    pub fn acknowledged_bits(&self) -> u8 {
        let mut bits = 0;
        for (slot, held) in self.by_id.values().enumerate() {
            bits |= u8::from(held.is_acknowledged()) << slot;
        }
        bits
    }

    /// Whether a rule set must be downloaded: it is not held, and no higher revision is known to be committed.
    pub fn is_missing(&self, id: RuleSetId) -> bool {
        id.revision >= self.committed_revision.max(1) && !self.by_id.contains_key(&id)
    }

    /// The ids of all held rule sets in ascending order; unused slots have the default value.
    pub fn ids(&self) -> [RuleSetId; MAX_RULE_SETS] {
        let mut ids = [RuleSetId::default(); MAX_RULE_SETS];
        for (slot, id) in ids.iter_mut().zip(self.by_id.keys()) {
            *slot = *id;
        }
        ids
    }
}
