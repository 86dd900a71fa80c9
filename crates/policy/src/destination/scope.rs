//! The scopes of throttles and circuit breakers: one route, or all routes of a destination.

use super::Destination;
use crate::circuit_breaker::CircuitBreaker;
use crate::interface::{LimitScope, RouteId};
use crate::throttle::Throttle;

/// What a throttle or a circuit breaker covers: one route, or all routes of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// One route, by its index in [`Destination::routes`].
    Route(usize),
    /// All routes of the destination.
    All,
}

impl Destination {
    /// The throttle that counts the calls by a route.
    pub(super) fn throttle(&self, route_index: usize) -> &Throttle {
        if self.limit_per_route { &self.routes[route_index].throttle } else { &self.shared_throttle }
    }

    /// [`Destination::throttle`], mutably.
    pub(super) fn throttle_mut(&mut self, route_index: usize) -> &mut Throttle {
        if self.limit_per_route { &mut self.routes[route_index].throttle } else { &mut self.shared_throttle }
    }

    /// The throttle that counts the calls of a scope.
    pub(super) fn throttle_of(&self, scope: Scope) -> &Throttle {
        match scope {
            Scope::Route(route_index) => self.throttle(route_index),
            Scope::All => &self.shared_throttle,
        }
    }

    /// [`Destination::throttle_of`], mutably.
    pub(super) fn throttle_of_mut(&mut self, scope: Scope) -> &mut Throttle {
        match scope {
            Scope::Route(route_index) => self.throttle_mut(route_index),
            Scope::All => &mut self.shared_throttle,
        }
    }

    /// The circuit breaker of a scope.
    pub(super) fn breaker(&self, scope: Scope) -> &CircuitBreaker {
        match scope {
            Scope::Route(route_index) => &self.routes[route_index].breaker,
            Scope::All => &self.shared_breaker,
        }
    }

    /// [`Destination::breaker`], mutably.
    pub(super) fn breaker_mut(&mut self, scope: Scope) -> &mut CircuitBreaker {
        match scope {
            Scope::Route(route_index) => &mut self.routes[route_index].breaker,
            Scope::All => &mut self.shared_breaker,
        }
    }

    /// The scopes whose circuit breakers cover a route, the widest first.
    pub(super) fn breaker_scopes(&self, route_index: usize) -> impl Iterator<Item = Scope> + use<> {
        self.shared_scope().into_iter().chain([Scope::Route(route_index)])
    }

    /// The scopes that have a circuit breaker, the widest first.
    pub(super) fn all_breaker_scopes(&self) -> impl Iterator<Item = Scope> + use<> {
        self.shared_scope().into_iter().chain((0..self.routes.len()).map(Scope::Route))
    }

    /// The scopes that have a throttle of their own.
    pub(super) fn throttle_scopes(&self) -> impl Iterator<Item = Scope> + use<> {
        let route_scopes = if self.limit_per_route { self.routes.len() } else { 0 };
        self.shared_scope().into_iter().chain((0..route_scopes).map(Scope::Route))
    }

    /// The scope of all routes, if they share a limit.
    fn shared_scope(&self) -> Option<Scope> {
        (!self.limit_per_route).then_some(Scope::All)
    }

    /// The scope of the throttle that counts the calls of a [`LimitScope`] with this route; `None` if the
    /// route is unknown. Where routes share a throttle, `route` is ignored.
    pub(super) fn resolve_scope(&self, route: Option<RouteId>) -> Option<Scope> {
        if !self.limit_per_route {
            return Some(Scope::All);
        }
        self.route_index(route?).map(Scope::Route)
    }

    /// Converts a scope with a throttle of its own to the scope that the host uses.
    pub(super) fn to_limit_scope(&self, scope: Scope) -> LimitScope {
        let route = match scope {
            Scope::Route(route_index) => Some(self.routes[route_index].id),
            Scope::All => None,
        };
        LimitScope { destination: self.id, route }
    }

    /// The indices of the routes to which new calls are allowed by the list.
    pub(super) fn ready_routes(&self) -> impl Iterator<Item = usize> {
        (0..self.routes.len()).filter(|&route_index| self.routes[route_index].is_ready())
    }
}
