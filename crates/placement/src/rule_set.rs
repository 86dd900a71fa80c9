//! A rule set: the zones in which each ruled tenant's data may be stored.
//!
//! Invariant: a `RuleSet` is complete and valid. One invalid name is an error for the whole set, and none of its rules is used.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet_key::{FleetKey, HashDomain, TenantId};
use crate::rule_set_id::{ContentHash, RuleSetId};
use crate::zones::{ZoneList, ZoneListHash, ZoneSet};

/// Maximum number of ruled tenants in a rule set: 256 entries of at most 15 bytes fit into the maximum number of parts.
pub const MAX_TENANTS: usize = 256;

/// The valid rules of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RuleSet {
    pub(crate) revision: u64,
    /// Hash of the zone list to which the bits of `zones_by_tenant` refer.
    pub(crate) zone_list_hash: ZoneListHash,
    pub(crate) zones_by_tenant: BTreeMap<TenantId, ZoneSet>,
}

/// One tenant's rule as the operator wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantRule<'a> {
    /// Name of the tenant in the settings.
    pub tenant: &'a str,
    /// Names of the zones in which the tenant's data may be stored; at least one.
    pub zones: &'a [&'a str],
}

/// Why a rule set is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RuleSetError {
    /// The revision is 0.
    #[error("revision = 0: the first revision is 1, and each change of the rules must have a higher one")]
    RevisionZero,
    /// A rule names a zone that the settings do not have.
    #[error("rule of tenant {tenant:?}: zone {zone:?} is unknown, must be one of {known:?}")]
    UnknownZone {
        /// The tenant of the rule.
        tenant: String,
        /// The unknown name.
        zone: String,
        /// The names of all zones in the settings.
        known: Vec<String>,
    },
    /// A rule names a tenant that the settings do not have.
    #[error("rule of tenant {0:?}: the tenant is unknown, must be a tenant's name in the settings")]
    UnknownTenant(String),
    /// A rule names no zone, so the tenant's data could not be stored anywhere.
    #[error(
        "rule of tenant {0:?}: the list of zones is empty, must name at least one; or leave the tenant out"
    )]
    NoZones(String),
    /// A tenant has more than one rule.
    #[error("tenant {0:?} has two rules: must have one rule with all its zones")]
    DuplicateTenant(String),
    /// Two tenants' names have the same keyed hash; the probability is about 10^-15 for a rule set.
    #[error("tenants {first:?} and {second:?} have the same keyed hash: use another fleet key")]
    HashCollision {
        /// The tenant of the earlier rule.
        first: String,
        /// The tenant of the later rule.
        second: String,
    },
    /// More than [`MAX_TENANTS`] tenants have rules.
    #[error("{0} tenants have rules: at most {MAX_TENANTS} are allowed")]
    TooManyTenants(usize),
}

impl RuleSet {
    /// Validates the rules of one revision as an operator wrote them; `known_tenants` are the tenants' names in the settings.
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
    /// Returns the [`RuleSetError`] of the first invalid rule.
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
        let mut names_by_id: BTreeMap<TenantId, &str> = BTreeMap::new();
        let mut zones_by_tenant = BTreeMap::new();
        for rule in rules {
            if !known_tenants.contains(rule.tenant) {
                return Err(RuleSetError::UnknownTenant(rule.tenant.to_owned()));
            }
            let tenant = key.tenant_id(rule.tenant);
            if let Some(earlier) = names_by_id.insert(tenant, rule.tenant) {
                return Err(repeated_tenant_error(earlier, rule.tenant));
            }
            zones_by_tenant.insert(tenant, rule.zone_set(zones)?);
        }
        Ok(RuleSet { revision, zone_list_hash: zones.hash(key), zones_by_tenant })
    }

    /// The operator's revision, from 1.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The zones in which a tenant's data may be stored, or `None` if the rule set does not name the tenant.
    pub fn zones_of(&self, tenant: TenantId) -> Option<ZoneSet> {
        self.zones_by_tenant.get(&tenant).copied()
    }

    /// The id: the revision, and the keyed hash of the encoded rule set.
    pub(crate) fn id(&self, key: &FleetKey) -> RuleSetId {
        let content_hash = ContentHash(key.hash(HashDomain::RuleSetContent, &self.encode()));
        RuleSetId { revision: self.revision, content_hash }
    }

    /// Encodes the rule set for its transfer in parts; equal rule sets have equal bytes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes the rule set `id`; `None` if the bytes are not that rule set or refer to another zone list.
    pub(crate) fn decode(
        bytes: &[u8],
        id: RuleSetId,
        key: &FleetKey,
        zone_list_hash: ZoneListHash,
    ) -> Option<RuleSet> {
        if key.hash(HashDomain::RuleSetContent, bytes) != id.content_hash.0 {
            return None;
        }
        match postcard::take_from_bytes::<RuleSet>(bytes) {
            Ok((rules, [])) if rules.revision == id.revision && rules.zone_list_hash == zone_list_hash => {
                Some(rules)
            }
            _ => None,
        }
    }
}

impl TenantRule<'_> {
    /// The rule's zones as bits by their index in the settings' list.
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

/// The error of two rules with the same tenant id: they name one tenant, or two tenants whose hashes collide.
fn repeated_tenant_error(earlier: &str, later: &str) -> RuleSetError {
    if earlier == later {
        RuleSetError::DuplicateTenant(later.to_owned())
    } else {
        RuleSetError::HashCollision { first: earlier.to_owned(), second: later.to_owned() }
    }
}
