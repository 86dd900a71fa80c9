use super::*;

const NOW: u64 = 50_000;

fn register(totals: &[(u16, u32)]) -> Register {
    Register { totals: totals.iter().copied().collect(), ..Register::default() }
}

fn ends(counts: &TenantUsage, epoch: u64) -> (u64, u64, usize) {
    let read = counts.read((epoch + LAG) * EPOCH, 1, 1);
    (read.least, read.most, read.heard)
}

#[test]
fn a_register_is_replaced_and_never_added_and_two_incarnations_are_both_true() {
    let mut counts = TenantUsage::new(0, 3, Incarnation(1), 0, 100);
    for _ in 0..5 {
        assert!(counts.hear(NOW, 1, Incarnation(7), 48, &register(&[(1, 30)])));
    }
    assert_eq!(ends(&counts, 48), (30, 130, 2));
    let second = Register { partial: true, ..register(&[(1, 12)]) };
    assert!(counts.hear(NOW, 1, Incarnation(9), 48, &second));
    // How many the first took on after it last told is not known.
    assert_eq!(ends(&counts, 48), (42, 242, 2));
    assert!(counts.hear(NOW, 1, Incarnation(10), 48, &second));
    assert_eq!(ends(&counts, 48), (24, 224, 2), "the oldest of three is forgotten");
}

#[test]
fn what_is_older_than_it_is_kept_to_come_too_much_or_from_nobody_is_refused() {
    let mut counts = TenantUsage::new(0, 3, Incarnation(1), 0, 100);
    let few = register(&[(1, 1)]);
    assert!(
        !counts.hear(NOW, 1, Incarnation(1), 50 - KEPT, &few)
            && !counts.hear(NOW, 1, Incarnation(1), 51, &few)
    );
    assert!(!counts.hear(NOW, 0, Incarnation(1), 48, &few) && !counts.hear(NOW, 3, Incarnation(1), 48, &few));
    assert!(!counts.hear(NOW, 1, Incarnation(1), 48, &register(&[(1, 60), (2, 41)])));
    assert_eq!(ends(&counts, 48), (0, 200, 1));
    let pane = WindowSlice::of(&[(1, &few), (2, &few)], 3);
    assert!(counts.hear_pane(NOW, 1, 48, &pane) && !counts.hear_pane(NOW, 1, 50 - KEPT, &pane));
    for impossible in [
        WindowSlice::of(&[(3, &few)], 3),
        WindowSlice::of(&[(1, &few)], 30),
        WindowSlice::of(&[(1, &register(&[(1, 101)]))], 3),
    ] {
        assert!(!counts.hear_pane(NOW, 1, 48, &impossible), "{impossible:?}");
    }
    assert_eq!(ends(&counts, 48).0, 2);
}

#[test]
fn of_panes_of_one_epoch_none_is_added_to_another() {
    let mut counts = TenantUsage::new(0, 4, Incarnation(1), 0, 100);
    let (a, b) = (register(&[(1, 10)]), register(&[(1, 20)]));
    assert!(counts.hear_pane(NOW, 1, 48, &WindowSlice::of(&[(1, &a), (2, &b)], 4)));
    assert!(counts.hear_pane(NOW, 2, 48, &WindowSlice::of(&[(1, &a), (2, &b), (3, &a)], 4)));
    // It knows of itself that it took nothing on.
    assert_eq!(ends(&counts, 48), (40, 40, 3));
}

#[test]
fn a_pane_that_lies_is_found_out_by_what_is_known_here_and_the_interval_holds_both() {
    let mut counts = TenantUsage::new(0, 3, Incarnation(1), 0, 100);
    (0..50).for_each(|_| counts.handed_in(48_100, 1));
    let quiet = Register::default();
    assert!(counts.hear_pane(NOW, 1, 48, &WindowSlice::of(&[(0, &quiet), (1, &quiet), (2, &quiet)], 3)));
    assert_eq!(ends(&counts, 48), (50, 250, 3));
}

#[test]
fn of_more_tenants_than_there_is_room_for_the_least_are_bounded_by_the_rest() {
    let mut counts = TenantUsage::new(0, 2, Incarnation(1), 0, 1_000);
    let many = Register { totals: (1..=20).map(|n| (n, u32::from(n))).collect(), ..Register::default() };
    assert!(counts.hear(NOW, 1, Incarnation(1), 48, &many));
    for tenant in 1..=20 {
        let read = counts.read((48 + LAG) * EPOCH, tenant, 1);
        let truth = u64::from(tenant);
        assert!(read.least <= truth && truth <= read.most && read.most <= truth + 4, "{tenant}: {read:?}");
    }
}

#[test]
fn no_more_epochs_are_kept_than_stated_also_when_the_clock_goes_back() {
    let mut counts = TenantUsage::new(0, 3, Incarnation(1), 0, 100);
    for second in (0..600_u64).chain(100..130).chain(3_000..3_030) {
        let now = second * EPOCH + 10;
        counts.handed_in(now, 1);
        counts.hear(now, 1, Incarnation(1), second, &register(&[(1, 1)]));
        counts.hear_pane(now, 2, second, &WindowSlice::of(&[(1, &register(&[(1, 1)]))], 3));
        assert!(counts.registers.len() as u64 <= KEPT && counts.panes.len() as u64 <= KEPT);
    }
}
