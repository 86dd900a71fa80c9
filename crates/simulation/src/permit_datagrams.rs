//! Runs the permit protocol of one sender in steps of a tick.

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{LocalDemand, OutgoingDatagram, PermitLedger};

/// The result of one step.
pub(crate) struct PermitDatagrams {
    /// Datagrams to send.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Whether the sender's usable permits may have changed.
    pub permits_changed: bool,
}

/// Allocates and offers permits if that is due, `tick` ms after the last call.
pub(crate) fn due_permit_datagrams(
    permits: &mut PermitLedger,
    wall: UnixMillis,
    tick: u64,
    demands: impl FnOnce() -> Vec<LocalDemand>,
) -> PermitDatagrams {
    let allocates = permits.next_allocation().is_some_and(|at| at <= wall);
    let offers = permits.next_offer(wall - tick) <= wall;
    let mut datagrams = Vec::new();
    if allocates {
        datagrams.extend(permits.allocate(wall));
    }
    if offers {
        datagrams.extend(permits.offer(wall, &demands()));
    }
    PermitDatagrams { datagrams, permits_changed: allocates || offers }
}
