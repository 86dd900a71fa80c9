//! Stand-ins and helpers that the cases of this review share: receivers, the platform (discovery and notices), clients,
//! and the processes of a sender. Only the standard library is used.
//!
//! Each stand-in does what PROTOCOL-rudderspindle.md says of its side. All addresses are loopback addresses.

#![allow(dead_code, reason = "no case uses all helpers")]

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn dup2(old: i32, new: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Longest time of a whole run; after it the case counts as not run.
const RUN_LIMIT: Duration = Duration::from_secs(110);

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The run of one case: its clock, its record, its folder and the processes that it has to end.
#[derive(Clone)]
pub struct Run {
    start: Instant,
    record: Arc<Mutex<File>>,
    pub folder: PathBuf,
    processes: Arc<Mutex<Vec<i32>>>,
    /// Whether the disruption happens; not with `TROUBLE=0`.
    pub trouble: bool,
}

impl Run {
    /// Starts a run. The first argument names the file of the record.
    pub fn start() -> Self {
        let record = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)
            .unwrap_or_else(|error| cannot_run(&format!("temporary folder: {error}")));
        let record = File::create(&record).unwrap_or_else(|error| cannot_run(&format!("{record}: {error}")));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let run = Self {
            start: Instant::now(),
            record: Arc::new(Mutex::new(record)),
            folder,
            processes: Arc::default(),
            trouble,
        };
        let panicked = run.clone();
        std::panic::set_hook(Box::new(move |info| {
            panicked.cannot_run(&format!("the case itself failed: {info}"))
        }));
        let watchdog = run.clone();
        spawn(move || {
            sleep(RUN_LIMIT);
            watchdog.cannot_run("the run took too long");
        });
        run
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.now();
        if left > 0.0 {
            sleep(Duration::from_secs_f64(left));
        }
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let line = format!("{:8.3} {line}\n", self.now());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// Ends the run: 1 if there are violations of the rule, 0 if the rule held.
    pub fn finish(&self, rule: &str, violations: &[String]) -> ! {
        for violation in violations {
            self.note(&format!("BROKEN {violation}"));
        }
        let code = i32::from(!violations.is_empty());
        let result = if code == 1 { "broken" } else { "held" };
        self.note(&format!("RESULT rule {rule} {result}, trouble {}", u8::from(self.trouble)));
        println!("rule {rule} {result} ({} violations)", violations.len());
        self.clean_up();
        exit(code)
    }

    /// Ends the run because it cannot show anything.
    pub fn cannot_run(&self, reason: &str) -> ! {
        self.note(&format!("NOT RUN {reason}"));
        self.clean_up();
        cannot_run(reason)
    }

    fn clean_up(&self) {
        for &pid in self.processes.lock().unwrap().iter() {
            // SAFETY: kill has no effect on this process's memory; the pid is that of a child that was not reaped.
            unsafe { kill(pid, SIGKILL) };
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    exit(2)
}

/// A free loopback port.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).expect("a free port");
    listener.local_addr().expect("an address")
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

/// A parsed HTTP request or response: first line, headers by lower-case name, body.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; `None` at the end of the connection. `first_byte` is called once a byte has come.
pub fn read_message(
    stream: &mut TcpStream,
    buffered: &mut Vec<u8>,
    mut first_byte: impl FnMut(),
) -> Option<HttpMessage> {
    let mut seen = false;
    loop {
        if !buffered.is_empty() && !seen {
            seen = true;
            first_byte();
        }
        if let Some(message) = parse(buffered) {
            return Some(message);
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => buffered.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

fn parse(buffered: &mut Vec<u8>) -> Option<HttpMessage> {
    let head_end = buffered.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffered[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if buffered.len() < head_end + length {
        return None;
    }
    let body = buffered[head_end..head_end + length].to_vec();
    buffered.drain(..head_end + length);
    Some(HttpMessage { first_line, headers, body })
}

/// Whether the other side has ended the connection.
fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Whether bytes have come that were not read.
fn has_unread(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(1..))
}

/// Starts the network between a sender and `target`: each piece of bytes takes a time from `delay_ms`, drawn anew, and pieces
/// of one direction stay in order. The end of a connection takes its time too.
pub fn start_network(target: SocketAddr, delay_ms: (u64, u64)) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            for (from, to) in [(&near, &far), (&far, &near)] {
                let _ = from.set_nodelay(true);
                if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                    carry(from, to, delay_ms);
                }
            }
        }
    });
    addr
}

/// Carries the bytes of one direction.
fn carry(mut from: TcpStream, mut to: TcpStream, (least, most): (u64, u64)) {
    let (pieces, arriving) = std::sync::mpsc::channel::<(Instant, Option<Vec<u8>>)>();
    spawn(move || {
        let mut chunk = [0; 64 * 1024];
        loop {
            let length = from.read(&mut chunk).unwrap_or(0);
            let piece = (length > 0).then(|| chunk[..length].to_vec());
            let ended = piece.is_none();
            let delay = Duration::from_micros(least * 1_000 + random((most - least) * 1_000 + 1));
            if pieces.send((Instant::now() + delay, piece)).is_err() || ended {
                return;
            }
        }
    });
    spawn(move || {
        for (at, piece) in arriving {
            sleep(at.saturating_duration_since(Instant::now()));
            let written = piece.map(|bytes| to.write_all(&bytes));
            if !matches!(written, Some(Ok(()))) {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    });
}

/// A random number below `bound`; the sequence is the same in each run.
pub fn random(bound: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut mixed =
        STATE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed).wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (mixed ^ (mixed >> 31)) % bound
}

/// Makes the close of the connection a reset.
fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // SAFETY: the pointer is valid for the call, and the length is that of the value.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &Linger { on: 1, seconds: 0 }, 8) };
}

/// What a receiver does with a call.
#[derive(Clone, Debug)]
pub struct Reaction {
    /// Time from the call's last byte to the answer; `None` for no answer.
    pub after: Option<Duration>,
    pub status: u16,
    /// Further header lines, each with its line end.
    pub headers: String,
    /// The connection is reset in place of an answer.
    pub reset: bool,
    /// Pieces that are written in place of a well-formed answer, each after a pause; the connection stays open.
    pub raw: Vec<(Duration, Vec<u8>)>,
}

pub fn answer(status: u16, after_ms: u64) -> Reaction {
    Reaction { after: Some(ms(after_ms)), status, headers: String::new(), reset: false, raw: Vec::new() }
}

/// How a call has ended at the receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallEnd {
    /// Still out.
    Out,
    /// Its answer was written.
    Answered(u16),
    /// Its connection ended before an answer was written.
    GivenUp,
}

/// A call that a receiver has got.
#[derive(Clone, Debug)]
pub struct Call {
    pub receiver: String,
    pub id: String,
    pub key: String,
    pub body: Vec<u8>,
    /// When the first and the last byte came, in seconds of the run.
    pub began_at: f64,
    pub at: f64,
    pub end: CallEnd,
    pub ended_at: f64,
}

/// The calls of all receivers, in the order of their last bytes.
#[derive(Clone, Default)]
pub struct Calls(Arc<Mutex<Vec<Call>>>);

impl Calls {
    pub fn all(&self) -> Vec<Call> {
        self.0.lock().unwrap().clone()
    }

    pub fn of(&self, id: &str) -> Vec<Call> {
        self.all().into_iter().filter(|call| call.id == id).collect()
    }
}

/// Starts a receiver at a free loopback address. `react` decides what becomes of each call.
pub fn start_receiver(
    run: &Run,
    name: &str,
    calls: &Calls,
    react: impl Fn(&Call) -> Reaction + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let react = Arc::new(react);
    let (run, name, calls) = (run.clone(), name.to_owned(), calls.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (run, name, calls, react) = (run.clone(), name.clone(), calls.clone(), react.clone());
            spawn(move || serve_sender(&run, &name, &calls, &*react, stream));
        }
    });
    addr
}

fn serve_sender(
    run: &Run,
    name: &str,
    calls: &Calls,
    react: &(impl Fn(&Call) -> Reaction + ?Sized),
    mut stream: TcpStream,
) {
    let _ = stream.set_nodelay(true);
    let mut buffered = Vec::new();
    loop {
        let mut began_at = 0.0;
        let Some(message) = read_message(&mut stream, &mut buffered, || began_at = run.now()) else { return };
        if !message.first_line.starts_with("POST /v1/messages ") {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let call = Call {
            receiver: name.to_owned(),
            id: message.header("x-txn").to_owned(),
            key: message.header("idempotency-key").to_owned(),
            body: message.body,
            began_at,
            at: run.now(),
            end: CallEnd::Out,
            ended_at: f64::INFINITY,
        };
        run.note(&format!("call {} at {name}", call.id));
        let reaction = react(&call);
        let number = {
            let mut all = calls.0.lock().unwrap();
            all.push(call.clone());
            all.len() - 1
        };
        let answer_at = reaction.after.map(|after| Instant::now() + after);
        let mut given_up = false;
        while answer_at.is_none_or(|at| Instant::now() < at) {
            if has_ended(&stream) {
                given_up = true;
                break;
            }
            let left = answer_at.map_or(ms(5), |at| at.saturating_duration_since(Instant::now()));
            sleep(left.min(ms(5)));
        }
        let mut end = CallEnd::GivenUp;
        if reaction.reset && !given_up {
            reset(&stream);
        } else if !reaction.raw.is_empty() && !given_up {
            // The status counts as answered once the first piece is written.
            for (index, (pause, bytes)) in reaction.raw.iter().enumerate() {
                sleep(*pause);
                if index > 0 && has_unread(&stream) {
                    // Nothing is added behind an answer once something else waits on the connection.
                    break;
                }
                if stream.write_all(bytes).is_err() {
                    break;
                }
                if index == 0 {
                    end = CallEnd::Answered(reaction.status);
                    let mut all = calls.0.lock().unwrap();
                    all[number].end = end;
                    all[number].ended_at = run.now();
                }
            }
        } else if !given_up {
            let head = format!(
                "HTTP/1.1 {} answer\r\nContent-Length: 0\r\n{}\r\n",
                reaction.status, reaction.headers
            );
            if stream.write_all(head.as_bytes()).is_ok() {
                end = CallEnd::Answered(reaction.status);
            }
        }
        {
            let mut all = calls.0.lock().unwrap();
            if all[number].end == CallEnd::Out {
                all[number].end = end;
                all[number].ended_at = run.now();
            }
        }
        run.note(&format!("call {} at {name} ended: {end:?}", call.id));
        if end == CallEnd::GivenUp {
            return;
        }
    }
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub hall: String,
    pub kind: String,
    pub cell: u16,
    pub phase: String,
    pub rate: f64,
}

impl Member {
    pub fn serving(id: &str, addr: SocketAddr, hall: &str, cell: u16, rate: f64) -> Self {
        Self {
            id: id.into(),
            addr,
            hall: hall.into(),
            kind: "any-size".into(),
            cell,
            phase: "SERVING".into(),
            rate,
        }
    }

    fn json(&self) -> String {
        let Self { id, addr, hall, kind, cell, phase, rate } = self;
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"{addr}\",\"locality\":\"{hall}\",\"flavor\":\"{kind}\",\
             \"cell\":{cell},\"phase\":\"{phase}\",\"size\":{rate:?},\"up_since_ms\":0}}"
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// A notice that the platform has got.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    pub status: String,
    pub at: f64,
}

#[derive(Default)]
struct PlatformState {
    revision: u64,
    /// All entries, those that are gone included, with the revision of their last change.
    members: Vec<(u64, Member)>,
    notices: Vec<Notice>,
}

/// The platform: discovery's agent, and the place for notices.
#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    /// While discovery is down the agent is silent; notices are still answered.
    silent: Arc<AtomicBool>,
    run: Run,
}

impl Platform {
    pub fn start(run: &Run, members: &[Member]) -> Self {
        let listener = TcpListener::bind(loopback(0)).expect("a free port");
        let state = PlatformState {
            revision: 1,
            members: members.iter().map(|member| (1, member.clone())).collect(),
            notices: Vec::new(),
        };
        let platform = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(state)),
            silent: Arc::default(),
            run: run.clone(),
        };
        let served = platform.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = served.clone();
                spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    /// Adds or changes an entry.
    pub fn change(&self, member: Member) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        self.run.note(&format!("discovery: {} is {}", member.id, member.phase));
        state.members.retain(|(_, known)| known.id != member.id);
        state.members.push((revision, member));
    }

    pub fn set_silent(&self, silent: bool) {
        self.run.note(&format!("discovery silent: {silent}"));
        self.silent.store(silent, Ordering::SeqCst);
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.lock().unwrap().notices.clone()
    }

    /// The list as discovery's whole answer.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let members: Vec<Member> = state
            .members
            .iter()
            .map(|(_, member)| member.clone())
            .filter(|member| member.phase != "DELETED")
            .collect();
        list_json(state.revision, true, &members)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffered = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffered, || ()) {
            let sent = if message.first_line.starts_with("POST /reports ") {
                self.take_notices(&message.body);
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
            } else if message.first_line.contains("watch=1") {
                let from = message.first_line.split("from=").nth(1).unwrap_or("0");
                let from = from.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(&mut stream, from);
                return;
            } else if message.first_line.starts_with("GET /api/targets ") {
                self.wait_while_silent();
                let list = self.list();
                stream.write_all(
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes(),
                )
            } else {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn wait_while_silent(&self) {
        while self.silent.load(Ordering::SeqCst) {
            sleep(ms(10));
        }
    }

    /// Serves a watch until its connection ends: the changes after `from`, and an empty line every 2 s.
    fn watch(&self, stream: &mut TcpStream, mut from: u64) {
        self.wait_while_silent();
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut written_at = Instant::now();
        loop {
            self.wait_while_silent();
            let line = {
                let state = self.state.lock().unwrap();
                let changed: Vec<Member> = state
                    .members
                    .iter()
                    .filter(|(revision, _)| *revision > from)
                    .map(|(_, member)| member.clone())
                    .collect();
                from = from.max(state.revision);
                (!changed.is_empty()).then(|| list_json(from, false, &changed))
            };
            let line = match line {
                Some(line) => line + "\n",
                None if written_at.elapsed() >= ms(2_000) => "\n".to_owned(),
                None => {
                    if has_ended(stream) {
                        return;
                    }
                    sleep(ms(5));
                    continue;
                }
            };
            written_at = Instant::now();
            if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn take_notices(&self, body: &[u8]) {
        let at = self.run.now();
        let field = |line: &str, name: &str| {
            let value = line.split(&format!("\"{name}\":\"")).nth(1).unwrap_or_default();
            value.split('"').next().unwrap_or_default().to_owned()
        };
        for line in String::from_utf8_lossy(body).lines() {
            let notice = Notice { id: field(line, "id"), status: field(line, "status"), at };
            self.run.note(&format!("notice {} {}", notice.id, notice.status));
            self.state.lock().unwrap().notices.push(notice);
        }
    }
}

/// What the settings of a case say; the figures are those of the wire page's example.
#[derive(Clone)]
pub struct Settings {
    pub sockets: u32,
    pub calls_out: u32,
    pub drop_deadline: u32,
    pub status_deadline: u32,
    /// The class `clip-drop`: `guarded` with its group and window, or another effect.
    pub drop_effect: String,
    pub kind_apart: bool,
    /// Further classes, each with a comma before it.
    pub further_classes: String,
    /// `pushed` or `on_request`.
    pub discovery: String,
    pub peers_total: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sockets: 1024,
            calls_out: 24,
            drop_deadline: 28_000,
            status_deadline: 20_000,
            drop_effect: "\"effect\": \"guarded\", \"group\": \"zone\", \"window\": 15000.0".into(),
            kind_apart: false,
            further_classes: String::new(),
            discovery: "pushed".into(),
            peers_total: 1,
        }
    }
}

impl Settings {
    fn json(&self) -> String {
        let Self {
            calls_out, drop_deadline, status_deadline, drop_effect, kind_apart, further_classes, ..
        } = self;
        let Self { discovery, peers_total, .. } = self;
        format!(
            r#"{{"az": 0, "azs": ["hall-a", "hall-b"], "clients": {{"marks_retry": false}}, "discovery": "{discovery}",
 "extra": {{"bundle_max": [1], "calls_out": {calls_out}, "kind_apart": [{kind_apart}], "loses_worth": "linear"}},
 "family": "deliver", "kinds": ["any-size"],
 "lanes": [
  {{"name": "clip-drop", "credit": 1.0, "deadline": {drop_deadline}.0, {drop_effect}, "late_worth": 0.3, "target": 2000.0}},
  {{"name": "clip-status", "credit": 3.0, "deadline": {status_deadline}.0, "effect": "free", "late_worth": 0.3, "target": 2000.0}}{further_classes}],
 "layer": 0,
 "limits": {{"cancelling": true, "connect_timeout": 1500.0, "idle_close": 15000.0, "max_attempts": 12,
  "max_retry_after": 3000.0, "max_streams": 1, "most_held": 298, "peers": false, "probing": true, "retry_after": true,
  "second_copies": false}},
 "me": 0, "over_share_worth": 0.2, "peers_total": {peers_total},
 "projects": [{{"fraction": 1.0, "name": "narmada-sports", "quota_per_s": 100.0}}],
 "rules": {{"answer_slack": 20.0, "ask_within": 10000.0, "cold_from": 0.17, "drain_grace": 1000.0,
  "fall_multiple": 2.5, "tip_after": 3000.0, "warm_within": 9300.0}},
 "tick": 5.0, "tiers": ["partners"], "weights": "nominal", "worth_by": "request"}}"#
        )
    }
}

/// The folders, the configuration and the clients' listening socket of one sender.
pub struct Sender {
    run: Run,
    pub listen: SocketAddr,
    config: PathBuf,
    state: PathBuf,
    tmp: PathBuf,
    /// The clients' socket, if the platform keeps it and each process inherits it.
    listener: Option<TcpListener>,
}

impl Sender {
    /// Writes the configuration. `inherited`: the platform keeps the clients' listening socket.
    pub fn new(run: &Run, platform: &Platform, settings: &Settings, known: &str, inherited: bool) -> Self {
        let (state, tmp) = (run.folder.join("state"), run.folder.join("tmp"));
        std::fs::create_dir_all(&state).expect("a folder");
        std::fs::create_dir_all(&tmp).expect("a folder");
        let listener = TcpListener::bind(loopback(0)).expect("a free port");
        let listen = listener.local_addr().expect("an address");
        let sender = Self {
            run: run.clone(),
            listen,
            config: run.folder.join("config.json"),
            state,
            tmp,
            listener: inherited.then_some(listener),
        };
        sender.write_config(platform.addr, settings, known);
        sender
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, discovery: SocketAddr, settings: &Settings, known: &str) {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
        let config = format!(
            "{{\"name\": \"n0\", \"listen\": \"{}\", \"discovery\": \"{discovery}\", \"seed\": \"{seed:016x}\",\n \
             \"limits\": {{\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": {}, \"disk_mb\": 3}},\n \
             \"known\": {known},\n \"settings\": {}}}\n",
            self.listen,
            settings.sockets,
            settings.json()
        );
        let new = self.config.with_extension("new");
        std::fs::write(&new, config).expect("a configuration");
        std::fs::rename(new, &self.config).expect("a configuration");
    }

    /// Starts a process with the deploy file's `run`, from the repository's root. Each process has a control address of
    /// its own.
    pub fn spawn(&self, name: &str) -> Process {
        let deploy = std::fs::read_to_string("deploy/balancer.toml")
            .unwrap_or_else(|error| self.run.cannot_run(&format!("deploy/balancer.toml: {error}")));
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let Some(command) = command.and_then(|line| line.split('"').next()) else {
            self.run.cannot_run("no run in the deploy file")
        };
        let log = File::create(std::env::args().nth(2).map_or_else(
            || self.run.folder.join(format!("{name}.log")),
            |folder| Path::new(&folder).join(format!("{name}.log")),
        ));
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let control = free_addr();
        let mut process = Command::new("/bin/sh");
        process.args(["-c", command]).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        process.env_clear();
        for variable in ["PATH", "HOME", "RELAY_LOG"] {
            if let Some(value) = std::env::var_os(variable) {
                process.env(variable, value);
            }
        }
        process
            .env("TMPDIR", &self.tmp)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", self.listen.to_string())
            .env("RELAY_CONFIG", &self.config)
            .env("RELAY_STATE", &self.state)
            .env("RELAY_CONTROL", control.to_string());
        let descriptor: Option<RawFd> = self.listener.as_ref().map(AsRawFd::as_raw_fd);
        if descriptor.is_some() {
            process.env("RELAY_ACCEPT_FD", "3");
        }
        // The process is killed if the case ends without ending it.
        const PR_SET_PDEATHSIG: i32 = 1;
        // SAFETY: prctl and dup2 are async-signal-safe, and the listener outlives the call.
        unsafe {
            process.pre_exec(move || {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                match descriptor {
                    Some(descriptor) if dup2(descriptor, 3) != 3 => Err(std::io::Error::last_os_error()),
                    _ => Ok(()),
                }
            });
        }
        let child = process.spawn().unwrap_or_else(|error| self.run.cannot_run(&error.to_string()));
        self.run.processes.lock().unwrap().push(child.id() as i32);
        self.run.note(&format!("{name} started"));
        Process { run: self.run.clone(), name: name.into(), child, control }
    }

    /// Waits until the sender's address answers that it is ready.
    pub fn wait_ready(&self) {
        for _ in 0..300 {
            if is_ready(self.listen) {
                self.run.note("ready");
                return;
            }
            sleep(ms(20));
        }
        self.run.cannot_run("the sender is not ready within 6 s");
    }
}

/// Whether `GET /-/ready` is answered with 200.
pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr) else { return false };
    let _ = stream.set_read_timeout(Some(ms(500)));
    let sent = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    if sent.is_err() {
        return false;
    }
    read_message(&mut stream, &mut Vec::new(), || ())
        .is_some_and(|message| message.first_line.starts_with("HTTP/1.1 200"))
}

/// A process of the sender.
pub struct Process {
    run: Run,
    pub name: String,
    child: Child,
    control: SocketAddr,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        self.run.note(&format!("signal {signal} to {}", self.name));
        // SAFETY: kill has no effect on this process's memory.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Calls the control address; returns the first line of the reply, or nothing without one.
    pub fn control(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.control) else { return String::new() };
        let _ = stream.set_read_timeout(Some(ms(1_000)));
        let mut reply = String::new();
        if stream.write_all(format!("{line}\n").as_bytes()).is_ok() {
            let _ = stream.read_to_string(&mut reply);
        }
        reply.lines().next().unwrap_or_default().to_owned()
    }

    /// Waits until this process says yes to `status`.
    pub fn wait_yes(&self) {
        for _ in 0..600 {
            if self.control("status").starts_with("done") {
                self.run.note(&format!("{} says yes", self.name));
                return;
            }
            sleep(ms(10));
        }
        self.run.cannot_run("the process does not say yes within 6 s");
    }

    /// Waits for the end of the process, up to `limit`; returns whether it has ended.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.run.note(&format!("{} ended: {status}", self.name));
                self.forget();
                return true;
            }
            sleep(ms(5));
        }
        false
    }

    /// SIGTERM, and SIGKILL 3.7 s later.
    pub fn terminate(&mut self) {
        self.signal(SIGTERM);
        if !self.wait(ms(3_700)) {
            self.kill();
        }
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        self.forget();
    }

    fn forget(&self) {
        let pid = self.child.id() as i32;
        self.run.processes.lock().unwrap().retain(|&other| other != pid);
    }
}

/// A message that a client hands in.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub class: String,
    pub dest: u16,
    pub remaining: f64,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(class: &str, dest: u16, remaining: f64) -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let key = (class == "clip-drop").then(|| format!("key-{id}"));
        Self { body: format!("body of {id}").into_bytes(), id, class: class.into(), dest, remaining, key }
    }

    pub fn request(&self) -> Vec<u8> {
        let key = self.key.as_ref().map_or_else(String::new, |key| format!("Idempotency-Key: {key}\r\n"));
        let mut request = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {}\r\nX-Org: narmada-sports\r\nX-Remaining: {:.3}\r\n\
             {key}Content-Length: {}\r\nX-Route-To: dest={}\r\n\r\n",
            self.class,
            self.id,
            self.remaining,
            self.body.len(),
            self.dest
        )
        .into_bytes();
        request.extend_from_slice(&self.body);
        request
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Status(u16),
    /// The connection ended with no answer.
    Closed,
    /// No answer within 400 ms; the client has closed the connection.
    Nothing,
    /// The connection could not be opened.
    NotConnected,
}

impl Answer {
    pub fn is_taken_on(self) -> bool {
        matches!(self, Self::Status(200 | 202))
    }
}

/// A client with one kept connection.
pub struct Client {
    run: Run,
    addr: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(run: &Run, addr: SocketAddr) -> Self {
        Self { run: run.clone(), addr, stream: None }
    }

    /// Hands a message in, on the kept connection if it is open. A request that crosses the end of a kept connection is
    /// sent once more on a new one.
    pub fn hand_in(&mut self, message: &Message) -> Answer {
        let kept = self.stream.take();
        let was_kept = kept.is_some();
        let mut answer = self.try_hand_in(kept, message);
        if was_kept && answer == Answer::Closed {
            answer = self.try_hand_in(None, message);
        }
        self.run.note(&format!("{} {} to dest {}: {answer:?}", message.class, message.id, message.dest));
        answer
    }

    fn try_hand_in(&mut self, kept: Option<TcpStream>, message: &Message) -> Answer {
        let stream = kept.or_else(|| TcpStream::connect(self.addr).ok());
        let Some(mut stream) = stream else { return Answer::NotConnected };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(400)));
        if stream.write_all(&message.request()).is_err() {
            return Answer::Closed;
        }
        let started = Instant::now();
        match read_message(&mut stream, &mut Vec::new(), || ()) {
            Some(response) => {
                if !response.header("connection").eq_ignore_ascii_case("close") {
                    self.stream = Some(stream);
                }
                let status = response.first_line.split(' ').nth(1).and_then(|text| text.parse().ok());
                Answer::Status(status.unwrap_or(0))
            }
            None if started.elapsed() >= ms(390) => Answer::Nothing,
            None => Answer::Closed,
        }
    }
}
