//! A rule set: the zones in which each ruled tenant's data may be.
//!
//! Invariant: a `RuleSet` is complete and valid; any invalid name is an error, and none of the rules is used.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet_key::{FleetKey, HashDomain, TenantId};
use crate::rule_set_id::{ContentHash, RuleSetId};
use crate::zones::{ZoneList, ZoneListHash, ZoneSet};

/// Maximum number of ruled tenants: 256 entries of at most 15 bytes fit into the maximum number of parts.
pub const MAX_TENANTS: usize = 256;

/// A valid rule set of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RuleSet {
    pub(crate) revision: u64,
    /// The list that the bits of `zones_by_tenant` refer to.
    pub(crate) zone_list: ZoneListHash,
    pub(crate) zones_by_tenant: BTreeMap<TenantId, ZoneSet>,
}

/// One tenant's rule as the operator wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantRule<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Names of the zones in which its data may be.
    pub zones: &'a [&'a str],
}

/// Why a rule set is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RuleSetError {
    /// The revision is 0.
    #[error("revision 0: the first revision is 1, and each change of the rules has a higher one")]
    RevisionZero,
    /// A rule names a zone that the settings do not have.
    #[error("tenant {tenant:?} is ruled to zone {zone:?}, which is unknown: known are {known:?}")]
    UnknownZone {
        /// The tenant of the rule.
        tenant: String,
        /// The unknown name.
        zone: String,
        /// The names of the settings.
        known: Vec<String>,
    },
    /// A rule names a tenant that the settings do not have.
    #[error("tenant {0:?} is ruled but unknown: a tenant is ruled by its name in the settings")]
    UnknownTenant(String),
    /// A rule names no zone, so the tenant's data could not be stored anywhere.
    #[error("tenant {0:?} has an empty list of zones: name one at least, or leave the tenant out")]
    NoZones(String),
    /// A tenant has more than one rule.
    #[error("tenant {0:?} is ruled twice: one rule with all its zones is right")]
    DuplicateTenant(String),
    /// Two tenants' names have the same keyed hash, with a probability of about 10^-15 for a rule set.
    #[error("tenants {first:?} and {second:?} have one keyed hash: another fleet key is needed")]
    HashCollision {
        /// The first name.
        first: String,
        /// The second name.
        second: String,
    },
    /// More than [`MAX_TENANTS`] tenants have rules.
    #[error("{0} tenants are ruled: at most {MAX_TENANTS} are right")]
    TooManyTenants(usize),
}

impl RuleSet {
    /// Validates the rules of one revision as an operator wrote them; `known_tenants` are the names in the settings.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use rudderspindle_placement::{FleetKey, RuleSet, RuleSetError, TenantRule, ZoneList};
    ///
    /// let (zones, key) = (ZoneList::new(&["zone-a", "zone-b"]).unwrap(), FleetKey::new([7; 16]));
    /// let known_tenants = BTreeSet::from(["narmada-sports"]);
    /// let rules = [TenantRule { tenant: "narmada-sports", zones: &["zone-a"] }];
    /// let rule_set = RuleSet::new(7, &rules, &zones, &known_tenants, &key).unwrap();
    /// assert_eq!(rule_set.revision(), 7);
    ///
    /// let rules = [TenantRule { tenant: "narmada-sport", zones: &["zone-a"] }];
    /// let unknown = RuleSet::new(8, &rules, &zones, &known_tenants, &key);
    /// assert_eq!(unknown, Err(RuleSetError::UnknownTenant("narmada-sport".into())));
    /// ```
    ///
    /// # Errors
    ///
    /// [`RuleSetError`] is the first error.
    pub fn new(
        revision: u64,
        rules: &[TenantRule<'_>],
        zones: &ZoneList,
        known_tenants: &BTreeSet<&str>,
        key: &FleetKey,
    ) -> Result<RuleSet, RuleSetError> {
        if revision == 0 {
            return Err(RuleSetError::RevisionZero);
        }
        if rules.len() > MAX_TENANTS {
            return Err(RuleSetError::TooManyTenants(rules.len()));
        }
        let mut names: BTreeMap<TenantId, &str> = BTreeMap::new();
        let mut zones_by_tenant = BTreeMap::new();
        for rule in rules {
            if !known_tenants.contains(rule.tenant) {
                return Err(RuleSetError::UnknownTenant(rule.tenant.to_owned()));
            }
            let tenant = key.tenant_id(rule.tenant);
            if let Some(earlier) = names.insert(tenant, rule.tenant) {
                return Err(repeated_id(earlier, rule.tenant));
            }
            zones_by_tenant.insert(tenant, rule.zone_set(zones)?);
        }
        Ok(RuleSet { revision, zone_list: zones.hash(key), zones_by_tenant })
    }

    /// The revision, from 1.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The zones in which a tenant's data may be, or `None` if the rule set does not name the tenant.
    pub fn zones_of(&self, tenant: TenantId) -> Option<ZoneSet> {
        self.zones_by_tenant.get(&tenant).copied()
    }

    /// The id of this rule set.
    pub(crate) fn id(&self, key: &FleetKey) -> RuleSetId {
        let content_hash = ContentHash(key.hash(HashDomain::RuleSetContent, &self.encode()));
        RuleSetId { revision: self.revision, content_hash }
    }

    /// The encoded rule set, which is transferred in parts; equal for equal rule sets.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes the rule set `id`; `None` if the bytes are not that rule set or refer to another zone list.
    pub(crate) fn decode(
        bytes: &[u8],
        id: RuleSetId,
        key: &FleetKey,
        zone_list: ZoneListHash,
    ) -> Option<RuleSet> {
        if key.hash(HashDomain::RuleSetContent, bytes) != id.content_hash.0 {
            return None;
        }
        match postcard::take_from_bytes::<RuleSet>(bytes) {
            Ok((rules, [])) if rules.revision == id.revision && rules.zone_list == zone_list => Some(rules),
            _ => None,
        }
    }
}

impl TenantRule<'_> {
    /// The named zones as a set over the list of the settings.
    fn zone_set(&self, zones: &ZoneList) -> Result<ZoneSet, RuleSetError> {
        if self.zones.is_empty() {
            return Err(RuleSetError::NoZones(self.tenant.to_owned()));
        }
        let mut set = ZoneSet::EMPTY;
        for &zone in self.zones {
            let Some(index) = zones.index_of(zone) else {
                return Err(RuleSetError::UnknownZone {
                    tenant: self.tenant.to_owned(),
                    zone: zone.to_owned(),
                    known: zones.names().to_vec(),
                });
            };
            set.insert(index);
        }
        Ok(set)
    }
}

/// Why two rules have the same tenant id: they name one tenant, or two whose hashes collide.
fn repeated_id(earlier: &str, later: &str) -> RuleSetError {
    if earlier == later {
        RuleSetError::DuplicateTenant(later.to_owned())
    } else {
        RuleSetError::HashCollision { first: earlier.to_owned(), second: later.to_owned() }
    }
}
