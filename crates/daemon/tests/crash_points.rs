//! Kills at named failpoints between two steps of a message, each followed by a restart.

mod common;

use common::*;
use serde_json::Value;

/// Every class: may be repeated at will, by its key, not at all.
const CLASSES: [&str; 3] = ["safe", "keyed", "once"];

struct Site {
    platform: FakePlatform,
    receiver: Receiver,
    folder: Folder,
    config: Value,
}

impl Site {
    async fn new(acts: &[Act]) -> Self {
        let (platform, receiver, config) = start_peers(acts, DEADLINE_MS).await;
        Self { platform, receiver, folder: lasting(), config }
    }

    /// A program that stops at the point.
    async fn until(&self, point: &str) -> Program {
        Program::start_until(point, &self.config, &self.folder.1).await
    }

    /// The one after it has been killed.
    async fn start(&self) -> Program {
        Program::start(&self.config, &self.folder.1).await
    }

    /// A further message, decided on after all that a start recovers, shows that there is no other call or
    /// notification.
    async fn nothing_more(&mut self, program: &Program) {
        assert_eq!(program.hand_in("safe", "last", text()).await.status(), 202);
        assert_eq!(self.receiver.call().await.message_id, "last");
        assert!(self.receiver.nothing_called() && self.platform.nothing_reported());
    }
}

fn raw(class: &str) -> Vec<u8> {
    let text = String::from_utf8(raw_submission("m1", "Content-Length: 4", "text")).expect("text");
    text.replace("POST /safe", &format!("POST /{class}"))
        .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\n\r\n")
        .into()
}

/// Submits a message and kills the program when it has reached the failpoint; the client has no response.
async fn kill_before_the_answer(program: Program, class: &str) {
    let mut program = program;
    let mut client = program.raw(&raw(class)).await;
    program.says("failpoint reached").await;
    program.kill().await;
    assert_eq!(status(&mut client).await, None);
}

#[tokio::test]
async fn killed_before_the_record_a_message_was_never_accepted_and_may_be_submitted_again() {
    for class in CLASSES {
        let mut site = Site::new(&[]).await;
        kill_before_the_answer(site.until("accepted-before-record").await, class).await;
        let program = site.start().await;
        site.nothing_more(&program).await;
        let mut client = program.raw(&raw(class)).await;
        assert_eq!(status(&mut client).await, Some(202));
        assert_eq!(site.receiver.call().await.message_id, "m1");
    }
}

/// Its first attempt is on record with it, and may have gone out for all that the journal says.
#[tokio::test]
async fn killed_between_the_record_and_the_202_a_message_still_reaches_a_final_outcome() {
    for class in CLASSES {
        let mut site = Site::new(&[]).await;
        kill_before_the_answer(site.until("accepted-recorded").await, class).await;
        assert!(site.receiver.nothing_called());
        let program = site.start().await;
        if class == "once" {
            assert_eq!(site.platform.report().await.0, [undeliverable("m1")]);
        } else {
            assert_eq!(site.receiver.call().await.message_id, "m1");
        }
        site.nothing_more(&program).await;
    }
}

/// A first attempt was rejected; the second one is on record, and not a byte of it has been sent.
#[tokio::test]
async fn killed_between_an_attempts_record_and_its_first_byte_it_counts_as_possibly_executed() {
    for class in CLASSES {
        let mut site = Site::new(&[Act::Say(429, Some(("x-backoff-ms", "20")))]).await;
        let mut program = site.until("attempt-1-recorded").await;
        assert_eq!(program.hand_in(class, "m1", text()).await.status(), 202);
        assert_eq!(site.receiver.call().await.message_id, "m1");
        program.says("failpoint reached").await;
        program.kill().await;
        assert!(site.receiver.nothing_called());
        let program = site.start().await;
        if class == "once" {
            assert_eq!(site.platform.report().await.0, [undeliverable("m1")]);
        } else {
            assert_eq!(site.receiver.call().await.message_id, "m1");
        }
        site.nothing_more(&program).await;
    }
}

#[tokio::test]
async fn killed_between_a_response_and_its_record_only_idempotent_messages_are_retried() {
    for class in CLASSES {
        let mut site = Site::new(&[]).await;
        let mut program = site.until("delivered-before-record").await;
        assert_eq!(program.hand_in(class, "m1", text()).await.status(), 202);
        let first = site.receiver.call().await;
        program.says("failpoint reached").await;
        program.kill().await;
        let program = site.start().await;
        if class == "once" {
            assert_eq!(site.platform.report().await.0, [undeliverable("m1")]);
        } else {
            let again = site.receiver.call().await;
            assert_eq!((&again.message_id, &again.body), (&first.message_id, &first.body));
            assert_eq!(again.headers["idempotency-key"], first.headers["idempotency-key"]);
        }
        site.nothing_more(&program).await;
    }
}

/// The platform has the notification, and the journal has no record of it: it is sent once more, and then not again.
#[tokio::test]
async fn killed_between_an_acknowledgement_and_its_record_a_notification_is_sent_once_more() {
    let mut site = Site::new(&[Act::Break]).await;
    let mut program = site.until("acknowledged-before-record").await;
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 202);
    assert_eq!(site.receiver.call().await.message_id, "m1");
    assert_eq!(site.platform.report().await, (vec![undeliverable("m1")], 204));
    program.says("failpoint reached").await;
    program.kill().await;
    let program = site.start().await;
    assert_eq!(site.platform.report().await, (vec![undeliverable("m1")], 204));
    // Its end is on record once an operator's stop has let the engine settle it.
    program.terminate().await;
    let mut program = program;
    assert!(program.exit().await.success());
    let program = site.start().await;
    site.nothing_more(&program).await;
}

/// Without a response the notification is sent again, also by the process after the one that was killed.
#[tokio::test]
async fn killed_while_a_notification_is_unanswered_it_is_sent_again() {
    let mut site = Site::new(&[Act::Break]).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut config = site.config.clone();
    config["discovery"] = silent.local_addr().expect("an address").to_string().into();
    let program = Program::start(&config, &site.folder.1).await;
    assert_eq!(program.hand_in("once", "m1", text()).await.status(), 202);
    assert_eq!(site.receiver.call().await.message_id, "m1");
    loop {
        let (mut stream, _) = soon("a connection", silent.accept()).await.expect("a connection");
        let mut seen = vec![0; 12];
        let read = tokio::io::AsyncReadExt::read_exact(&mut stream, &mut seen);
        // The list is asked for on connections of its own.
        if soon("a request", read).await.is_ok() && seen.starts_with(b"POST /report") {
            break;
        }
    }
    program.kill().await;
    let program = site.start().await;
    assert_eq!(site.platform.report().await, (vec![undeliverable("m1")], 204));
    site.nothing_more(&program).await;
}
