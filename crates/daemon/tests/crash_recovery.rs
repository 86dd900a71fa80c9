//! A kill of the whole process: what its journal holds is resumed, and nothing is executed twice.

mod common;

use std::time::Duration;

use common::*;

/// Whether any file of the state folder contains these bytes.
fn journal_holds(state: &std::path::Path, bytes: &[u8]) -> bool {
    let files =
        std::fs::read_dir(state).expect("a folder").filter_map(|file| std::fs::read(file.ok()?.path()).ok());
    files.into_iter().any(|file| file.windows(bytes.len()).any(|w| w == bytes))
}

#[tokio::test]
async fn a_kill_loses_nothing_and_only_idempotent_messages_are_retried() {
    let (mut platform, mut receiver, program, folder, config) =
        set_up(&[Act::Hang, Act::Hang, Act::Hang], DEADLINE_MS).await;
    for message_id in ["safe", "keyed", "once"] {
        assert_eq!(program.hand_in(message_id, message_id, text()).await.status(), 202);
        assert_eq!(receiver.call().await.message_id, message_id);
    }
    program.kill().await;
    let _program = Program::start(&config, &folder.1).await;
    // All three may have run: the unsafe one must not go again, and its client must hear of it.
    assert_eq!(platform.report().await, (vec![undeliverable("once")], 204));
    let mut again = [receiver.call().await, receiver.call().await].map(|call| (call.message_id, call.body));
    again.sort();
    assert_eq!(again, [("keyed".to_owned(), text()), ("safe".to_owned(), text())]);
    assert!(receiver.nothing_called() && platform.nothing_reported());
}

/// An attempt in zone a is interrupted by a kill; the next one, after the restart, is rejected; after the next kill
/// only an endpoint in zone b is left, which does not know the key.
#[tokio::test]
async fn an_attempt_interrupted_by_a_kill_counts_as_possibly_executed_after_a_second_kill() {
    let wait = Act::Say(429, Some(("x-backoff-ms", "60000")));
    let (mut platform, mut receiver, program, folder, config) = set_up(&[Act::Hang, wait], 4_000.0).await;
    program.hand_in("keyed", "m1", text()).await;
    receiver.call().await;
    program.kill().await;
    let program = Program::start(&config, &folder.1).await;
    receiver.call().await;
    // The outcome is on record once the journal holds it: its tag, the id and that it never ran.
    let outcome = async {
        while !journal_holds(&folder.1, &[3, 2, 0, 0, 0, b'm', b'1', 0]) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    soon("the outcome on record", outcome).await;
    program.kill().await;
    let mut other = Receiver::start(&[]).await;
    let mut elsewhere = member("r2", other.addr, 7, "SERVING");
    elsewhere["locality"] = "b".into();
    *platform.list.lock().expect("a list") = Some(list(8, true, &[elsewhere]));
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    assert!(other.nothing_called() && receiver.nothing_called());
}

#[tokio::test]
async fn attempts_before_a_kill_count_towards_the_limit() {
    // Two errors and a call that is out: three of four attempts are used, one is left for after the restart.
    let acts = [Act::Say(500, None), Act::Say(500, None), Act::Hang];
    let (mut platform, mut receiver, program, folder, config) = set_up(&acts, DEADLINE_MS).await;
    program.hand_in("safe", "m1", text()).await;
    for _ in 0..3 {
        receiver.call().await;
    }
    program.kill().await;
    receiver.then(&[Act::Say(500, None)]);
    let _program = Program::start(&config, &folder.1).await;
    receiver.call().await;
    let (notices, _) = platform.report().await;
    assert_eq!(notices, [("m1".to_owned(), "deferred".to_owned())]);
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_message_that_expired_while_the_sender_was_down_is_reported_at_once() {
    let (mut platform, mut receiver, program, folder, config) = set_up(&[Act::Hang], DEADLINE_MS).await;
    program.hand_in_within("keyed", "m1", text(), "0.5").await;
    receiver.call().await;
    program.kill().await;
    // Not a wait for the program: the message's time has to pass.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let _program = Program::start(&config, &folder.1).await;
    assert_eq!(platform.report().await.0, [undeliverable("m1")]);
    assert!(receiver.nothing_called());
}

#[tokio::test]
async fn a_torn_or_corrupt_journal_is_recovered_as_far_as_it_is_readable() {
    let (_platform, mut receiver, program, folder, config) =
        set_up(&[Act::Hang, Act::Hang], DEADLINE_MS).await;
    for message_id in ["m1", "m2"] {
        program.hand_in("safe", message_id, text()).await;
        receiver.call().await;
    }
    program.kill().await;
    let mut files = std::fs::read_dir(&folder.1).expect("a folder").map(|file| file.expect("a file"));
    let is_segment = |file: &std::fs::DirEntry| file.file_name().to_string_lossy().starts_with("journal-");
    let journal = files.find(is_segment).expect("a segment");
    let whole = std::fs::read(journal.path()).expect("readable");
    // The first message's body is damaged: its record's sum no longer fits.
    let mut bytes = whole.clone();
    let at = bytes.windows(4).position(|w| w == b"text").expect("a body");
    bytes[at] ^= 0xff;
    // And a record of 200 bytes broke off after its frame and some bytes.
    bytes.extend([200, 0, 0, 0, 1, 2, 3, 4, 5, 6]);
    std::fs::write(journal.path(), &bytes).expect("writable");
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(receiver.call().await.message_id, "m2");
    program.hand_in("safe", "m3", text()).await;
    assert_eq!(receiver.call().await.message_id, "m3", "a damaged message is not sent");
    assert_eq!(journal.metadata().expect("still there").len(), whole.len() as u64, "the tail is cut");
    program.kill().await;
    // Garbage alone is no reason to fail either.
    std::fs::write(journal.path(), [0xff; 999]).expect("writable");
    let program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "m4", text()).await.status(), 202);
}

/// All pending messages are resumed after a kill, and a new client is served at once beside them.
#[tokio::test]
async fn ninety_pending_messages_and_a_retry_after_survive_a_kill() {
    let acts = [Act::Say(429, Some(("x-backoff-ms", "6000")))];
    let (mut platform, mut receiver, program, folder, config) = set_up(&acts, DEADLINE_MS).await;
    program.hand_in("safe", "m0", text()).await;
    receiver.call().await;
    let received_at = std::time::Instant::now();
    for n in 1..90 {
        assert_eq!(program.hand_in("safe", &format!("m{n}"), text()).await.status(), 202, "m{n}");
    }
    program.kill().await;
    let mut program = Program::start(&config, &folder.1).await;
    assert_eq!(program.hand_in("safe", "new", text()).await.status(), 202);
    let mut missing: std::collections::BTreeSet<String> = (0..90).map(|n| format!("m{n}")).collect();
    missing.insert("new".to_owned());
    missing.remove(&receiver.call().await.message_id);
    // A Retry-After that the killed process received holds for the one after it.
    let waited = received_at.elapsed().as_millis();
    assert!(waited >= 5_900, "sent {waited} ms after a Retry-After of 6 s was received");
    while !missing.is_empty() {
        missing.remove(&receiver.call().await.message_id);
    }
    assert!(platform.nothing_reported());
    program.child.start_kill().expect("it runs");
    program.exit().await;
}

/// A client without a response submits the same message to a second sender, and both senders are killed twice. The key
/// is known in one zone: both may retry there and neither in the other, although the two know nothing of one another.
#[tokio::test]
async fn two_senders_with_the_same_message_keep_to_the_zone_that_knows_its_key_over_two_kills() {
    let (mut platform, mut here) = (FakePlatform::start().await, Receiver::start(&[Act::Hang; 4]).await);
    let mut other = Receiver::start(&[]).await;
    let mut config = config(platform.addr, &[member("r1", here.addr, 7, "SERVING")], 9_000.0);
    config["settings"]["peers_total"] = 300.into();
    *platform.list.lock().expect("a list") = Some(config["known"].clone());
    let folders = [lasting(), lasting()];
    let mut senders = Vec::new();
    for folder in &folders {
        let program = Program::start(&config, &folder.1).await;
        assert_eq!(program.hand_in("keyed", "m1", text()).await.status(), 202);
        senders.push(program);
    }
    let mut keys = Vec::new();
    for kill in 0..2 {
        for _ in &senders {
            let call = here.call().await;
            keys.push((call.message_id, call.headers["idempotency-key"].clone()));
        }
        if kill == 1 {
            let mut elsewhere = member("r2", other.addr, 7, "SERVING");
            elsewhere["locality"] = "b".into();
            *platform.list.lock().expect("a list") = Some(list(8, true, &[elsewhere]));
        }
        for (program, folder) in std::mem::take(&mut senders).into_iter().zip(&folders) {
            program.kill().await;
            senders.push(Program::start(&config, &folder.1).await);
        }
    }
    assert!(keys.iter().all(|key| *key == keys[0]), "{keys:?}");
    for _ in &senders {
        assert_eq!(platform.report().await, (vec![undeliverable("m1")], 204));
    }
    assert!(here.nothing_called() && other.nothing_called() && platform.nothing_reported());
}
