//! Case 3: bad clients that send the id of another client's open request, and the same again as soon as it is turned away.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::*;

const BAD_CLIENTS: usize = 6;
/// A bad client goes on for so long; each connection is owed an error or a close within 3 s.
const BAD_FOR: f64 = 2.0;
const WORK: Duration = Duration::from_millis(300);

fn config(platform: SocketAddr, members: &[Member], listen: SocketAddr) -> String {
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

fn message(id: &str, text: &str) -> Message {
    Message { class: "clip-drop", id: id.to_owned(), key: None, dest: 7, remaining_s: 28.0, body: format!("{text} of the clip").into_bytes() }
}

fn main() {
    let (root, case) = folders();
    let record = Record::create(&case.join("record.txt"));
    let code = play(&root, &record);
    std::process::exit(code);
}

fn play(root: &std::path::Path, record: &Record) -> i32 {
    let receiver = Receiver::start("r1", WORK, record);
    let members = [Member { id: "club-a", addr: receiver.addr, zone: "hall-a", kind: "any-size", cell: 7, size: 20.0 }];
    let platform = Platform::start(members.to_vec(), record);
    let folder = Folder::new("review-3");
    let listen = free_address();
    folder.write_config(&config(platform.addr, &members, listen));
    let program = Program::start("sender", &Start { root, folder: &folder, control: None, listener: None }, record);
    wait_until_ready(listen, Duration::from_secs(20));

    // Three usual clients, one after another, each with one message that may not be repeated.
    for number in 0..3 {
        let id = format!("9b1f03aa5c7e2d4{number}");
        if hand_in(listen, &message(&id, "the-client"), record) != 202 {
            record.line("verdict: could not run: the message was not taken on");
            return COULD_NOT_RUN;
        }
        let bad_clients: Vec<_> = (0..if trouble() { BAD_CLIENTS } else { 0 })
            .map(|bad| {
                let (record, id) = (record.clone(), id.clone());
                thread::spawn(move || {
                    let until = record.now() + BAD_FOR;
                    while record.now() < until {
                        match hand_in(listen, &message(&id, &format!("bad-client-{bad}")), &record) {
                            429 | 503 => {}
                            _ => return,
                        }
                    }
                })
            })
            .collect();
        bad_clients.into_iter().for_each(|client| client.join().unwrap());
        thread::sleep(Duration::from_millis(1_500));
    }
    drop(program);

    // The rule: a message that may not be repeated runs once.
    let runs = receiver.runs.lock().unwrap().clone();
    let mut broken = false;
    for number in 0..3 {
        let id = format!("9b1f03aa5c7e2d4{number}");
        let of_message: Vec<&Run> = runs.iter().filter(|run| run.id == id).collect();
        if of_message.len() > 1 {
            let whose: Vec<&str> = of_message.iter().map(|run| run.subject.as_str()).collect();
            record.line(format!("BROKEN: {id} has run {} times: {whose:?}", of_message.len()));
            broken = true;
        }
        if of_message.is_empty() {
            record.line(format!("BROKEN: {id} was taken on and has not run"));
            broken = true;
        }
    }
    record.line(format!("verdict: {}", if broken { "the rule was broken" } else { "the rule held" }));
    if broken { BROKEN } else { HELD }
}
