//! Case 3: a new version under load, with a folder whose path is long, while the partner tells the sender to wait.

mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

/// The wait that the partner tells, and how much later than its start a call counts.
const WAIT: f64 = 0.9;
const LET_THROUGH: f64 = 0.15;
/// Length of the path of the folder that lasts.
const PATH_LEN: usize = 130;

fn config(platform: SocketAddr, members: &[Member], listen: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{platform}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{},
 "settings":{{"az":0,"azs":["hall-a","hall-b"],"kinds":["any-size"],"me":0,"peers_total":1,"tick":5.0,"weights":"nominal",
  "discovery":"pushed",
  "lanes":[
   {{"name":"clip-drop","effect":"guarded","group":"zone","window":15000.0,"credit":1.0,"target":4000.0,"deadline":28000.0,"late_worth":0.3}},
   {{"name":"clip-status","effect":"free","group":"all","window":5000.0,"credit":3.0,"target":2000.0,"deadline":20000.0,"late_worth":0.3}}],
  "projects":[{{"name":"narmada-sports","fraction":1.0,"quota_per_s":50.0}}],
  "extra":{{"calls_out":4,"kind_apart":[false],"bundle_max":[1]}},
  "limits":{{"cancelling":true,"most_held":60,"max_attempts":12,"connect_timeout":1500.0,"idle_close":15000.0,"retry_after":true,"max_retry_after":3000.0,"second_copies":false}},
  "rules":{{"answer_slack":20.0,"ask_within":10000.0,"cold_from":0.17,"drain_grace":1000.0,"fall_multiple":2.5,"tip_after":3000.0,"warm_within":9300.0}}}}}}"#,
        list_json(members)
    )
}

fn message(id: &str) -> Message {
    let key = Some(format!("5c0f6e1a2b3d4c59-{id}"));
    Message { class: "clip-drop", id: id.to_owned(), key, dest: 7, remaining_s: 28.0, body: b"clip".to_vec() }
}

/// A partner: it answers `first` with 429 and a wait once it may, and any other call with 200 at once.
struct Partner {
    addr: SocketAddr,
    may_answer: Arc<Mutex<bool>>,
    told_at: Arc<Mutex<Option<f64>>>,
    calls: Arc<Mutex<Vec<(f64, String)>>>,
}

fn partner(record: &Record) -> Partner {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let partner = Partner { addr, may_answer: Arc::default(), told_at: Arc::default(), calls: Arc::default() };
    let (may_answer, told_at, calls) = (partner.may_answer.clone(), partner.told_at.clone(), partner.calls.clone());
    let record = record.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (may_answer, told_at, calls, record) = (may_answer.clone(), told_at.clone(), calls.clone(), record.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_request(&mut reader) {
                    let id = request.header("x-txn").to_owned();
                    calls.lock().unwrap().push((record.now(), id.clone()));
                    record.line(format!("r1: call {id}"));
                    let answer = if id == "first" && told_at.lock().unwrap().is_none() {
                        while !*may_answer.lock().unwrap() {
                            thread::sleep(Duration::from_millis(1));
                        }
                        let answer = format!("HTTP/1.1 429 Too Many\r\nX-Backoff-Ms: {:.0}\r\nContent-Length: 0\r\n\r\n", WAIT * 1_000.0);
                        *told_at.lock().unwrap() = Some(record.now());
                        answer
                    } else {
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned()
                    };
                    record.line(format!("r1: answers {id}: {:?}", answer.lines().take(2).collect::<Vec<_>>()));
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    partner
}

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case.join("record.txt"));
    let code = play(&root, &record);
    std::process::exit(code);
}

fn play(root: &std::path::Path, record: &Record) -> i32 {
    let partner = partner(record);
    let members = [Member { id: "club-a", addr: partner.addr, zone: "hall-a", kind: "any-size", cell: 7, size: 20.0 }];
    let platform = Platform::start(members.to_vec(), record);
    let short = std::env::temp_dir().as_os_str().len();
    let path_len: usize = std::env::var("PATH_LEN").ok().and_then(|text| text.parse().ok()).unwrap_or(PATH_LEN);
    let folder = Folder::new(&"n".repeat(path_len.saturating_sub(short + 40).max(1)));
    record.line(format!("the folder that lasts has a path of {} bytes", folder.state().as_os_str().len()));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    folder.write_config(&config(platform.addr, &members, clients));
    let (control_old, control_new) = (free_address(), free_address());
    let start = |control| Start { root, folder: &folder, control: Some(control), listener: Some(listener.as_raw_fd()) };
    let mut old = Program::start("old", &start(control_old), record);
    wait_until_ready(clients, Duration::from_secs(20));
    if hand_in(clients, &message("first"), record) != 202 {
        return COULD_NOT_RUN;
    }
    let mut new = None;
    if trouble() {
        new = Some(Program::start("new", &start(control_new), record));
        let asked_until = record.now() + 6.0;
        while !control_call(control_new, "status") {
            if record.now() > asked_until {
                return COULD_NOT_RUN;
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line("new: says yes");
        old.signal("TERM");
    }
    thread::sleep(Duration::from_millis(50));
    *partner.may_answer.lock().unwrap() = true;
    for number in 0..20 {
        hand_in(clients, &message(&format!("m{number:02}")), record);
        thread::sleep(Duration::from_millis(40));
    }
    if trouble() && !old.wait(Duration::from_millis(3_700)) {
        old.signal("KILL");
    }
    thread::sleep(Duration::from_secs(2));
    drop((old, new));

    let Some(told_at) = *partner.told_at.lock().unwrap() else {
        record.line("verdict: could not run: no wait was told");
        return COULD_NOT_RUN;
    };
    let calls = partner.calls.lock().unwrap().clone();
    let in_the_wait = calls.iter().filter(|(at, _)| *at > told_at + LET_THROUGH && *at < told_at + WAIT).count();
    if in_the_wait > 0 {
        record.line(format!("BROKEN: {in_the_wait} calls from 0.15 s after the wait of 0.9 s was told until its end"));
    }
    record.line(format!("verdict: {}", if in_the_wait > 0 { "the rule was broken" } else { "the rule held" }));
    if in_the_wait > 0 { BROKEN } else { HELD }
}
