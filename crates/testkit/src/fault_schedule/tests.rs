//! Tests that faults affect their shares of the datagrams and that links are independent.

use std::time::Duration;

use super::{DatagramCopy, LinkFaultSampler, LinkFaults, REORDER_DELAY};

const MS: Duration = Duration::from_millis(1);

type Copies = Vec<DatagramCopy>;

fn copy(delay: Duration, bytes: &[u8]) -> DatagramCopy {
    DatagramCopy { delay, bytes: bytes.to_vec() }
}

#[test]
fn each_fault_affects_its_share_of_the_datagrams_and_no_others() {
    let samples = |faults: &LinkFaults| {
        let mut link = LinkFaultSampler::new(1, 2, 3);
        (0..4_000).map(|_| link.sample(b"a note", faults)).collect::<Vec<Copies>>()
    };
    let unaffected = copy(Duration::ZERO, b"a note");
    let one_in_four = |faults: LinkFaults, is_affected: fn(&Copies) -> bool| {
        let (affected, others): (Vec<Copies>, Vec<Copies>) =
            samples(&faults).into_iter().partition(is_affected);
        assert!(others.iter().all(|copies| copies[..] == [unaffected.clone()]), "{faults:?}");
        assert!((900..1_100).contains(&affected.len()), "{} of 4000: {faults:?}", affected.len());
    };
    let none = LinkFaults::default;
    one_in_four(LinkFaults { drop: 0.25, ..none() }, Vec::is_empty);
    one_in_four(LinkFaults { duplicate: 0.25, ..none() }, |copies| {
        copies.len() == 2 && copies[0] == copies[1]
    });
    one_in_four(LinkFaults { reorder: 0.25, ..none() }, |copies| {
        copies.len() == 1 && copies[0].delay == REORDER_DELAY
    });
    one_in_four(LinkFaults { damage: 0.25, ..none() }, |copies| {
        copies[0].bytes.len() == 6
            && copies[0].bytes.iter().zip(b"a note").filter(|(a, b)| a != b).count() == 1
    });
    let delayed = samples(&LinkFaults { delay: 10 * MS..30 * MS, ..none() });
    assert!(delayed.iter().all(|copies| copies.len() == 1 && (10 * MS..30 * MS).contains(&copies[0].delay)));
    assert!(
        delayed.iter().any(|copies| copies[0].delay < 12 * MS)
            && delayed.iter().any(|copies| copies[0].delay > 28 * MS)
    );
    let replayed = samples(&LinkFaults { replay_after: Some(60_000 * MS), ..none() });
    assert!(replayed.iter().all(|copies| copies[..] == [unaffected.clone(), copy(60_000 * MS, b"a note")]));
}

/// Earlier faults of the link have no influence: every datagram takes the same number of draws.
#[test]
fn faults_of_a_datagram_depend_on_its_link_and_number() {
    let later_faults =
        LinkFaults { drop: 0.5, damage: 0.5, delay: Duration::ZERO..99 * MS, ..LinkFaults::default() };
    let samples_after = |earlier_faults: &LinkFaults, (from, to)| {
        let mut link = LinkFaultSampler::new(9, from, to);
        (0..50).for_each(|_| drop(link.sample(b"another", earlier_faults)));
        (0..50).map(|_| link.sample(b"a note", &later_faults)).collect::<Vec<_>>()
    };
    let many_faults = LinkFaults { duplicate: 0.7, drop: 1.0, reorder: 0.2, ..LinkFaults::default() };
    assert_eq!(samples_after(&LinkFaults::default(), (1, 2)), samples_after(&many_faults, (1, 2)));
    assert_ne!(samples_after(&many_faults, (1, 2)), samples_after(&many_faults, (2, 1)));
    // An empty datagram has no byte to damage.
    let damage = LinkFaults { damage: 1.0, ..LinkFaults::default() };
    assert_eq!(LinkFaultSampler::new(0, 0, 0).sample(b"", &damage), [copy(Duration::ZERO, b"")]);
}
