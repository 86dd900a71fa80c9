//! What the log's header describes, indexed for the rules.

use std::collections::{BTreeSet, HashMap};

use crate::event_log::{Class, Endpoint, KeyGroup, Rules};

/// What shares a rate limit, a Retry-After and an outage: an independent endpoint, or a receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LimitScope {
    Endpoint(String),
    Receiver(u16),
}

impl LimitScope {
    fn of(endpoint: &Endpoint) -> Self {
        if endpoint.independent {
            Self::Endpoint(endpoint.id.clone())
        } else {
            Self::Receiver(endpoint.receiver)
        }
    }
}

/// Classes, endpoints and limits of the rules.
#[derive(Debug, Default)]
pub(super) struct Topology {
    pub(super) rules: Rules,
    classes: Vec<Class>,
    endpoints: HashMap<String, Endpoint>,
    members: HashMap<LimitScope, BTreeSet<String>>,
}

impl Topology {
    /// Takes over a header.
    pub(super) fn load(&mut self, classes: &[Class], endpoints: &[Endpoint], rules: &Rules) {
        self.classes = classes.to_vec();
        self.rules = rules.clone();
        for endpoint in endpoints {
            self.members.entry(LimitScope::of(endpoint)).or_default().insert(endpoint.id.clone());
            self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
    }

    /// The index of a class, by its name.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The class with an index that [`Topology::class_index`] gave.
    pub(super) fn class(&self, index: usize) -> &Class {
        &self.classes[index]
    }

    /// The endpoint with an id.
    pub(super) fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// What an endpoint shares its limit with.
    pub(super) fn limit_scope(&self, endpoint: &str) -> Option<LimitScope> {
        self.endpoint(endpoint).map(LimitScope::of)
    }

    /// Number of endpoints that share a limit.
    pub(super) fn member_count(&self, scope: &LimitScope) -> usize {
        self.members.get(scope).map_or(0, BTreeSet::len)
    }

    /// Whether two endpoints share their memory of idempotency keys.
    pub(super) fn share_keys(&self, group: KeyGroup, one: &str, other: &str) -> bool {
        let zone = |id: &str| self.endpoint(id).map(|endpoint| &endpoint.zone);
        match group {
            KeyGroup::All => true,
            KeyGroup::Zone => zone(one) == zone(other),
            KeyGroup::Endpoint => one == other,
        }
    }
}
