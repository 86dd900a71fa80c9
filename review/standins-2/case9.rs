//! Case 9: a new version that starts while discovery is down sends a partner's messages to a receiver that is gone, and whose
//! address another partner has by now.

mod common;

use common::{Calls, Client, Member, Message, Platform, Run, Sender, Settings, answer, ms, start_receiver};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

const DEST: u16 = 7;
const OTHER_DEST: u16 = 8;
/// When discovery tells that the receiver drains, that it is gone, and that its address is another partner's, in seconds of
/// the run.
const DRAIN_AT: f64 = 3.0;
const GONE_AT: f64 = 4.5;
const TAKEN_AT: f64 = 6.0;
/// When discovery falls silent, and for how long.
const SILENT_AT: f64 = 8.0;
const SILENT_FOR: f64 = 8.0;
/// When the new version is started.
const UPGRADE_AT: f64 = 8.5;
/// News of discovery is binding so long after the new process has said yes.
const BINDING_AFTER_YES: f64 = 2.0;
/// The grace of drains, and what each time limit is longer on sockets.
const DRAIN_GRACE: f64 = 1.0;
const SOCKET_SLACK: f64 = 0.05;
/// A sender may be held up for so long between its clock and a write.
const HOLD_UP: f64 = 0.15;

fn main() {
    let run = Run::start();
    let calls = Calls::default();
    let mut members = Vec::new();
    // The first address is p7-old's, and p8-c's later.
    for (name, hall, cell) in
        [("p7-old", "hall-a", DEST), ("p8-a", "hall-a", OTHER_DEST), ("p8-b", "hall-b", OTHER_DEST)]
    {
        let addr = start_receiver(&run, name, &calls, |_| answer(200, 200));
        members.push(Member::serving(name, addr, hall, cell, 20.0));
    }
    let platform = Platform::start(&run, &members);
    // `known` in the configuration is the list at the start of the run; an upgrade leaves the file as it is.
    let sender = Sender::new(&run, &platform, &Settings::default(), &platform.list(), true);
    let mut old = sender.spawn("old");
    old.wait_yes();
    let dest_of: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    for dest in [DEST, OTHER_DEST] {
        for class in ["clip-drop", "clip-status"] {
            let (mut client, dest_of) = (Client::new(&run, sender.listen), dest_of.clone());
            spawn(move || {
                loop {
                    let message = Message::new(class, dest, 12.0);
                    dest_of.lock().unwrap().insert(message.id.clone(), dest);
                    client.hand_in(&message);
                    sleep(ms(200));
                }
            });
        }
    }

    // The partner's receiver is replaced by another one; its address goes to another partner.
    run.sleep_until(DRAIN_AT);
    let addr = start_receiver(&run, "p7-new", &calls, |_| answer(200, 200));
    platform.change(Member::serving("p7-new", addr, "hall-a", DEST, 20.0));
    platform.change(Member { phase: "DRAINING".into(), ..members[0].clone() });
    let told_at = run.now();
    run.sleep_until(GONE_AT);
    platform.change(Member { phase: "DELETED".into(), ..members[0].clone() });
    run.sleep_until(TAKEN_AT);
    platform.change(Member::serving("p8-c", members[0].addr, "hall-a", OTHER_DEST, 20.0));

    run.sleep_until(SILENT_AT);
    if run.trouble {
        platform.set_silent(true);
    }
    run.sleep_until(UPGRADE_AT);
    let new = sender.spawn("new");
    new.wait_yes();
    let yes_at = run.now();
    old.terminate();
    run.sleep_until(SILENT_AT + SILENT_FOR);
    if run.trouble {
        platform.set_silent(false);
    }
    run.sleep_until(SILENT_AT + SILENT_FOR + 3.0);
    drop(new);

    let slack = DRAIN_GRACE + SOCKET_SLACK + HOLD_UP;
    let dest_of = dest_of.lock().unwrap();
    let violations: Vec<String> = calls
        .all()
        .into_iter()
        .filter(|call| call.receiver == "p7-old" && dest_of.get(&call.id) == Some(&DEST))
        .filter(|call| {
            let before_yes = call.began_at > told_at + slack && call.began_at < yes_at;
            before_yes || call.began_at > yes_at + BINDING_AFTER_YES + slack
        })
        .map(|call| {
            format!(
                "{} of dest {DEST} was sent at {:.3} to the address of p7-old, which is gone, and got to p8-c of dest \
                 {OTHER_DEST}: the drain was told at {told_at:.3}, the yes came at {yes_at:.3}",
                call.id, call.began_at
            )
        })
        .collect();
    run.finish("drain", &violations)
}
