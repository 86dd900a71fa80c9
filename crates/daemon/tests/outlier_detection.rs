//! Outlier detection by gossip between twelve processes: a failing receiver is ejected in its zone until it recovers.

mod cluster;

use std::path::Path;
use std::time::Duration;

use rudderspindle_testkit::scenario::Outage;
use tokio::time::sleep;

use cluster::{SENDERS, StartedCluster, count_logged, wait_until};

/// Log lines of a sender when peers' reports eject a receiver, and when all are restored.
const EJECTED: &str = "ejected receivers changed receivers=1";
const RESTORED: &str = "ejected receivers changed receivers=0";

/// How many senders of a zone have this text in their logs; zone 0 has the senders with even numbers.
fn logs(folder: &Path, zone: usize, text: &str) -> usize {
    count_logged(folder, (zone..SENDERS).step_by(2), text)
}

async fn eventually(what: &str, timeout_secs: u64, condition: impl FnMut() -> bool) {
    wait_until(what, Duration::from_secs(timeout_secs), Duration::from_millis(50), condition).await;
}

#[tokio::test]
async fn a_receiver_that_fails_for_one_zone_is_ejected_in_all_of_it_and_used_again_when_it_recovers() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet.example.toml");
    let StartedCluster { mut cluster, folder } = cluster::start(28, 3, Some(&file)).await;
    cluster.start_load();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(logs(folder.path(), 0, EJECTED), 0, "nothing fails");
    cluster.fail(&["p1-0".to_owned()], Outage::RefuseConnections, Duration::from_secs(14)).await;
    // A sender that sees a failure uses another endpoint for 6 s; reports of two senders eject the endpoint in the zone.
    eventually("most senders of its zone eject it", 14, || logs(folder.path(), 0, EJECTED) > SENDERS / 4)
        .await;
    let restored = || logs(folder.path(), 0, RESTORED) >= logs(folder.path(), 0, EJECTED);
    eventually("all are restored", 16, restored).await;
    // Senders of the other zone use another endpoint and do not report this one.
    assert_eq!(logs(folder.path(), 1, EJECTED), 0);
    let verdict = cluster.finish().await;
    let accounts = &verdict.accounting;
    assert_eq!((accounts.duplicated, accounts.pending), (0, 0), "{verdict}");
}
