//! Case 2: a new version under load, while the old process has a queue for one partner and a slow call to another.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Messages of the clump, and what its partner takes in a second.
const CLUMP: usize = 66;
const RATE: f64 = 20.0;
/// How long a message may be delivered (the deadline of both classes), and how much later its end may come: 300 ms, 50 ms
/// for sockets, or the half second of the standing test, whichever is more.
const REMAINING: f64 = 2.5;
const SLACK: f64 = 0.55;
/// How long the partners work on a call: the usual one and the slow one.
const WORK: Duration = Duration::from_millis(300);
const SLOW_WORK: Duration = Duration::from_millis(1_500);
/// When the slow client has written its message, after SIGTERM.
const SLOW_CLIENT: Duration = Duration::from_millis(1_850);

fn config(platform: SocketAddr, members: &[Member], listen: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{platform}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{},
 "settings":{{"az":0,"azs":["hall-a","hall-b"],"kinds":["any-size"],"me":0,"peers_total":1,"tick":5.0,"weights":"nominal",
  "discovery":"pushed",
  "lanes":[
   {{"name":"clip-drop","effect":"guarded","group":"zone","window":15000.0,"credit":1.0,"target":1500.0,"deadline":2500.0,"late_worth":0.3}},
   {{"name":"clip-status","effect":"free","group":"all","window":5000.0,"credit":3.0,"target":1000.0,"deadline":2500.0,"late_worth":0.3}}],
  "projects":[{{"name":"narmada-sports","fraction":1.0,"quota_per_s":100.0}}],
  "extra":{{"calls_out":12,"kind_apart":[false],"bundle_max":[1]}},
  "limits":{{"cancelling":true,"most_held":120,"max_attempts":12,"connect_timeout":1500.0,"idle_close":15000.0,"retry_after":true,"max_retry_after":3000.0,"second_copies":false}},
  "rules":{{"answer_slack":20.0,"ask_within":10000.0,"cold_from":0.17,"drain_grace":1000.0,"fall_multiple":2.5,"tip_after":3000.0,"warm_within":9300.0}}}}}}"#,
        list_json(members)
    )
}

fn message(id: &str, dest: u16) -> Message {
    Message { class: "clip-status", id: id.to_owned(), key: None, dest, remaining_s: REMAINING, body: b"ready".to_vec() }
}

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case.join("record.txt"));
    let code = play(&root, &record);
    std::process::exit(code);
}

fn play(root: &std::path::Path, record: &Record) -> i32 {
    let usual = Receiver::start("r7", WORK, record);
    let slow = Receiver::start("r8", SLOW_WORK, record);
    let member = |id, addr, cell| Member { id, addr, zone: "hall-a", kind: "any-size", cell, size: RATE };
    let members = [member("club-a", usual.addr, 7), member("club-b", slow.addr, 8)];
    let platform = Platform::start(members.to_vec(), record);
    let folder = Folder::new("review-2");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    folder.write_config(&config(platform.addr, &members, clients));
    let (control_old, control_new) = (free_address(), free_address());
    let start = |control| Start { root, folder: &folder, control: Some(control), listener: Some(listener.as_raw_fd()) };
    let mut old = Program::start("old", &start(control_old), record);
    wait_until_ready(clients, Duration::from_secs(20));

    // A client that takes almost 2 s to write its message connects, and writes the beginning.
    let Ok(mut slow_client) = TcpStream::connect(clients) else { return COULD_NOT_RUN };
    let slow_request = message("slow", 8).request();
    let _ = slow_client.write_all(&slow_request[..40]);
    record.line("slow client: connected, begins to write");

    // The clump: each message is handed in by a client of its own.
    let hand_ins: Vec<_> = (0..CLUMP)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let sent_at = record.now();
                (hand_in(clients, &message(&format!("m{number:02}"), 7), &record), sent_at)
            })
        })
        .collect();
    let handed_in: Vec<(u16, f64)> = hand_ins.into_iter().map(|hand_in| hand_in.join().unwrap()).collect();
    let taken: Vec<(String, f64)> = (0..CLUMP)
        .filter(|&number| handed_in[number].0 == 202)
        .map(|number| (format!("m{number:02}"), handed_in[number].1 + REMAINING))
        .collect();
    record.line(format!("{} of {CLUMP} messages taken on", taken.len()));

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
    let terminated_at = Instant::now();
    thread::sleep(SLOW_CLIENT);
    let _ = slow_client.write_all(&slow_request[40..]);
    record.line("slow client: has written its message");
    let status = read_status(&mut slow_client, Duration::from_millis(400));
    record.line(format!("slow client: answered {status:?}"));
    if trouble() && !old.wait(Duration::from_millis(3_700).saturating_sub(terminated_at.elapsed())) {
        old.signal("KILL");
        old.wait(Duration::from_secs(1));
    }
    thread::sleep(Duration::from_secs(6));
    drop((old, new));

    // The rule: each message that was taken on is delivered, or ended by a notice, by the end of its time and the slack.
    let runs = usual.runs.lock().unwrap().clone();
    let notices = platform.notices.lock().unwrap().clone();
    let mut late = 0;
    for (id, due) in &taken {
        let delivered = runs.iter().filter(|run| run.id == *id).map(|run| run.at);
        let ended = notices.iter().filter(|notice| notice.id == *id).map(|notice| notice.at);
        let end = delivered.chain(ended).fold(f64::INFINITY, f64::min);
        if end > due + SLACK {
            record.line(format!("BROKEN: {id} was due at {due:.3} and ended at {end:.3}, {:.3} s late", end - due));
            late += 1;
        }
    }
    record.line(format!("{late} of {} messages ended later than {SLACK} s after their time", taken.len()));
    record.line(format!("verdict: {}", if late > 0 { "the rule was broken" } else { "the rule held" }));
    if late > 0 { BROKEN } else { HELD }
}
