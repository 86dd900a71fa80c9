//! Tests of the shares of the faults and of the independence of links.

use std::time::Duration;

use super::{DatagramCopy, LinkFaultSampler, LinkFaults, REORDER_DELAY};

const MS: Duration = Duration::from_millis(1);

type Copies = Vec<DatagramCopy>;

fn copy(delay: Duration, bytes: &[u8]) -> DatagramCopy {
    DatagramCopy { delay, bytes: bytes.to_vec() }
}

#[test]
fn each_fault_affects_its_share_of_the_datagrams_and_no_others() {
    let outcomes = |faults: &LinkFaults| {
        let mut link = LinkFaultSampler::new(1, 2, 3);
        (0..4_000).map(|_| link.sample(b"a note", faults)).collect::<Vec<Copies>>()
    };
    let whole = copy(Duration::ZERO, b"a note");
    let one_in_four = |faults: LinkFaults, affected: fn(&Copies) -> bool| {
        let (hit, spared): (Vec<Copies>, Vec<Copies>) = outcomes(&faults).into_iter().partition(affected);
        assert!(spared.iter().all(|copies| copies[..] == [whole.clone()]), "{faults:?}");
        assert!((900..1_100).contains(&hit.len()), "{} of 4000: {faults:?}", hit.len());
    };
    let none = LinkFaults::default;
    one_in_four(LinkFaults { drop: 0.25, ..none() }, Vec::is_empty);
    one_in_four(LinkFaults { duplicate: 0.25, ..none() }, |o| o.len() == 2 && o[0] == o[1]);
    one_in_four(LinkFaults { reorder: 0.25, ..none() }, |o| o.len() == 1 && o[0].delay == REORDER_DELAY);
    one_in_four(LinkFaults { damage: 0.25, ..none() }, |o| {
        o[0].bytes.len() == 6 && o[0].bytes.iter().zip(b"a note").filter(|(a, b)| a != b).count() == 1
    });
    let late = outcomes(&LinkFaults { delay: 10 * MS..30 * MS, ..none() });
    assert!(late.iter().all(|o| o.len() == 1 && (10 * MS..30 * MS).contains(&o[0].delay)));
    assert!(late.iter().any(|o| o[0].delay < 12 * MS) && late.iter().any(|o| o[0].delay > 28 * MS));
    let again = outcomes(&LinkFaults { replay_after: Some(60_000 * MS), ..none() });
    assert!(again.iter().all(|o| o[..] == [whole.clone(), copy(60_000 * MS, b"a note")]));
}

#[test]
fn the_faults_of_a_datagram_depend_on_its_link_and_number_and_not_on_earlier_faults() {
    let faulty =
        LinkFaults { drop: 0.5, damage: 0.5, delay: Duration::ZERO..99 * MS, ..LinkFaults::default() };
    let after = |before: &LinkFaults, (from, to)| {
        let mut link = LinkFaultSampler::new(9, from, to);
        (0..50).for_each(|_| drop(link.sample(b"another", before)));
        (0..50).map(|_| link.sample(b"a note", &faulty)).collect::<Vec<_>>()
    };
    let wild = LinkFaults { duplicate: 0.7, drop: 1.0, reorder: 0.2, ..LinkFaults::default() };
    assert_eq!(after(&LinkFaults::default(), (1, 2)), after(&wild, (1, 2)));
    assert_ne!(after(&wild, (1, 2)), after(&wild, (2, 1)));
    // An empty datagram has no byte to damage.
    let damage = LinkFaults { damage: 1.0, ..LinkFaults::default() };
    assert_eq!(LinkFaultSampler::new(0, 0, 0).sample(b"", &damage), [copy(Duration::ZERO, b"")]);
}
