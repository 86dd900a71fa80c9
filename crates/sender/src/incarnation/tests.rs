use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::Incarnation;

use super::{FILE_NAME, start};

/// The clock may stand still or be set back; an unreadable file counts as none.
#[test]
fn each_incarnation_is_larger_than_the_previous_one() {
    let state = tempfile::tempdir().expect("a folder");
    let start = |now| start(state.path(), UnixMillis(now)).expect("the number is stored");
    assert_eq!(start(1_000), Incarnation(1_000));
    assert_eq!(start(1_000), Incarnation(1_001));
    assert_eq!(start(500), Incarnation(1_002));
    assert_eq!(start(9_000), Incarnation(9_000));
    std::fs::write(state.path().join(FILE_NAME), "torn").expect("written");
    assert_eq!(start(9_500), Incarnation(9_500));
}
