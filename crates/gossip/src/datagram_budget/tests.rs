//! Tests the maximum number of datagrams in any second, and the maximum time for which a request waits.

use std::collections::BTreeMap;

use proptest::prelude::{prop_assert, proptest};
use rudderspindle_clock::UnixMillis;

use super::{DatagramBudget, DatagramClass, MAX_DATAGRAMS_PER_S};
use crate::envelope::Kind;

proptest! {
    #[test]
    fn no_second_exceeds_the_budget_and_no_kind_starves(
        classes in proptest::collection::vec((0_u8..4, 0_u64..1_500, 1_u8..3), 4),
        requests in proptest::collection::vec((0_usize..4, 0_u64..20_000), 1..200),
        greedy_kind in 0_usize..4,
    ) {
        let class = |(kind, &(rank, min_interval, cost))| DatagramClass { kind, rank, min_interval, cost };
        let datagram_classes: Vec<DatagramClass> = Kind::ALL.into_iter().zip(&classes).map(class).collect();
        let mut budget = DatagramBudget::new(&datagram_classes);
        let mut sent = Vec::new();
        let mut waiting = BTreeMap::new();
        for millis in (0..30_000).step_by(10) {
            let now = UnixMillis(millis);
            let requested = requests
                .iter()
                .filter(|(_, requested_at)| requested_at / 10 * 10 == millis)
                .map(|(kind, _)| *kind);
            // One kind is requested in every step.
            for index in requested.chain([greedy_kind]) {
                let kind = Kind::ALL[index];
                budget.request(kind, now);
                waiting.entry(kind).or_insert(now.max(budget.schedules[&kind].next_allowed_at));
            }
            while let Some(kind) = budget.due(now) {
                prop_assert!(budget.try_acquire(kind, now));
                sent.push((millis, u64::from(budget.schedules[&kind].class.cost)));
                let waited = now.millis_since(waiting.remove(&kind).expect("the kind was requested"));
                let bound = budget.max_wait(kind).expect("the budget has a class for the kind");
                prop_assert!(waited <= bound + 10, "{kind:?} waited {waited} ms, allowed {bound} ms");
            }
        }
        for (index, (sent_at, _)) in sent.iter().enumerate() {
            // The datagrams that the last one causes may be sent in the next second.
            let within_second = sent[index..].iter().take_while(|(later, _)| later - sent_at < 1_000);
            let cost: u64 = within_second.map(|(_, cost)| cost).sum();
            prop_assert!(cost <= MAX_DATAGRAMS_PER_S + 1, "{cost} datagrams within a second from {sent_at} ms");
        }
        prop_assert!(waiting.len() <= 4);
    }
}
