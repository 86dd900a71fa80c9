//! A rule set: in which halls each ruled tenant's data may be.
//!
//! Invariant: a `Rules` is whole and checked; whatever is wrong with the names is an error, and nothing of it is used.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::halls::{HallMask, Halls};
use crate::held::Tag;
use crate::key::{Key, TenantId, Use};

/// Most ruled tenants: 256 entries of at most 15 bytes fit the parts that a rule set may have.
pub const MOST_TENANTS: usize = 256;

/// A checked rule set of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    pub(crate) revision: u64,
    /// The hash of the list of halls in which the bits count.
    pub(crate) halls: u64,
    pub(crate) tenants: BTreeMap<TenantId, HallMask>,
}

/// What is wrong with a rule set as it was written.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RulesError {
    /// Revisions count from 1.
    #[error("revision 0: the first revision is 1, and each change of the rules has a higher one")]
    RevisionZero,
    /// A hall that the settings do not have.
    #[error("tenant {tenant:?} is ruled to hall {hall:?}, which is unknown: known are {known:?}")]
    UnknownHall {
        /// Whose rule.
        tenant: String,
        /// What it says.
        hall: String,
        /// What it could say.
        known: Vec<String>,
    },
    /// A tenant that the settings do not have.
    #[error("tenant {0:?} is ruled but unknown: a tenant is ruled by its name in the settings")]
    UnknownTenant(String),
    /// A tenant with no hall could be nowhere.
    #[error("tenant {0:?} has an empty list of halls: name one at least, or leave the tenant out")]
    NoHalls(String),
    /// Each only once.
    #[error("tenant {0:?} is ruled twice: one rule with all its halls is right")]
    TenantTwice(String),
    /// Two names with one keyed hash: about once in 10^15 sets.
    #[error("tenants {0:?} and {1:?} have one keyed hash: another fleet key is needed")]
    OneHash(String, String),
    /// More than [`MOST_TENANTS`].
    #[error("{0} tenants are ruled: at most {MOST_TENANTS} are right")]
    TooMany(usize),
}

impl Rules {
    /// Checks rules as an operator wrote them: `rules` has a tenant's name and its halls' names for each, `tenants` the
    /// names that the settings know.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use rudderspindle_placement::{Halls, Key, Rules, RulesError};
    ///
    /// let (halls, key) = (Halls::new(&["hall-a", "hall-b"]).unwrap(), Key::new([7; 16]));
    /// let tenants = BTreeSet::from(["narmada-sports"]);
    /// let rules = Rules::check(7, &[("narmada-sports", &["hall-a"])], &halls, &tenants, &key).unwrap();
    /// assert_eq!(rules.revision(), 7);
    /// let unknown = Rules::check(8, &[("narmada-sport", &["hall-a"])], &halls, &tenants, &key);
    /// assert_eq!(unknown, Err(RulesError::UnknownTenant("narmada-sport".into())));
    /// ```
    pub fn check(
        revision: u64,
        rules: &[(&str, &[&str])],
        halls: &Halls,
        tenants: &BTreeSet<&str>,
        key: &Key,
    ) -> Result<Rules, RulesError> {
        if revision == 0 {
            return Err(RulesError::RevisionZero);
        }
        if rules.len() > MOST_TENANTS {
            return Err(RulesError::TooMany(rules.len()));
        }
        let mut named: BTreeMap<TenantId, &str> = BTreeMap::new();
        let mut masks = BTreeMap::new();
        for &(tenant, open) in rules {
            if !tenants.contains(tenant) {
                return Err(RulesError::UnknownTenant(tenant.to_owned()));
            }
            let id = key.tenant(tenant);
            match named.insert(id, tenant) {
                Some(before) if before == tenant => return Err(RulesError::TenantTwice(tenant.to_owned())),
                Some(before) => return Err(RulesError::OneHash(before.to_owned(), tenant.to_owned())),
                None => {}
            }
            if open.is_empty() {
                return Err(RulesError::NoHalls(tenant.to_owned()));
            }
            let mut mask = 0;
            for &hall in open {
                let Some(number) = halls.number(hall) else {
                    let known = halls.names().to_vec();
                    return Err(RulesError::UnknownHall { tenant: tenant.into(), hall: hall.into(), known });
                };
                mask |= 1 << number;
            }
            masks.insert(id, HallMask(mask));
        }
        Ok(Rules { revision, halls: halls.hash(key), tenants: masks })
    }

    /// Its revision, from 1.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The halls of a tenant; none for one that it does not rule.
    pub fn halls_of(&self, tenant: TenantId) -> Option<HallMask> {
        self.tenants.get(&tenant).copied()
    }

    /// What tells this set from any other.
    pub(crate) fn tag(&self, key: &Key) -> Tag {
        Tag { revision: self.revision, hash: key.hash(Use::Content, &self.encode()) }
    }

    /// As it goes in parts of notes: the same bytes for the same rules.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}
