//! Bodies that lie outside after a rule narrowed, and the record that outlasts a kill.
mod world;

use rudderspindle_placement::{AtRest, Body, Key, Placement, Record, RecordError, StartError};
use world::{START, key, rules, settings, tenant};

/// A sender in hall-b whose tenant left it at `START + 200`.
fn outside() -> Placement {
    let both = rules(1, &["hall-a", "hall-b"]);
    let mut process = Placement::new(settings(1, 3), Some(both), None, 1, START).unwrap();
    assert_eq!(process.erase_by(tenant(), Body::NeverRan), AtRest::Keep);
    process.reload(START + 200, rules(2, &["hall-a"])).unwrap();
    process
}

#[test]
fn each_body_outside_has_its_way_out_and_a_time() {
    let process = outside();
    let by = START + 1_200;
    assert_eq!(process.erase_by(tenant(), Body::NeverRan), AtRest::HandBack { by });
    assert_eq!(process.erase_by(tenant(), Body::MayHaveRun), AtRest::EndByClass { by });
    assert_eq!(process.erase_by(tenant(), Body::CallOut), AtRest::AwaitOutcome { by: START + 700 });
    assert_eq!(process.erase_by(tenant(), Body::Ended), AtRest::Erase { by });
    assert_eq!(process.erase_by(key().tenant("tapi-news"), Body::Ended), AtRest::Keep);
}

#[test]
fn a_kill_sets_no_new_time_and_forgets_no_rule() {
    let record = Record::restore(&outside().snapshot().bytes, &key()).unwrap();
    assert!(!record.counts(), "it never heard anybody");
    let old_file = rules(1, &["hall-a", "hall-b"]);
    let next = Placement::new(settings(1, 3), Some(old_file), Some(record), 2, START + 900).unwrap();
    assert_eq!(next.erase_by(tenant(), Body::Ended), AtRest::Erase { by: START + 1_200 });
}

#[test]
fn a_record_that_is_cut_changed_or_of_another_key_or_version_is_refused() {
    let bytes = outside().snapshot().bytes;
    for end in 0..bytes.len() {
        assert_eq!(Record::restore(&bytes[..end], &key()), Err(RecordError::Check), "{end} bytes");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert_eq!(Record::restore(&changed, &key()), Err(RecordError::Check), "byte {at}");
    }
    assert_eq!(Record::restore(&bytes, &Key::new([8; 16])), Err(RecordError::Check));
}

#[test]
fn a_record_that_counts_in_other_halls_starts_nothing() {
    let record = Record::restore(&outside().snapshot().bytes, &key()).unwrap();
    let halls = rudderspindle_placement::Halls::new(&["hall-b", "hall-a"]).unwrap();
    let turned = rudderspindle_placement::Settings { halls, ..settings(1, 3) };
    assert_eq!(Placement::new(turned, None, Some(record), 2, START), Err(StartError::RecordHalls));
}
