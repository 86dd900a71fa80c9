//! Case 6: a client is told that its message is taken on, but the sender has only the message of a bad client with the same
//! id.

mod common;

use common::{Answer, CallEnd, Calls, Client, Member, Message, Platform, Run, Sender, Settings};
use common::{answer, loopback, ms, read_message, start_receiver};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Usual clients whose ids the bad client uses.
const SLOW_CLIENTS: usize = 5;
/// How long each of them takes to write its message.
const WRITING: Duration = ms(1_000);
/// When the bad client sends, after the beginning of the usual client's request.
const BAD_CLIENT_AFTER: Duration = ms(400);
/// The usual clients' destination, and that of the bad client's requests.
const DEST: u16 = 7;
const OTHER_DEST: u16 = 8;
/// A message that is not over half a second after its time is lost; each time limit is 50 ms longer on sockets.
const OVERDUE_AFTER: f64 = 0.5 + 0.05;

fn main() {
    let run = Run::start();
    let calls = Calls::default();
    let mut members = Vec::new();
    for cell in [DEST, OTHER_DEST] {
        for hall in ["hall-a", "hall-b"] {
            let name = format!("partner-{cell}-{hall}");
            let addr = start_receiver(&run, &name, &calls, |_| answer(200, 250));
            members.push(Member::serving(&name, addr, hall, cell, 20.0));
        }
    }
    let platform = Platform::start(&run, &members);
    let sender = Sender::new(&run, &platform, &Settings::default(), &platform.list(), false);
    let _process = sender.spawn("sender");
    sender.wait_ready();
    for dest in [DEST, OTHER_DEST] {
        let mut client = Client::new(&run, sender.listen);
        spawn(move || {
            loop {
                client.hand_in(&Message::new("clip-status", dest, 20.0));
                sleep(ms(200));
            }
        });
    }
    run.sleep_until(3.0);

    let writers: Vec<_> = (0..SLOW_CLIENTS)
        .map(|_| {
            sleep(ms(200));
            let message = Message::new("clip-drop", DEST, 6.0);
            let (run, listen) = (run.clone(), sender.listen);
            spawn(move || {
                let bad =
                    Message { dest: OTHER_DEST, body: b"the bad client's body".to_vec(), ..message.clone() };
                let answer = write_slowly(&run, listen, &message, |run| {
                    if run.trouble {
                        run.note("a bad client uses the id of this open request");
                        Client::new(run, listen).hand_in(&bad);
                    }
                });
                (message, answer, run.now())
            })
        })
        .collect();
    let handed_in: Vec<(Message, Answer, f64)> =
        writers.into_iter().filter_map(|writer| writer.join().ok()).collect();
    let longest = handed_in.iter().map(|(message, _, at)| at + message.remaining).fold(0.0, f64::max);
    run.sleep_until(longest + OVERDUE_AFTER + 1.0);

    let notices = platform.notices();
    let mut violations = Vec::new();
    for (message, answer, written_at) in &handed_in {
        run.note(&format!("{}: its client was answered {answer:?}", message.id));
        if !answer.is_taken_on() {
            continue;
        }
        let overdue_at = written_at + message.remaining + OVERDUE_AFTER;
        let attempts = calls.of(&message.id);
        let delivered = attempts.iter().any(|call| {
            call.body == message.body
                && call.receiver.starts_with(&format!("partner-{DEST}-"))
                && call.end == CallEnd::Answered(200)
                && call.ended_at <= overdue_at
        });
        let ended = notices.iter().any(|notice| notice.id == message.id && notice.at <= overdue_at);
        if !delivered && !ended {
            let seen: Vec<String> = attempts
                .iter()
                .map(|call| format!("{} got {:?}", call.receiver, String::from_utf8_lossy(&call.body)))
                .collect();
            violations.push(format!(
                "{} to dest {DEST} was taken on at {written_at:.3} and neither delivered nor ended by a notice until \
                 {overdue_at:.3}; calls with its id: {}",
                message.id,
                seen.join(", ")
            ));
        }
    }
    run.finish("lost", &violations)
}

/// Hands a message in on a new connection, in two pieces; `meanwhile` runs between them.
fn write_slowly(run: &Run, listen: SocketAddr, message: &Message, meanwhile: impl FnOnce(&Run)) -> Answer {
    let listen = loopback(listen.port());
    let Ok(mut stream) = TcpStream::connect(listen) else { return Answer::NotConnected };
    let _ = stream.set_nodelay(true);
    let request = message.request();
    let cut = request.len() - message.body.len() / 2;
    run.note(&format!("{} to dest {}: the client begins to write", message.id, message.dest));
    if stream.write_all(&request[..cut]).is_err() {
        return Answer::Closed;
    }
    sleep(BAD_CLIENT_AFTER);
    meanwhile(run);
    sleep(WRITING - BAD_CLIENT_AFTER);
    if stream.write_all(&request[cut..]).is_err() {
        return Answer::Closed;
    }
    run.note(&format!("{}: the last byte is written", message.id));
    let _ = stream.set_read_timeout(Some(ms(400)));
    match read_message(&mut stream, &mut Vec::new(), || ()) {
        Some(response) => {
            let status = response.first_line.split(' ').nth(1).and_then(|text| text.parse().ok());
            Answer::Status(status.unwrap_or(0))
        }
        None => Answer::Nothing,
    }
}
