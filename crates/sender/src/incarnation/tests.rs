use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::Incarnation;

use super::{FILE, start};

#[test]
fn each_incarnation_is_larger_than_the_one_before_whatever_the_clock_says() {
    let state = tempfile::tempdir().expect("a folder");
    let start = |now| start(state.path(), UnixMillis(now)).expect("it is stored");
    assert_eq!(start(1_000), Incarnation(1_000));
    assert_eq!(start(1_000), Incarnation(1_001));
    assert_eq!(start(500), Incarnation(1_002));
    assert_eq!(start(9_000), Incarnation(9_000));
    std::fs::write(state.path().join(FILE), "torn").expect("written");
    assert_eq!(start(9_500), Incarnation(9_500));
}
