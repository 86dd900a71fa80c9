use std::collections::HashSet;
use std::time::Duration;

use rudderspindle_policy::interface::{DestinationId, Listing, RouteId};
use tokio::time::Instant;

use super::{EndpointTable, REMOVED_RECEIVER_RETENTION};

const DESTINATION: DestinationId = DestinationId(7);

/// Applies an endpoint list entry for a receiver of [`DESTINATION`]; returns the receiver's id in the policy.
fn apply_entry(table: &mut EndpointTable, receiver: &str, listing: Listing, now: Instant) -> RouteId {
    let route = table.find_or_add_route(receiver, now);
    table.update(receiver, DESTINATION, listing, now);
    table.discard_expired(now);
    route
}

#[test]
fn a_removed_receiver_keeps_its_id_during_its_retention() {
    let start = Instant::now();
    let mut table = EndpointTable::new(Vec::new());
    let route = apply_entry(&mut table, "r1", Listing::Ready, start);
    table.mark_removed_except(&HashSet::new(), start);
    assert_eq!((table.listed_receiver_count(), table.has_destination(DESTINATION)), (0, true));
    let just_before = start + REMOVED_RECEIVER_RETENTION - Duration::from_millis(1);
    table.discard_expired(just_before);
    assert_eq!(apply_entry(&mut table, "r1", Listing::Ready, just_before), route);
    table.mark_removed_except(&HashSet::new(), start);
    table.discard_expired(start + REMOVED_RECEIVER_RETENTION);
    assert_eq!((table.find_route("r1"), table.is_empty()), (None, true));
    assert_ne!(apply_entry(&mut table, "r1", Listing::Ready, start), route);
}

#[test]
fn a_repeated_removal_does_not_extend_the_retention() {
    let start = Instant::now();
    let mut table = EndpointTable::new(Vec::new());
    apply_entry(&mut table, "r1", Listing::Removed, start);
    apply_entry(&mut table, "r1", Listing::Removed, start + REMOVED_RECEIVER_RETENTION / 2);
    table.discard_expired(start + REMOVED_RECEIVER_RETENTION);
    assert_eq!(table.find_route("r1"), None);
}

#[test]
fn a_receiver_that_was_never_listed_has_no_destination() {
    let mut table = EndpointTable::new(Vec::new());
    let route = table.find_or_add_route("r1", Instant::now());
    table.discard_expired(Instant::now());
    assert_eq!((table.find_route("r1"), table.destination("r1")), (Some(route), None));
    assert!(table.is_empty() && table.listed_receivers().is_empty());
}

/// The ids 0 to 254 are each given to one zone; all further zones share the id 255.
#[test]
fn zones_not_in_the_settings_get_the_next_free_ids() {
    let mut table = EndpointTable::new(vec!["a".to_owned()]);
    assert_eq!(
        (
            table.find_or_add_zone("a"),
            table.find_or_add_zone("b"),
            table.find_or_add_zone("c"),
            table.find_or_add_zone("b")
        ),
        (0, 1, 2, 1)
    );
    for number in 0..300 {
        table.find_or_add_zone(&format!("zone-{number}"));
    }
    assert_eq!((table.zone_count(), table.find_or_add_zone("one more")), (usize::from(u8::MAX), u8::MAX));
}
