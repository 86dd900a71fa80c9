//! Which gate and whose health stand for a route, or for all that share a limit. No decision.

use super::{Destination, Gate};
use crate::health::Health;
use crate::interface::RouteId;

/// Whose health: a route's own, or that of all routes of a shared gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    Route(usize),
    All,
}

impl Destination {
    pub(super) fn gate(&self, route: usize) -> &Gate {
        if self.apart { &self.routes[route].gate } else { &self.shared }
    }

    pub(super) fn gate_mut(&mut self, route: usize) -> &mut Gate {
        if self.apart { &mut self.routes[route].gate } else { &mut self.shared }
    }

    /// Whose health counts for a route, the widest first.
    pub(super) fn scopes(&self, route: usize) -> impl Iterator<Item = Scope> + use<> {
        (!self.apart).then_some(Scope::All).into_iter().chain([Scope::Route(route)])
    }

    /// All that have a gate of their own.
    pub(super) fn gates(&self) -> impl Iterator<Item = Scope> + use<> {
        let routes = if self.apart { self.routes.len() } else { 0 };
        (!self.apart).then_some(Scope::All).into_iter().chain((0..routes).map(Scope::Route))
    }

    /// The gate of a route, or of all where that is not apart.
    pub(super) fn scope(&self, route: Option<RouteId>) -> Option<Scope> {
        let index = self.routes.iter().position(|r| Some(r.id) == route);
        if self.apart { index.map(Scope::Route) } else { Some(Scope::All) }
    }

    pub(super) fn name(&self, scope: Scope) -> Option<RouteId> {
        if let Scope::Route(index) = scope { Some(self.routes[index].id) } else { None }
    }

    pub(super) fn health(&self, scope: Scope) -> &Health {
        if let Scope::Route(index) = scope { &self.routes[index].gate.health } else { &self.shared.health }
    }

    pub(super) fn health_mut(&mut self, scope: Scope) -> &mut Health {
        let Scope::Route(index) = scope else { return &mut self.shared.health };
        &mut self.routes[index].gate.health
    }

    pub(super) fn gate_of(&self, scope: Scope) -> &Gate {
        if let Scope::Route(index) = scope { self.gate(index) } else { &self.shared }
    }

    pub(super) fn gate_of_mut(&mut self, scope: Scope) -> &mut Gate {
        if let Scope::Route(index) = scope { self.gate_mut(index) } else { &mut self.shared }
    }
}
