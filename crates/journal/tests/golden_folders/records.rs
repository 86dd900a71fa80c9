//! Golden folders with every kind of record in each of its variants, and with records that compaction moved.

use std::path::Path;

use bytes::Bytes;
use rudderspindle_clock::UnixMillis;
use rudderspindle_journal::{EndpointKey, Message, OutageState, PendingNotification, Status};

use crate::support::{
    JournalContent, content_of, copy, execution, golden_segments, message, open, segments, with_fixed_times,
};

/// A message with every optional field of its record.
fn full_message() -> Message {
    Message {
        message_id: "m-full-ü".into(),
        class: "notice".into(),
        tenant: "".into(),
        destination: 65_535,
        idempotency_key: Some(Bytes::from_static(b"order-17")),
        deadline: UnixMillis(u64::MAX),
        body: Bytes::from_static(&[0, 255, 10, 13, 128]),
        attempts: 3,
        possibly_executed: Some(execution(100)),
        in_flight: Some(execution(200)),
    }
}

/// Writes every kind of record, in two consecutive processes.
fn write_every_record(folder: &Path) {
    let mut store = open(folder);
    store.accept(message("m-new"));
    store.accept(full_message());
    store.accept(Message { idempotency_key: Some(Bytes::new()), body: Bytes::new(), ..message("m-empty") });
    for message_id in ["m-ran", "m-not-run", "m-cut", "delivered", "n-1", "n-2", "n-3", "acknowledged"] {
        store.accept(message(message_id));
    }
    store.commit().expect("written");
    for (message_id, at) in [("m-ran", 1), ("m-not-run", 2), ("m-cut", 3), ("delivered", 4), ("n-1", 5)] {
        store.start_attempt(&message_id.into(), execution(at));
    }
    store.commit().expect("written");
    store.finish_attempt(&"m-ran".into(), 0, true);
    store.finish_attempt(&"m-not-run".into(), 0, false);
    store.complete(&"delivered".into(), None);
    store.complete(&"n-1".into(), Some(Status::Undeliverable));
    store.complete(&"n-2".into(), Some(Status::Deferred(None)));
    store.complete(&"n-3".into(), Some(Status::Deferred(Some(70_000))));
    store.complete(&"acknowledged".into(), Some(Status::Undeliverable));
    store.acknowledge(&"acknowledged".into());
    store.start_attempt(&"m-ran".into(), execution(6));
    store.commit().expect("written");
    store.record_outage(EndpointKey::new(7, ""), Some(OutageState::Down { retry_after_remaining: 0 }));
    store.record_outage(
        EndpointKey::new(7, "receiver-1"),
        Some(OutageState::Down { retry_after_remaining: 11_000 }),
    );
    store.record_outage(
        EndpointKey::new(8, "receiver-2"),
        Some(OutageState::WarmingUp { since_recovery: -500, ramp_share: 0.25 }),
    );
    store.record_outage(
        EndpointKey::new(9, ""),
        Some(OutageState::WarmingUp { since_recovery: 4_000, ramp_share: 1.0 }),
    );
    store.record_outage(
        EndpointKey::new(10, "receiver-3"),
        Some(OutageState::Down { retry_after_remaining: 1 }),
    );
    store.record_outage(EndpointKey::new(10, "receiver-3"), None);
    store.commit().expect("written");
    drop(store);
    let mut store = open(folder);
    store.start_attempt(&"m-not-run".into(), execution(7));
    store.start_attempt(&"m-full-ü".into(), execution(8));
    store.accept(message("m-later"));
    store.commit().expect("written");
}

#[test]
fn every_record_kind_is_restored_from_the_golden_folder() {
    let expected = JournalContent {
        pending_messages: vec![
            Message { attempts: 1, possibly_executed: Some(execution(3)), ..message("m-cut") },
            Message { idempotency_key: Some(Bytes::new()), body: Bytes::new(), ..message("m-empty") },
            Message { attempts: 4, in_flight: None, ..full_message() },
            message("m-later"),
            message("m-new"),
            Message { attempts: 2, possibly_executed: Some(execution(7)), ..message("m-not-run") },
            Message { attempts: 2, possibly_executed: Some(execution(1)), ..message("m-ran") },
        ],
        pending_notifications: vec![
            PendingNotification { message_id: "n-1".into(), status: Status::Undeliverable },
            PendingNotification { message_id: "n-2".into(), status: Status::Deferred(None) },
            PendingNotification { message_id: "n-3".into(), status: Status::Deferred(Some(70_000)) },
        ],
        outage_records: vec![
            (EndpointKey::new(7, ""), OutageState::Down { retry_after_remaining: 0 }),
            (EndpointKey::new(7, "receiver-1"), OutageState::Down { retry_after_remaining: 11_000 }),
            (
                EndpointKey::new(8, "receiver-2"),
                OutageState::WarmingUp { since_recovery: -500, ramp_share: 0.25 },
            ),
            (EndpointKey::new(9, ""), OutageState::WarmingUp { since_recovery: 4_000, ramp_share: 1.0 }),
        ],
        latest_attempt: execution(200).sent_at,
        warnings: vec![],
    };
    assert_eq!(content_of(copy("every-record").path()), expected);
}

#[test]
fn every_record_kind_has_the_bytes_of_the_golden_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let start = UnixMillis::now();
    write_every_record(folder.path());
    let written = with_fixed_times(segments(folder.path()), &(start..=UnixMillis::now()));
    assert_eq!(written, golden_segments("every-record"));
}

/// Records an attempt in the future, as if the clock was set back afterwards: the next start moves all pending entries to a new
/// segment.
fn write_attempt_in_the_future(folder: &Path) {
    let mut store = open(folder);
    store.accept(Message { in_flight: None, ..full_message() });
    store.start_attempt(&"m-full-ü".into(), execution(4_000_000_000_000));
    store.record_outage(
        EndpointKey::new(8, "receiver-2"),
        Some(OutageState::WarmingUp { since_recovery: -500, ramp_share: 0.25 }),
    );
    store.commit().expect("written");
}

#[test]
fn moved_records_have_the_bytes_of_the_golden_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let start = UnixMillis::now();
    write_attempt_in_the_future(folder.path());
    let written = with_fixed_times(segments(folder.path()), &(start..=UnixMillis::now()));
    assert_eq!(written, golden_segments("before-moving"));
    let moved = copy("before-moving");
    let expected = JournalContent {
        pending_messages: vec![Message { attempts: 4, in_flight: None, ..full_message() }],
        pending_notifications: vec![],
        outage_records: vec![(
            EndpointKey::new(8, "receiver-2"),
            OutageState::WarmingUp { since_recovery: -500, ramp_share: 0.25 },
        )],
        latest_attempt: execution(4_000_000_000_000).sent_at,
        warnings: vec![],
    };
    assert_eq!(content_of(moved.path()), expected);
    assert_eq!(segments(moved.path()), golden_segments("after-moving"));
}
