//! Twelve processes that tell one another of a receiver that fails: their halls avoid it, for as long as it does.

mod cluster;

use std::path::Path;
use std::time::{Duration, Instant};

use cluster::SENDERS;
use rudderspindle_testkit::scenario::Outage;
use tokio::time::sleep;

/// What a sender's log says when others' judgement takes a receiver away, and when it gives all back.
const AVOIDED: &str = "receivers that others judge to be down receivers=1";
const NONE: &str = "receivers that others judge to be down receivers=0";

/// How many senders of a hall have this in their logs; the first has the even ones.
fn logs(folder: &Path, hall: usize, text: &str) -> usize {
    let log = |n: usize| std::fs::read_to_string(folder.join(format!("n{n}/log"))).expect("a log");
    (hall..SENDERS).step_by(2).filter(|n| log(*n).contains(text)).count()
}

async fn soon(what: &str, within: u64, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(within);
    while !is() {
        assert!(Instant::now() < end, "{what}: not within {within} s");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_receiver_that_a_hall_sees_fail_is_avoided_by_all_of_it_and_used_again_when_it_is_back() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.example.toml");
    let (mut tier, folder) = cluster::tier(28, 3, Some(&file)).await;
    tier.start_load();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(logs(folder.path(), 0, AVOIDED), 0, "nothing fails");
    tier.fail(&["p1-0".to_owned()], Outage::Refuse, Duration::from_secs(14)).await;
    // A sender sees one failure and looks elsewhere for 6 s: by the second one of several the others of its hall know.
    soon("most of its hall avoid it", 14, || logs(folder.path(), 0, AVOIDED) > SENDERS / 4).await;
    let back = || logs(folder.path(), 0, NONE) >= logs(folder.path(), 0, AVOIDED);
    soon("all is given back", 16, back).await;
    // The other hall has its own receiver, and nobody there to judge this one.
    assert_eq!(logs(folder.path(), 1, AVOIDED), 0);
    let verdict = tier.finish().await;
    let accounts = &verdict.accounting;
    assert_eq!((accounts.duplicated, accounts.pending), (0, 0), "{verdict}");
}
