//! Case 1: a new version under load, while the sender holds a clump of large messages.

mod common;

use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::thread;
use std::time::Duration;

use common::*;

/// Messages of the clump, of 64 KiB each.
const CLUMP: usize = 29;
const BODY: usize = 64 * 1024;
/// Calls a second that the partner takes from all senders together, and how long it works on one.
const RATE: f64 = 20.0;
const WORK: Duration = Duration::from_millis(400);

fn config(platform: std::net::SocketAddr, members: &[Member], listen: std::net::SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{platform}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{},
 "settings":{{"az":0,"azs":["hall-a","hall-b"],"kinds":["any-size"],"me":0,"peers_total":1,"tick":5.0,"weights":"nominal",
  "discovery":"pushed",
  "lanes":[
   {{"name":"clip-drop","effect":"single_shot","group":"all","window":15000.0,"credit":1.0,"target":4000.0,"deadline":28000.0,"late_worth":0.3}},
   {{"name":"clip-status","effect":"free","group":"all","window":5000.0,"credit":3.0,"target":2000.0,"deadline":20000.0,"late_worth":0.3}}],
  "projects":[{{"name":"narmada-sports","fraction":1.0,"quota_per_s":50.0}}],
  "extra":{{"calls_out":4,"kind_apart":[false],"bundle_max":[1]}},
  "limits":{{"cancelling":true,"most_held":60,"max_attempts":12,"connect_timeout":1500.0,"idle_close":15000.0,"retry_after":true,"max_retry_after":3000.0,"second_copies":false}},
  "rules":{{"answer_slack":20.0,"ask_within":10000.0,"cold_from":0.17,"drain_grace":1000.0,"fall_multiple":2.5,"tip_after":3000.0,"warm_within":9300.0}}}}}}"#,
        list_json(members)
    )
}

fn message(id: String, subject: &str) -> Message {
    let mut body = format!("{subject} ").into_bytes();
    body.resize(BODY, b'x');
    Message { class: "clip-drop", id, key: None, dest: 7, remaining_s: 28.0, body }
}

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case.join("record.txt"));
    let code = play(&root, &record);
    std::process::exit(code);
}

fn play(root: &std::path::Path, record: &Record) -> i32 {
    let receiver = Receiver::start("r1", WORK, record);
    let members = [Member { id: "club-a", addr: receiver.addr, zone: "hall-a", kind: "any-size", cell: 7, size: RATE }];
    let platform = Platform::start(members.to_vec(), record);
    let folder = Folder::new("review-1");
    // The platform keeps the clients' listening socket; a low descriptor is taken by the record.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    folder.write_config(&config(platform.addr, &members, clients));
    let (control_old, control_new) = (free_address(), free_address());
    let start = |control| Start { root, folder: &folder, control: Some(control), listener: Some(listener.as_raw_fd()) };

    let mut old = Program::start("old", &start(control_old), record);
    wait_until_ready(clients, Duration::from_secs(20));

    // The clump: each clip is handed in by a client of its own.
    let hand_ins: Vec<_> = (0..CLUMP)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || hand_in(clients, &message(format!("m{number:02}"), &format!("clip{number:02}")), &record))
        })
        .collect();
    let statuses: Vec<u16> = hand_ins.into_iter().map(|hand_in| hand_in.join().unwrap()).collect();
    let taken: Vec<usize> = (0..CLUMP).filter(|&number| statuses[number] == 202).collect();
    record.line(format!("{} of {CLUMP} messages taken on", taken.len()));
    if taken.len() < CLUMP {
        record.line("verdict: could not run: the clump was not taken on");
        return COULD_NOT_RUN;
    }

    // The upgrade: a second process; once it says yes, the old one gets SIGTERM, and SIGKILL 3.7 s after that.
    let mut new = None;
    if trouble() {
        new = Some(Program::start("new", &start(control_new), record));
        let asked_until = record.now() + 6.0;
        while !control_call(control_new, "status") {
            if record.now() > asked_until {
                record.line("verdict: could not run: the new process did not say yes");
                return COULD_NOT_RUN;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line("new: says yes");
        old.signal("TERM");
        if !old.wait(Duration::from_millis(3_700)) {
            old.signal("KILL");
            old.wait(Duration::from_secs(1));
        }
    }

    // Clients hand a message that was given back in again, once, under a new id and after a wait.
    let mut handed_in_again = Vec::new();
    let end = record.now() + 33.0;
    while record.now() < end {
        let notices = platform.notices.lock().unwrap().clone();
        for notice in notices.iter().filter(|notice| notice.status == "deferred" && notice.id.starts_with('m')) {
            let subject = format!("clip{}", &notice.id[1..]);
            if handed_in_again.contains(&subject) || record.now() < notice.at + 0.7 {
                continue;
            }
            hand_in(clients, &message(format!("again-{}", notice.id), &subject), record);
            handed_in_again.push(subject);
        }
        let runs = receiver.runs.lock().unwrap();
        let all_ended = taken.iter().all(|number| {
            let id = format!("m{number:02}");
            runs.iter().any(|run| run.id == id) || notices.iter().any(|notice| notice.id == id)
        });
        drop(runs);
        if all_ended && record.now() > end - 20.0 {
            break;
        }
        thread::sleep(Duration::from_millis(50));
    }
    drop(new);
    drop(old);

    // The rule: the effect of an unsafe message happens once, and none that was given back as surely not run is run.
    let runs = receiver.runs.lock().unwrap().clone();
    let notices = platform.notices.lock().unwrap().clone();
    let mut broken = false;
    for number in &taken {
        let (id, subject) = (format!("m{number:02}"), format!("clip{number:02}"));
        let effects = runs.iter().filter(|run| run.subject == subject).count();
        let deferred = notices.iter().find(|notice| notice.id == id && notice.status == "deferred");
        let ran_after = deferred.is_some_and(|notice| runs.iter().any(|run| run.id == id && run.at > notice.at));
        if effects > 1 {
            record.line(format!("BROKEN: {subject} has run {effects} times"));
            broken = true;
        }
        if ran_after {
            record.line(format!("BROKEN: {id} was given back as not run, and ran after that"));
            broken = true;
        }
        if effects == 0 && !notices.iter().any(|notice| notice.id == id) {
            record.line(format!("BROKEN: {id} has no final answer"));
            broken = true;
        }
    }
    record.line(format!("verdict: {}", if broken { "the rule was broken" } else { "the rule held" }));
    if broken { BROKEN } else { HELD }
}
