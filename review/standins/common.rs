//! What the cases share: the record, the program under test, and stand-ins of the platform, of receivers and of
//! clients, written from the protocol and deployment pages. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::RawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn dup2(old: i32, new: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// The child is killed if the case ends without ending it.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| could_not_run(&format!("{path:?}: {error}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3}  {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

/// A folder that is removed when the value is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("{name}-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(path.join("state")).unwrap_or_else(|error| could_not_run(&error.to_string()));
        Self(path)
    }

    pub fn state(&self) -> PathBuf {
        self.0.join("state")
    }

    pub fn write_config(&self, text: &str) {
        let temporary = self.0.join("config.new");
        std::fs::write(&temporary, text).unwrap();
        std::fs::rename(temporary, self.0.join("config.json")).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One process of the program under test; killed when dropped.
pub struct Program {
    child: Child,
    name: String,
    record: Record,
}

/// How a process is started: `root` is the repository.
pub struct Start<'a> {
    pub root: &'a Path,
    pub folder: &'a Folder,
    pub control: Option<SocketAddr>,
    /// The clients' listening socket, which the process inherits as descriptor 3.
    pub listener: Option<RawFd>,
}

impl Program {
    /// Starts `run` of the deploy file, by `/bin/sh -c` from the root.
    pub fn start(name: &str, start: &Start<'_>, record: &Record) -> Self {
        let deploy = std::fs::read_to_string(start.root.join("deploy/balancer.toml"))
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
        let run = run.unwrap_or_else(|| could_not_run("no run in the deploy file"));
        let mut command = Command::new("/bin/sh");
        command.args(["-c", run]).current_dir(start.root).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(Stdio::piped());
        command.env("RELAY_NAME", "n1").env("RELAY_CONFIG", start.folder.0.join("config.json"));
        command.env("RELAY_STATE", start.folder.state()).env_remove("RELAY_FLEET").env_remove("RELAY_CONTROL");
        command.env_remove("RELAY_ACCEPT_FD");
        if let Some(control) = start.control {
            command.env("RELAY_CONTROL", control.to_string());
        }
        if start.listener.is_some() {
            command.env("RELAY_ACCEPT_FD", "3");
        }
        let listener = start.listener;
        let before_exec = move || {
            // SAFETY: both calls are async-signal-safe. Descriptor 3 is the record's file, which the child does not need.
            unsafe {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                match listener.map(|listener| dup2(listener, 3)) {
                    None | Some(3) => Ok(()),
                    Some(_) => Err(std::io::Error::last_os_error()),
                }
            }
        };
        // SAFETY: the closure makes only the two calls above.
        unsafe { command.pre_exec(before_exec) };
        let mut child = command.spawn().unwrap_or_else(|error| could_not_run(&error.to_string()));
        record.line(format!("{name}: started, pid {}", child.id()));
        let log = BufReader::new(child.stderr.take().unwrap());
        let (log_record, log_name) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                log_record.line(format!("{log_name}: log: {line}"));
            }
        });
        Self { child, name: name.to_owned(), record: record.clone() }
    }

    /// Sends `TERM` or `KILL`.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("{}: SIG{signal}", self.name));
        let number = if signal == "TERM" { 15 } else { 9 };
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(self.child.id() as i32, number) };
    }

    /// Waits for the exit for at most `limit`; returns whether the process has exited.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(format!("{}: exited, {status}", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `GET /-/ready` is answered with 200.
pub fn wait_until_ready(addr: SocketAddr, limit: Duration) {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if let Ok(mut stream) = TcpStream::connect(addr) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    could_not_run("the sender did not become ready");
}

/// One call at the operators' address: whether the reply starts with `done`.
pub fn control_call(addr: SocketAddr, call: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(format!("{call}\n").as_bytes());
    let mut reply = String::new();
    let _ = BufReader::new(stream).read_line(&mut reply);
    reply.starts_with("done")
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// An HTTP request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Member {
    pub id: &'static str,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u16,
    pub size: f64,
}

pub fn list_json(members: &[Member]) -> String {
    let entry = |member: &Member| {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\"phase\":\"SERVING\",\"size\":{:.1},\"up_since_ms\":0}}",
            member.id, member.addr, member.zone, member.kind, member.cell, member.size
        )
    };
    let entries: Vec<String> = members.iter().map(entry).collect();
    format!("{{\"revision\":41,\"complete\":true,\"members\":[{}]}}", entries.join(","))
}

/// A notice that the platform has answered with 204.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: f64,
    pub id: String,
    pub status: String,
}

/// Discovery and the address for notices: the list never changes, a watch has an empty line every 2 s.
pub struct Platform {
    pub addr: SocketAddr,
    pub notices: Arc<Mutex<Vec<Notice>>>,
}

impl Platform {
    pub fn start(members: Vec<Member>, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let notices = Arc::new(Mutex::new(Vec::new()));
        let (record, kept) = (record.clone(), notices.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (members, record, notices) = (members.clone(), record.clone(), kept.clone());
                thread::spawn(move || serve_platform(stream, &members, &record, &notices));
            }
        });
        Self { addr, notices }
    }
}

fn serve_platform(mut stream: TcpStream, members: &[Member], record: &Record, notices: &Mutex<Vec<Notice>>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        if request.path == "/reports" {
            for line in String::from_utf8_lossy(&request.body).lines() {
                let field = |name: &str| {
                    let rest = line.split(&format!("\"{name}\":\"")).nth(1).unwrap_or_default();
                    rest.split('"').next().unwrap_or_default().to_owned()
                };
                let notice = Notice { at: record.now(), id: field("id"), status: field("status") };
                record.line(format!("platform: notice {line}"));
                notices.lock().unwrap().push(notice);
            }
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        } else if request.path.contains("watch=1") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            if request.path.ends_with("from=0") {
                let list = list_json(members) + "\n";
                let _ = stream.write_all(format!("{:x}\r\n{list}\r\n", list.len()).as_bytes());
            }
            loop {
                thread::sleep(Duration::from_secs(2));
                if stream.write_all(b"1\r\n\n\r\n").is_err() {
                    return;
                }
            }
        } else {
            let list = list_json(members);
            let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes());
        }
    }
}

/// A call that a receiver has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub key: String,
    /// The part of the body before the first space: what the message is about.
    pub subject: String,
}

/// A receiver that runs each call, for `work`, and answers 200. It takes any number of calls at once.
pub struct Receiver {
    pub addr: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Receiver {
    pub fn start(name: &'static str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let runs = Arc::new(Mutex::new(Vec::new()));
        let (record, kept) = (record.clone(), runs.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (record, runs) = (record.clone(), kept.clone());
                thread::spawn(move || serve_calls(name, stream, work, &record, &runs));
            }
        });
        Self { addr, runs }
    }
}

fn serve_calls(name: &str, mut stream: TcpStream, work: Duration, record: &Record, runs: &Mutex<Vec<Run>>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        if request.path != "/v1/messages" {
            let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let (id, key) = (request.header("x-txn").to_owned(), request.header("idempotency-key").to_owned());
        let subject = String::from_utf8_lossy(&request.body).split(' ').next().unwrap_or_default().to_owned();
        record.line(format!("{name}: call {id} key={key} about {subject}"));
        thread::sleep(work);
        runs.lock().unwrap().push(Run { at: record.now(), id: id.clone(), key, subject: subject.clone() });
        record.line(format!("{name}: ran {id} about {subject}, answers 200"));
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
}

/// A message as a client hands it in.
#[derive(Clone)]
pub struct Message {
    pub class: &'static str,
    pub id: String,
    pub key: Option<String>,
    pub dest: u16,
    pub remaining_s: f64,
    pub body: Vec<u8>,
}

impl Message {
    pub fn request(&self) -> Vec<u8> {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let mut bytes = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {}\r\nX-Org: narmada-sports\r\nX-Remaining: {:.3}\r\n{key}Content-Length: {}\r\nX-Route-To: dest={}\r\n\r\n",
            self.class, self.id, self.remaining_s, self.body.len(), self.dest
        ).into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// Hands in a message on a connection of its own, and waits 400 ms for the answer; the status, or 0 without one.
pub fn hand_in(addr: SocketAddr, message: &Message, record: &Record) -> u16 {
    let status = TcpStream::connect(addr).ok().and_then(|mut stream| {
        let _ = stream.set_nodelay(true);
        stream.write_all(&message.request()).ok()?;
        read_status(&mut stream, Duration::from_millis(400))
    });
    let text = String::from_utf8_lossy(&message.body[..message.body.len().min(24)]);
    record.line(format!("client: {} for dest {} ({text:?}) handed in: {}", message.id, message.dest, status.map_or("no answer".to_owned(), |s| s.to_string())));
    status.unwrap_or(0)
}

/// Reads the status of an answer.
pub fn read_status(stream: &mut TcpStream, limit: Duration) -> Option<u16> {
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The repository and the folder of the case, from the command line.
pub fn folders() -> (PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    match (arguments.next(), arguments.next()) {
        (Some(root), Some(case)) => (root, case),
        _ => could_not_run("usage: PROGRAM ROOT CASE"),
    }
}
