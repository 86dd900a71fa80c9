//! The list in the module's terms.

use super::*;

impl Engine {
    /// The list in the module's terms; outgoing calls follow it at once.
    pub(super) fn list(&mut self, list: &List) -> Vec<RouteEntry> {
        let now = Instant::now();
        let entries: Vec<RouteEntry> = list.members.iter().map(|member| self.member(member, now)).collect();
        if list.complete {
            let listed: HashSet<RouteId> = entries.iter().map(|e| e.route).collect();
            self.outbound.retain_routes(&listed);
            let missing = self.routes.values_mut().filter(|known| !listed.contains(&known.route));
            missing.for_each(|known| known.gone_at = known.gone_at.or(Some(now)));
        }
        // Receivers are replaced all day by new ones under new ids.
        self.routes.retain(|_, known| known.gone_at.is_none_or(|at| now - at < KEEP_GONE));
        self.destinations = self.routes.values().filter_map(|known| known.destination).collect();
        entries
    }

    pub(super) fn member(&mut self, member: &Member, now: Instant) -> RouteEntry {
        let kind = self.names.kinds.iter().position(|name| *name == member.flavor);
        // The last kind serves for those without a name.
        let kind = kind.unwrap_or(self.settings.kinds.len().saturating_sub(1));
        let listing = match member.phase.as_str() {
            "SERVING" => Listing::Ready,
            "DELETED" => Listing::Gone,
            _ => Listing::Draining,
        };
        let entry = RouteEntry {
            route: self.route(&member.id, now),
            destination: DestinationId(member.cell),
            zone: self.zone(&member.locality),
            kind: kind as u16,
            listing,
            rate: member.size,
        };
        if let Some(known) = self.routes.get_mut(member.id.as_str()) {
            let gone = listing == Listing::Gone;
            known.gone_at = gone.then(|| known.gone_at.unwrap_or(now));
            known.destination = if gone { known.destination } else { Some(entry.destination) };
        }
        let route = Route {
            addr: member.host_port.parse().ok(),
            receiver: member.id.as_str().into(),
            zone: member.locality.as_str().into(),
            destination: entry.destination,
            has_own_backoff: self.settings.kinds.get(kind).is_some_and(|kind| kind.routes_apart),
            listing,
        };
        self.outbound.update_route(entry.route, route);
        entry
    }

    /// A receiver's number; one that is on no list yet is taken for gone.
    pub(super) fn route(&mut self, receiver: &str, now: Instant) -> RouteId {
        if let Some(known) = self.routes.get(receiver) {
            return known.route;
        }
        let route = RouteId(self.next_route);
        self.next_route += 1;
        let known = KnownReceiver { route, destination: None, gone_at: Some(now) };
        self.routes.insert(receiver.into(), known);
        route
    }

    /// A zone's number; one that the settings do not name gets a further one, so that it is like no other.
    pub(super) fn zone(&mut self, zone: &str) -> u8 {
        let known = self.zones.iter().position(|name| name == zone);
        let next = self.zones.len();
        if known.is_none() && next < usize::from(u8::MAX) {
            self.zones.push(zone.to_owned());
        }
        known.unwrap_or(next) as u8
    }

    /// The receivers that are on the list, as notes name them.
    pub(super) fn listed(&self) -> Vec<(DestinationId, RouteId, Receiver)> {
        let listed = self.routes.iter().filter(|(_, known)| known.gone_at.is_none());
        let named = listed.filter_map(|(name, known)| {
            let to = known.destination?;
            Some((to, known.route, Receiver::of(to.0, name)))
        });
        let mut listed: Vec<_> = named.collect();
        // The map's order is chance's.
        listed.sort_unstable();
        listed
    }
}
