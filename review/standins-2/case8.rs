//! Case 8: during an upgrade the new process takes on the id of a message that the old process has in work.

mod common;

use common::{Answer, Calls, Client, Member, Message, Platform, Run, SIGTERM, Sender, Settings, answer, ms};
use common::{Process, start_receiver};
use std::thread::{sleep, spawn};

/// Messages whose ids the bad client uses.
const OPEN_MESSAGES: usize = 5;
/// Time that the partner of these messages takes for a call.
const SLOW_CALL_MS: u64 = 3_000;
/// Time that the other partners take.
const CALL_MS: u64 = 250;
const SLOW_DEST: u16 = 1;

fn main() {
    let run = Run::start();
    let calls = Calls::default();
    let mut members = Vec::new();
    for cell in 1..=4u16 {
        for hall in ["hall-a", "hall-b"] {
            let name = format!("partner-{cell}-{hall}");
            let work = if cell == SLOW_DEST { SLOW_CALL_MS } else { CALL_MS };
            let addr = start_receiver(&run, &name, &calls, move |_| answer(200, work));
            members.push(Member::serving(&name, addr, hall, cell, 20.0));
        }
    }
    let platform = Platform::start(&run, &members);
    let sender = Sender::new(&run, &platform, &Settings::default(), &platform.list(), true);
    let old = sender.spawn("old");
    old.wait_yes();
    for dest in 2..=4u16 {
        let mut client = Client::new(&run, sender.listen);
        spawn(move || {
            loop {
                client.hand_in(&Message::new(
                    if dest == 2 { "clip-drop" } else { "clip-status" },
                    dest,
                    20.0,
                ));
                sleep(ms(200));
            }
        });
    }
    run.sleep_until(3.0);

    // The usual clients' messages: the old process is the only one, takes them on and calls the slow partner.
    let messages: Vec<Message> =
        (0..OPEN_MESSAGES).map(|_| Message::new("clip-drop", SLOW_DEST, 28.0)).collect();
    let mut client = Client::new(&run, sender.listen);
    for message in &messages {
        if !client.hand_in(message).is_taken_on() {
            run.cannot_run("a message of a usual client was not taken on");
        }
    }
    wait_for_calls(&run, &calls, &messages);

    let new = run.trouble.then(|| upgrade(&run, &sender, &old));
    // A bad client sends requests with the ids of these open messages.
    run.note("a bad client uses the ids of the open messages");
    let mut bad_client = Client::new(&run, sender.listen);
    let answers: Vec<Answer> = messages.iter().map(|message| bad_client.hand_in(message)).collect();
    run.note(&format!("answers to the bad client: {answers:?}"));
    sleep(ms(2 * SLOW_CALL_MS + 2_000));
    drop(new);

    let mut violations = Vec::new();
    for message in &messages {
        let attempts = calls.of(&message.id);
        for (index, later) in attempts.iter().enumerate().skip(1) {
            if let Some(earlier) = attempts[..index].iter().find(|earlier| earlier.ended_at > later.at + 0.05)
            {
                violations.push(format!(
                    "{}: a second copy came to {} at {:.3} while the call of {:.3} to {} was out (until {:.3}, {:?})",
                    message.id,
                    later.receiver,
                    later.at,
                    earlier.at,
                    earlier.receiver,
                    earlier.ended_at,
                    earlier.end
                ));
            }
        }
    }
    run.finish("duplicate", &violations)
}

/// Starts the new version; once it says yes, the old process gets SIGTERM.
fn upgrade(run: &Run, sender: &Sender, old: &Process) -> Process {
    let new = sender.spawn("new");
    new.wait_yes();
    old.signal(SIGTERM);
    // Time for the old process to leave the clients to the new one.
    sleep(ms(200));
    run.note("clients come to the new process");
    new
}

/// Waits until each message has a call out.
fn wait_for_calls(run: &Run, calls: &Calls, messages: &[Message]) {
    for _ in 0..200 {
        if messages.iter().all(|message| !calls.of(&message.id).is_empty()) {
            return;
        }
        sleep(ms(5));
    }
    run.cannot_run("a message was not sent within a second");
}
