//! The built adapter as a process: batches to its standard input, replies from its standard output.

use std::io::{BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use crate::exchange::{AttemptEnd, Change, Input, MessageInput, Output, RouteLine};
use crate::host::Adapter;

/// Bytes of a reply's header: its batch, its actions, the length of its body.
const REPLY_HEADER: usize = 12;
/// The frames leave room for figures that the adapter does not use.
const UNUSED: f64 = 7.5;

/// The running adapter.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    /// Each list is sent once under a number of its own.
    lists: u32,
}

impl Process {
    pub fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_rudderspindle-drill"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let output = BufReader::new(child.stdout.take().expect("piped"));
        Self { input: child.stdin.take(), child, output, lists: 0 }
    }

    /// Ends its input: it must end well, with nothing more to say.
    pub fn finish(mut self) {
        drop(self.input.take());
        let mut rest = Vec::new();
        self.output.read_to_end(&mut rest).expect("its output ends");
        assert!(rest.is_empty(), "a reply too many");
        assert!(self.child.wait().expect("the adapter ends").success());
    }

    fn records(&mut self, instance: u32, input: &Input) -> Vec<Vec<u8>> {
        let Input::List { change, lines } = input else { return vec![frame(instance, input)] };
        self.lists += 1;
        let body: Vec<u8> = lines.iter().flat_map(line).collect();
        let sheet = record(20, &[&self.lists.to_be_bytes(), &(lines.len() as u32).to_be_bytes(), &body]);
        let kind = match change {
            Change::Full => 0,
            Change::Failed => 1,
            Change::Delta => 2,
            Change::Cached => 4,
        };
        let (version, list) = (9u32.to_be_bytes(), self.lists.to_be_bytes());
        let update = record(22, &[&instance.to_be_bytes(), &[kind], &version, &list]);
        if matches!(change, Change::Failed) { vec![update] } else { vec![sheet, update] }
    }
}

impl Adapter for Process {
    fn answer(&mut self, number: u32, now: f64, inputs: &[(u32, Input)]) -> (Vec<u8>, Vec<(u32, Output)>) {
        let records: Vec<Vec<u8>> = inputs.iter().flat_map(|(i, input)| self.records(*i, input)).collect();
        let body = records.concat();
        let mut batch = [&number.to_be_bytes()[..], &now.to_be_bytes()].concat();
        batch.extend((body.len() as u32).to_be_bytes());
        batch.extend((records.len() as u32).to_be_bytes());
        batch.extend(body);
        self.input.as_mut().expect("open").write_all(&batch).expect("the adapter reads");
        let mut reply = vec![0; REPLY_HEADER];
        self.output.read_exact(&mut reply).expect("a reply to each batch");
        let mut header = Reader(&reply);
        assert_eq!(header.u32(), number, "the reply's batch");
        let (count, length) = (header.u32(), header.u32() as usize);
        reply.resize(REPLY_HEADER + length, 0);
        self.output.read_exact(&mut reply[REPLY_HEADER..]).expect("a whole reply");
        let mut body = Reader(&reply[REPLY_HEADER..]);
        let outputs = (0..count).map(|_| body.action()).collect();
        assert!(body.0.is_empty(), "bytes after the last action");
        (reply, outputs)
    }
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn address(route: u64) -> [u8; 6] {
    let [_, _, address @ ..] = route.to_be_bytes();
    address
}

fn line(line: &RouteLine) -> Vec<u8> {
    let (kind, destination) = (line.kind.to_be_bytes(), line.destination.to_be_bytes());
    let head = [&address(line.route)[..], &[line.zone], &kind, &destination, &[line.listing]].concat();
    [&head[..], &line.rate.to_be_bytes(), &UNUSED.to_be_bytes()].concat()
}

fn code(end: AttemptEnd) -> [u8; 2] {
    let code: u16 = match end {
        AttemptEnd::Ok => 200,
        AttemptEnd::Error => 500,
        AttemptEnd::Full => 503,
        AttemptEnd::Timeout => 504,
        AttemptEnd::ConnectFailed => 502,
        AttemptEnd::Reset => 598,
        AttemptEnd::Cancelled => 499,
        AttemptEnd::NotSent => 410,
        AttemptEnd::AttemptsExhausted => unreachable!("the wire has no such outcome"),
    };
    code.to_be_bytes()
}

fn frame(instance: u32, input: &Input) -> Vec<u8> {
    let (instance, unused) = (instance.to_be_bytes(), UNUSED.to_be_bytes());
    // The load that a partner tells of: two figures of four bytes each.
    let load: [u8; 9] = [2, 1, 2, 3, 4, 5, 6, 7, 8];
    let no_route = [0; 6];
    match input {
        Input::Up { seed, settings } => {
            let length = (settings.len() as u32).to_be_bytes();
            record(24, &[&instance, &seed.to_be_bytes(), &length, settings.as_bytes()])
        }
        Input::PowerOff => record(18, &[&instance]),
        Input::Peer => record(21, &[&instance, &[0, 1], &[0, 3], b"abc"]),
        Input::Message(message) => record(17, &[&instance, &message_of(message)]),
        Input::Started { id, attempt } => {
            record(25, &[&instance, &id.to_be_bytes(), &unused, &[*attempt as u8], &no_route])
        }
        Input::Outcome { id, attempt, end, wait, closed } => {
            // Other outcomes than a refusal have another figure there: no wait.
            let detail = if *end == AttemptEnd::Full { *wait } else { 77 };
            let head = [&id.to_be_bytes()[..], &unused, &[*attempt as u8], &detail.to_be_bytes()].concat();
            record(23, &[&instance, &head, &[u8::from(*closed)], &code(*end), &no_route, &load])
        }
        Input::Dropped { id } => record(26, &[&instance, &id.to_be_bytes()]),
        Input::Wake { token } => record(19, &[&instance, &token.to_be_bytes()]),
        Input::HealthChecked { route, end } => {
            record(16, &[&instance, &address(*route), &code(*end), &unused, &load])
        }
        _ => unreachable!("the wire has no frame for {}", input.name()),
    }
}

fn message_of(message: &MessageInput) -> Vec<u8> {
    let (id, tenant) = (message.id.to_be_bytes(), message.tenant.to_be_bytes());
    let (key, time_left) = (message.ordering_key.to_be_bytes(), message.time_left.to_be_bytes());
    // Without the option's bit the guess that stands there is none.
    let guess = message.work_guess.unwrap_or(UNUSED).to_be_bytes();
    let destination = f32::from(message.destination).to_be_bytes();
    let options = [u8::from(message.work_guess.is_some())];
    [&id[..], &[message.class], &tenant, &key, &time_left, &guess, &destination, &options].concat()
}

/// Reads the fields of a reply.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn array<const N: usize>(&mut self) -> [u8; N] {
        let (head, rest) = self.0.split_at(N);
        self.0 = rest;
        head.try_into().expect("as long as that")
    }

    fn u8(&mut self) -> u8 {
        self.array::<1>()[0]
    }

    fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.array())
    }

    fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.array())
    }

    fn f64(&mut self) -> f64 {
        f64::from_be_bytes(self.array())
    }

    fn route(&mut self) -> u64 {
        self.array::<6>().iter().fold(0, |route, byte| route << 8 | u64::from(*byte))
    }

    fn action(&mut self) -> (u32, Output) {
        let (code, length) = (self.u8(), self.u32() as usize);
        let (fields, rest) = self.0.split_at(length);
        let mut f = Reader(fields);
        let instance = f.u32();
        let output = match code {
            80 => Output::Send { id: f.u32(), route: f.route(), timeout: f.f64() },
            81 => {
                let id = f.u32();
                assert!(f.f64() >= 0.0, "advice of no time");
                Output::Refuse { id }
            }
            82 => Output::Fail { id: f.u32() },
            83 => Output::Cancel { id: f.u32(), attempt: u32::from(f.u8()) },
            84 => Output::Wake { delay: f.f64(), token: f.u64() },
            85 => {
                f.route();
                Output::Probe
            }
            90 => {
                assert_eq!(f.u8(), 1, "a subscription");
                Output::Subscribe
            }
            other => panic!("unknown action code {other}"),
        };
        assert!(f.0.is_empty(), "bytes too many in action {code}");
        self.0 = rest;
        (instance, output)
    }
}
