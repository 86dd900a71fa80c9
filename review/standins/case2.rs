//! Case 2: a new version under load, while the old process has a queue for each of two partners, one of them slow.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::Duration;

use common::*;

/// The partners' destinations, what each takes in a second, how long it works on a call, and the messages of its clump.
const USUAL: u16 = 7;
const USUAL_RATE: f64 = 20.0;
const USUAL_WORK: Duration = Duration::from_millis(300);
const USUAL_CLUMP: usize = 66;
const SLOW: u16 = 8;
const SLOW_RATE: f64 = 10.0;
const SLOW_WORK: Duration = Duration::from_millis(1_500);
const SLOW_CLUMP: usize = 33;
/// Messages to each partner before the clumps, one each `EARLIER_PAUSE`.
const EARLIER: usize = 12;
const EARLIER_PAUSE: Duration = Duration::from_millis(500);
/// The time that the messages for the usual partner have left, and how much later than that an end may come: the half
/// second of the standing test and 50 ms for sockets.
const REMAINING: f64 = 2.4;
const SLACK: f64 = 0.55;

fn config(platform: SocketAddr, members: &[Member], listen: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{platform}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{},
 "settings":{{"az":0,"azs":["hall-a","hall-b"],"kinds":["any-size"],"me":0,"peers_total":1,"tick":5.0,"weights":"nominal",
  "discovery":"pushed",
  "lanes":[
   {{"name":"clip-drop","effect":"guarded","group":"zone","window":15000.0,"credit":1.0,"target":4000.0,"deadline":28000.0,"late_worth":0.3}},
   {{"name":"clip-status","effect":"free","group":"all","window":5000.0,"credit":3.0,"target":2000.0,"deadline":20000.0,"late_worth":0.3}}],
  "projects":[{{"name":"narmada-sports","fraction":1.0,"quota_per_s":100.0}}],
  "extra":{{"calls_out":44,"kind_apart":[false],"bundle_max":[1]}},
  "limits":{{"cancelling":true,"most_held":180,"max_attempts":12,"connect_timeout":1500.0,"idle_close":15000.0,"retry_after":true,"max_retry_after":3000.0,"second_copies":false}},
  "rules":{{"answer_slack":20.0,"ask_within":10000.0,"cold_from":0.17,"drain_grace":1000.0,"fall_multiple":2.5,"tip_after":3000.0,"warm_within":9300.0}}}}}}"#,
        list_json(members)
    )
}

fn usual(id: String) -> Message {
    Message { class: "clip-status", id, key: None, dest: USUAL, remaining_s: REMAINING, body: b"ready".to_vec() }
}

fn slow(id: String) -> Message {
    let key = Some(format!("5c0f6e1a2b3d4c59-{id}"));
    Message { class: "clip-drop", id, key, dest: SLOW, remaining_s: 28.0, body: b"clip".to_vec() }
}

/// Hands in each message by a client of its own; returns those that were taken on, with the end of their time.
fn hand_in_all(clients: SocketAddr, messages: Vec<Message>, record: &Record) -> Vec<(Message, f64)> {
    let hand_ins: Vec<_> = messages
        .into_iter()
        .map(|message| {
            let record = record.clone();
            thread::spawn(move || {
                let due = record.now() + message.remaining_s;
                (hand_in(clients, &message, &record) == 202).then_some((message, due))
            })
        })
        .collect();
    hand_ins.into_iter().filter_map(|hand_in| hand_in.join().unwrap()).collect()
}

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case.join("record.txt"));
    let code = play(&root, &record);
    std::process::exit(code);
}

fn play(root: &std::path::Path, record: &Record) -> i32 {
    let usual_partner = Receiver::start("r7", USUAL_WORK, record);
    let slow_partner = Receiver::start("r8", SLOW_WORK, record);
    let member = |id, addr, cell, size| Member { id, addr, zone: "hall-a", kind: "any-size", cell, size };
    let members = [
        member("club-a", usual_partner.addr, USUAL, USUAL_RATE),
        member("club-b", slow_partner.addr, SLOW, SLOW_RATE),
    ];
    let platform = Platform::start(members.to_vec(), record);
    let folder = Folder::new("review-2");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    folder.write_config(&config(platform.addr, &members, clients));
    let (control_old, control_new) = (free_address(), free_address());
    let start = |control| Start { root, folder: &folder, control: Some(control), listener: Some(listener.as_raw_fd()) };
    let mut old = Program::start("old", &start(control_old), record);
    wait_until_ready(clients, Duration::from_secs(20));

    let mut taken = Vec::new();
    for number in 0..EARLIER {
        let messages = vec![usual(format!("e7-{number}")), slow(format!("e8-{number}"))];
        taken.extend(hand_in_all(clients, messages, record));
        thread::sleep(EARLIER_PAUSE);
    }
    let clump_7 = (0..USUAL_CLUMP).map(|number| usual(format!("m7-{number:02}")));
    let clump_8 = (0..SLOW_CLUMP).map(|number| slow(format!("m8-{number:02}")));
    taken.extend(hand_in_all(clients, clump_8.chain(clump_7).collect(), record));
    record.line(format!("{} messages taken on", taken.len()));

    let mut new = None;
    if trouble() {
        new = Some(Program::start("new", &start(control_new), record));
        let asked_until = record.now() + 6.0;
        while !control_call(control_new, "status") {
            if record.now() > asked_until {
                record.line("verdict: could not run: the new process did not say yes");
                return COULD_NOT_RUN;
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.line("new: says yes");
        old.signal("TERM");
    }
    if trouble() && !old.wait(Duration::from_millis(3_700)) {
        old.signal("KILL");
        old.wait(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(12));
    drop((old, new));

    // The rule: each message that was taken on is delivered, or ended by a notice, by the end of its time and the slack.
    let mut runs = usual_partner.runs.lock().unwrap().clone();
    runs.extend(slow_partner.runs.lock().unwrap().clone());
    let notices = platform.notices.lock().unwrap().clone();
    let mut late = 0;
    let judged: Vec<_> = taken.iter().filter(|(_, due)| due + SLACK < record.now()).collect();
    for (Message { id, .. }, due) in &judged {
        let delivered = runs.iter().filter(|run| run.id == *id).map(|run| run.at);
        let ended = notices.iter().filter(|notice| notice.id == *id).map(|notice| notice.at);
        let end = delivered.chain(ended).fold(f64::INFINITY, f64::min);
        if end > due + SLACK {
            record.line(format!("BROKEN: {id} was due at {due:.3} and ended at {end:.3}, {:.3} s late", end - due));
            late += 1;
        }
    }
    record.line(format!("{late} of {} messages ended later than {SLACK} s after their time", judged.len()));
    record.line(format!("verdict: {}", if late > 0 { "the rule was broken" } else { "the rule held" }));
    if late > 0 { BROKEN } else { HELD }
}
