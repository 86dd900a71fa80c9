use rudderspindle_clock::UnixMillis;

use super::TenantUsage;
use super::epochs::{READ_LAG, RETAINED_EPOCHS, epoch_start};
use super::local_sender::LocalSender;
use super::register::{Register, RegisterKey};
use super::window_slice::{SenderRegister, WindowSlice};
use crate::membership::Incarnation;

const NOW: UnixMillis = UnixMillis(50_000);

fn usage(senders: usize, max_messages_per_second: u32) -> TenantUsage {
    let incarnation = Incarnation(1);
    let local =
        LocalSender { number: 0, incarnation, complete_from: UnixMillis::EPOCH, max_messages_per_second };
    TenantUsage::new(local, senders)
}

fn key(sender: usize, incarnation: u64) -> RegisterKey {
    RegisterKey { sender, incarnation: Incarnation(incarnation) }
}

fn register(totals: &[(u16, u32)]) -> Register {
    Register { totals: totals.iter().copied().collect(), ..Register::default() }
}

/// The sum of registers, each given with its sender number, in a fleet of `senders` senders.
fn slice_of(registers: &[(usize, &Register)], senders: usize) -> WindowSlice {
    let with_sender = |&(sender, register)| SenderRegister { sender, register };
    WindowSlice::sum(&registers.iter().map(with_sender).collect::<Vec<_>>(), senders)
}

/// The lower and upper bound for tenant 1 in an epoch, and the number of senders whose usage is known.
fn read(usage: &TenantUsage, epoch: u64) -> (u64, u64, usize) {
    let interval = usage.read(epoch_start(epoch + READ_LAG), 1, 1);
    (interval.min, interval.max, interval.senders)
}

#[test]
fn registers_of_one_key_are_merged_and_of_two_incarnations_added() {
    let mut usage = usage(3, 100);
    for _ in 0..5 {
        assert!(usage.merge_register(NOW, key(1, 7), 48, &register(&[(1, 30)])));
    }
    assert_eq!(read(&usage, 48), (30, 130, 2));
    let second = Register { partial: true, ..register(&[(1, 12)]) };
    assert!(usage.merge_register(NOW, key(1, 9), 48, &second));
    // The messages that the first incarnation accepted after its last report are unknown.
    assert_eq!(read(&usage, 48), (42, 242, 2));
    assert!(usage.merge_register(NOW, key(1, 10), 48, &second));
    assert_eq!(read(&usage, 48), (24, 224, 2), "the register of the oldest of three incarnations is removed");
}

/// Registers and slices are rejected if the epoch is too old or in the future, if the sender is unknown or this one, or if
/// there are too many messages.
#[test]
fn impossible_registers_and_slices_are_rejected() {
    let mut usage = usage(3, 100);
    let small = register(&[(1, 1)]);
    assert!(
        !usage.merge_register(NOW, key(1, 1), 50 - RETAINED_EPOCHS, &small)
            && !usage.merge_register(NOW, key(1, 1), 51, &small)
    );
    assert!(
        !usage.merge_register(NOW, key(0, 1), 48, &small)
            && !usage.merge_register(NOW, key(3, 1), 48, &small)
    );
    assert!(!usage.merge_register(NOW, key(1, 1), 48, &register(&[(1, 60), (2, 41)])));
    assert_eq!(read(&usage, 48), (0, 200, 1));
    let slice = slice_of(&[(1, &small), (2, &small)], 3);
    assert!(
        usage.merge_slice(NOW, 1, 48, &slice) && !usage.merge_slice(NOW, 1, 50 - RETAINED_EPOCHS, &slice)
    );
    for impossible in [
        slice_of(&[(3, &small)], 3),
        slice_of(&[(1, &small)], 30),
        slice_of(&[(1, &register(&[(1, 101)]))], 3),
    ] {
        assert!(!usage.merge_slice(NOW, 1, 48, &impossible), "{impossible:?}");
    }
    assert_eq!(read(&usage, 48).0, 2);
}

#[test]
fn slices_of_one_epoch_are_never_added_to_one_another() {
    let mut usage = usage(4, 100);
    let (ten, twenty) = (register(&[(1, 10)]), register(&[(1, 20)]));
    assert!(usage.merge_slice(NOW, 1, 48, &slice_of(&[(1, &ten), (2, &twenty)], 4)));
    assert!(usage.merge_slice(NOW, 2, 48, &slice_of(&[(1, &ten), (2, &twenty), (3, &ten)], 4)));
    // This sender accepted no messages itself.
    assert_eq!(read(&usage, 48), (40, 40, 3));
}

/// The slice reports that this sender accepted no message, but it accepted 50.
#[test]
fn a_slice_that_contradicts_the_own_register_widens_the_interval() {
    let mut usage = usage(3, 100);
    (0..50).for_each(|_| usage.record_message(UnixMillis(48_100), 1));
    let idle = Register::default();
    assert!(usage.merge_slice(NOW, 1, 48, &slice_of(&[(0, &idle), (1, &idle), (2, &idle)], 3)));
    assert_eq!(read(&usage, 48), (50, 250, 3));
}

#[test]
fn tenants_that_are_not_listed_have_a_common_upper_bound() {
    let mut usage = usage(2, 1_000);
    let twenty_tenants =
        Register { totals: (1..=20).map(|n| (n, u32::from(n))).collect(), ..Register::default() };
    assert!(usage.merge_register(NOW, key(1, 1), 48, &twenty_tenants));
    for tenant in 1..=20 {
        let read = usage.read(epoch_start(48 + READ_LAG), tenant, 1);
        let truth = u64::from(tenant);
        assert!(read.min <= truth && truth <= read.max && read.max <= truth + 4, "{tenant}: {read:?}");
    }
}

#[test]
fn retained_epochs_stay_bounded_when_the_clock_is_set_back() {
    let mut usage = usage(3, 100);
    for second in (0..600_u64).chain(100..130).chain(3_000..3_030) {
        let now = epoch_start(second) + 10;
        usage.record_message(now, 1);
        usage.merge_register(now, key(1, 1), second, &register(&[(1, 1)]));
        usage.merge_slice(now, 2, second, &slice_of(&[(1, &register(&[(1, 1)]))], 3));
        assert!(
            usage.registers.len() as u64 <= RETAINED_EPOCHS && usage.slices.len() as u64 <= RETAINED_EPOCHS
        );
    }
}
