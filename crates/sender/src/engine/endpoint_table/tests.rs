use std::collections::HashSet;
use std::time::Duration;

use rudderspindle_policy::interface::{DestinationId, Listing, RouteId};
use tokio::time::Instant;

use super::{EndpointTable, REMOVED_RECEIVER_RETENTION};

const DESTINATION: DestinationId = DestinationId(7);

/// Lists a receiver of [`DESTINATION`]; returns its id.
fn list(table: &mut EndpointTable, receiver: &str, listing: Listing, now: Instant) -> RouteId {
    let route = table.route(receiver, now);
    table.update(receiver, DESTINATION, listing, now);
    table.forget_removed(now);
    route
}

#[test]
fn a_removed_receiver_keeps_its_id_until_its_retention_is_over() {
    let start = Instant::now();
    let mut table = EndpointTable::new(Vec::new());
    let route = list(&mut table, "r1", Listing::Ready, start);
    table.remove_all_but(&HashSet::new(), start);
    assert_eq!((table.listed_count(), table.serves(DESTINATION)), (0, true));
    let just_before = start + REMOVED_RECEIVER_RETENTION - Duration::from_millis(1);
    table.forget_removed(just_before);
    assert_eq!(list(&mut table, "r1", Listing::Ready, just_before), route);
    table.remove_all_but(&HashSet::new(), start);
    table.forget_removed(start + REMOVED_RECEIVER_RETENTION);
    assert_eq!((table.find("r1"), table.is_empty()), (None, true));
    assert_ne!(list(&mut table, "r1", Listing::Ready, start), route);
}

#[test]
fn a_repeated_removal_does_not_prolong_the_retention() {
    let start = Instant::now();
    let mut table = EndpointTable::new(Vec::new());
    list(&mut table, "r1", Listing::Removed, start);
    list(&mut table, "r1", Listing::Removed, start + REMOVED_RECEIVER_RETENTION / 2);
    table.forget_removed(start + REMOVED_RECEIVER_RETENTION);
    assert_eq!(table.find("r1"), None);
}

#[test]
fn a_receiver_that_was_never_listed_has_an_id_and_serves_no_destination() {
    let mut table = EndpointTable::new(Vec::new());
    let route = table.route("r1", Instant::now());
    table.forget_removed(Instant::now());
    assert_eq!((table.find("r1"), table.destination("r1")), (Some(route), None));
    assert!(table.is_empty() && table.listed().is_empty());
}

#[test]
fn zones_that_the_settings_do_not_name_get_further_ids_until_there_are_no_more() {
    let mut table = EndpointTable::new(vec!["a".to_owned()]);
    assert_eq!((table.zone("a"), table.zone("b"), table.zone("c"), table.zone("b")), (0, 1, 2, 1));
    for number in 0..300 {
        table.zone(&format!("zone-{number}"));
    }
    assert_eq!((table.zone_count(), table.zone("one more")), (usize::from(u8::MAX), u8::MAX));
}
