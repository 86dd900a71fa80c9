//! Case 7: the copy of an answer, held up on its way between the halls, is taken for the answer to the next call.

mod common;

use common::{Answer, CallEnd, Calls, Client, Member, Message, Platform, Reaction, Run, Sender, Settings};
use common::{answer, ms, random, start_network, start_receiver};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

const DEST: u16 = 7;
/// The way between the halls takes 110 ms, up to 23% less or more.
const WAY_MS: (u64, u64) = (85, 135);
/// The partner's time for a call.
const WORK_MS: u64 = 200;
/// The partner takes so many calls in each second and turns the others away.
const CALLS_PER_S: usize = 8;
/// A copy follows one in so many answers with 200, so long behind it.
const COPY_ONE_IN: u64 = 4;
const COPY_BEHIND_MS: u64 = 10;
/// How long messages are handed in, in seconds of the run.
const TRAFFIC: (f64, f64) = (2.0, 50.0);
const REMAINING_S: f64 = 8.0;
/// A message that is not over half a second after its time is lost; each time limit is 50 ms longer on sockets.
const OVERDUE_AFTER: f64 = 0.5 + 0.05;

fn main() {
    let run = Run::start();
    let calls = Calls::default();
    let (taken, at_partner) = (Arc::new(Mutex::new((0, 0))), run.clone());
    let partner = start_receiver(&run, "partner-b", &calls, move |call| {
        let second = call.at as u64;
        let mut taken = taken.lock().unwrap();
        if taken.0 != second {
            *taken = (second, 0);
        }
        taken.1 += 1;
        if taken.1 > CALLS_PER_S {
            return answer(503, 5);
        }
        let work = WORK_MS / 2 + random(WORK_MS);
        if !at_partner.trouble || random(COPY_ONE_IN) > 0 {
            return answer(200, work);
        }
        let response = b"HTTP/1.1 200 answer\r\nContent-Length: 0\r\n\r\n".to_vec();
        Reaction { raw: vec![(ms(0), response.clone()), (ms(COPY_BEHIND_MS), response)], ..answer(200, work) }
    });
    let over_the_way = start_network(partner, WAY_MS);
    let members = [Member::serving("partner-b", over_the_way, "hall-b", DEST, CALLS_PER_S as f64)];
    let platform = Platform::start(&run, &members);
    let settings = Settings { calls_out: 4, ..Settings::default() };
    let sender = Sender::new(&run, &platform, &settings, &platform.list(), false);
    let _process = sender.spawn("sender");
    sender.wait_ready();

    run.sleep_until(TRAFFIC.0);
    let handed_in: Arc<Mutex<Vec<(Message, Answer, f64)>>> = Arc::default();
    let clients: Vec<_> = ["clip-drop", "clip-status", "clip-drop", "clip-status"]
        .into_iter()
        .map(|class| {
            let (run, handed_in) = (run.clone(), handed_in.clone());
            let mut client = Client::new(&run, sender.listen);
            spawn(move || {
                while run.now() < TRAFFIC.1 {
                    let message = Message::new(class, DEST, REMAINING_S);
                    let answer = client.hand_in(&message);
                    handed_in.lock().unwrap().push((message, answer, run.now()));
                    sleep(ms(300 + random(400)));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    run.sleep_until(TRAFFIC.1 + REMAINING_S + OVERDUE_AFTER + 1.5);

    let notices = platform.notices();
    let mut violations = Vec::new();
    let handed_in = handed_in.lock().unwrap();
    for (message, _, answered_at) in handed_in.iter().filter(|(_, answer, _)| answer.is_taken_on()) {
        let overdue_at = answered_at + message.remaining + OVERDUE_AFTER;
        let attempts = calls.of(&message.id);
        // An answer with 200 that was written may still be on its way; it counts all the same.
        let delivered =
            attempts.iter().any(|call| call.end == CallEnd::Answered(200) && call.ended_at <= overdue_at);
        let ended = notices.iter().any(|notice| notice.id == message.id && notice.at <= overdue_at);
        if !delivered && !ended {
            let seen: Vec<String> = attempts
                .iter()
                .map(|call| format!("{:.3} to {:.3} {:?}", call.at, call.ended_at, call.end))
                .collect();
            violations.push(format!(
                "{} was taken on at {answered_at:.3} and neither delivered nor ended by a notice until {overdue_at:.3}; \
                 its calls: {}",
                message.id,
                seen.join(", ")
            ));
        }
    }
    run.note(&format!(
        "handed in {}, calls {}, notices {}",
        handed_in.len(),
        calls.all().len(),
        notices.len()
    ));
    run.finish("lost", &violations)
}
