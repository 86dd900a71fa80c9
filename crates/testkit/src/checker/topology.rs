//! The classes, endpoints and limits of the log's header, indexed for the rules of the checker.

use std::collections::{BTreeSet, HashMap};

use crate::event_log::{Class, Endpoint, KeyGroup, Rules};

/// The endpoints that share a rate limit, and with it each Retry-After and the recovery from outages: one independent
/// endpoint, or all other endpoints of a receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum LimitScope {
    /// Id of the independent endpoint.
    Endpoint(String),
    /// Number of the receiver.
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

/// The content of the header; empty until [`Topology::load`].
#[derive(Debug, Default)]
pub(super) struct Topology {
    pub(super) rules: Rules,
    classes: Vec<Class>,
    endpoints: HashMap<String, Endpoint>,
    /// Ids of the endpoints in each scope.
    endpoint_ids: HashMap<LimitScope, BTreeSet<String>>,
}

impl Topology {
    /// Loads the content of a header.
    pub(super) fn load(&mut self, classes: &[Class], endpoints: &[Endpoint], rules: &Rules) {
        self.classes = classes.to_vec();
        self.rules = rules.clone();
        for endpoint in endpoints {
            self.endpoint_ids.entry(LimitScope::of(endpoint)).or_default().insert(endpoint.id.clone());
            self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
    }

    /// The index of the class with this name; `None` if the header has no such class.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The class with an index that [`Topology::class_index`] returned.
    pub(super) fn class(&self, index: usize) -> &Class {
        &self.classes[index]
    }

    pub(super) fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// The scope of an endpoint's rate limit; `None` if the endpoint is unknown.
    pub(super) fn limit_scope(&self, endpoint: &str) -> Option<LimitScope> {
        self.endpoint(endpoint).map(LimitScope::of)
    }

    /// Number of endpoints that share a rate limit.
    pub(super) fn endpoint_count(&self, scope: &LimitScope) -> usize {
        self.endpoint_ids.get(scope).map_or(0, BTreeSet::len)
    }

    /// Whether two endpoints, given by their ids, share their memory of idempotency keys.
    pub(super) fn share_keys(&self, key_group: KeyGroup, one: &str, other: &str) -> bool {
        let zone = |id: &str| self.endpoint(id).map(|endpoint| &endpoint.zone);
        match key_group {
            KeyGroup::All => true,
            KeyGroup::Zone => zone(one) == zone(other),
            KeyGroup::Endpoint => one == other,
        }
    }
}
