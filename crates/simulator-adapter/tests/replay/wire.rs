//! The built adapter as a process: batches to its standard input, replies from its standard output.

use std::io::{BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use rudderspindle_policy_replay::{
    Adapter, AttemptOutcome, Input, InstanceInput, InstanceOutput, ListEntry, ListUpdate, MessageInput,
    Output, Reply,
};

/// Length of a reply's header, in bytes: its batch, the number of its actions, the length of its body.
const REPLY_HEADER_LEN: usize = 12;
/// The value of fields that the adapter does not use.
const UNUSED: f64 = 7.5;

/// The running adapter.
pub struct AdapterProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    /// Number of lists so far: each is sent once, under a new number.
    lists: u32,
}

impl AdapterProcess {
    /// Starts the adapter.
    pub fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_rudderspindle-drill"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let output = BufReader::new(child.stdout.take().expect("piped"));
        Self { input: child.stdin.take(), child, output, lists: 0 }
    }

    /// Ends its input: it must exit with success and no further output.
    pub fn finish(mut self) {
        drop(self.input.take());
        let mut rest = Vec::new();
        self.output.read_to_end(&mut rest).expect("its output ends");
        assert!(rest.is_empty(), "bytes after the last reply");
        assert!(self.child.wait().expect("the adapter ends").success());
    }

    fn records(&mut self, instance: u32, input: &Input) -> Vec<Vec<u8>> {
        let Input::List { update, entries } = input else { return vec![input_record(instance, input)] };
        self.lists += 1;
        let body: Vec<u8> = entries.iter().flat_map(entry_bytes).collect();
        let list_record =
            record(20, &[&self.lists.to_be_bytes(), &(entries.len() as u32).to_be_bytes(), &body]);
        let kind = match update {
            ListUpdate::Full => 0,
            ListUpdate::Failed => 1,
            ListUpdate::Delta => 2,
            ListUpdate::Cached => 4,
        };
        let (version, list) = (9u32.to_be_bytes(), self.lists.to_be_bytes());
        let update_record = record(22, &[&instance.to_be_bytes(), &[kind], &version, &list]);
        if matches!(update, ListUpdate::Failed) {
            vec![update_record]
        } else {
            vec![list_record, update_record]
        }
    }
}

impl Adapter for AdapterProcess {
    fn handle(&mut self, number: u32, now: f64, inputs: &[InstanceInput]) -> Reply {
        let records: Vec<Vec<u8>> =
            inputs.iter().flat_map(|(instance, input)| self.records(*instance, input)).collect();
        let body = records.concat();
        let mut batch = [&number.to_be_bytes()[..], &now.to_be_bytes()].concat();
        batch.extend((body.len() as u32).to_be_bytes());
        batch.extend((records.len() as u32).to_be_bytes());
        batch.extend(body);
        self.input.as_mut().expect("open").write_all(&batch).expect("the adapter reads");
        let mut reply = vec![0; REPLY_HEADER_LEN];
        self.output.read_exact(&mut reply).expect("a reply to each batch");
        let mut header = Reader(&reply);
        assert_eq!(header.u32(), number, "the reply's batch");
        let (count, length) = (header.u32(), header.u32() as usize);
        reply.resize(REPLY_HEADER_LEN + length, 0);
        self.output.read_exact(&mut reply[REPLY_HEADER_LEN..]).expect("a whole reply");
        let mut body = Reader(&reply[REPLY_HEADER_LEN..]);
        let outputs = (0..count).map(|_| body.action()).collect();
        assert!(body.0.is_empty(), "bytes after the last action");
        Reply { bytes: reply, outputs }
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

fn entry_bytes(entry: &ListEntry) -> Vec<u8> {
    let (kind, destination) = (entry.kind.to_be_bytes(), entry.destination.to_be_bytes());
    let head = [&address(entry.route)[..], &[entry.zone], &kind, &destination, &[entry.listing]].concat();
    [&head[..], &entry.rate.to_be_bytes(), &UNUSED.to_be_bytes()].concat()
}

fn outcome_code(outcome: AttemptOutcome) -> [u8; 2] {
    let code: u16 = match outcome {
        AttemptOutcome::Ok => 200,
        AttemptOutcome::Error => 500,
        AttemptOutcome::Rejected => 503,
        AttemptOutcome::Timeout => 504,
        AttemptOutcome::ConnectFailed => 502,
        AttemptOutcome::Reset => 598,
        AttemptOutcome::Cancelled => 499,
        AttemptOutcome::NotSent => 410,
        AttemptOutcome::AttemptsExhausted => unreachable!("the wire has no such outcome"),
    };
    code.to_be_bytes()
}

fn input_record(instance: u32, input: &Input) -> Vec<u8> {
    let (instance, unused) = (instance.to_be_bytes(), UNUSED.to_be_bytes());
    // The load that a receiver reports: two numbers of four bytes each.
    let load: [u8; 9] = [2, 1, 2, 3, 4, 5, 6, 7, 8];
    let no_route = [0; 6];
    match input {
        Input::Start { seed, settings } => {
            let length = (settings.len() as u32).to_be_bytes();
            record(24, &[&instance, &seed.to_be_bytes(), &length, settings.as_bytes()])
        }
        Input::PowerOff => record(18, &[&instance]),
        Input::Peer => record(21, &[&instance, &[0, 1], &[0, 3], b"abc"]),
        Input::Message(message) => record(17, &[&instance, &message_of(message)]),
        Input::Started { id, attempt } => {
            record(25, &[&instance, &id.to_be_bytes(), &unused, &[*attempt as u8], &no_route])
        }
        Input::Outcome { id, attempt, outcome, retry_after, completed } => {
            // Outcomes other than a rejection have another meaning of this field.
            let detail = if *outcome == AttemptOutcome::Rejected { *retry_after } else { 77 };
            let head = [&id.to_be_bytes()[..], &unused, &[*attempt as u8], &detail.to_be_bytes()].concat();
            record(
                23,
                &[&instance, &head, &[u8::from(*completed)], &outcome_code(*outcome), &no_route, &load],
            )
        }
        Input::Dropped { id } => record(26, &[&instance, &id.to_be_bytes()]),
        Input::Wake { token } => record(19, &[&instance, &token.to_be_bytes()]),
        Input::HealthChecked { route, outcome } => {
            record(16, &[&instance, &address(*route), &outcome_code(*outcome), &unused, &load])
        }
        _ => unreachable!("the wire has no record for {}", input.name()),
    }
}

fn message_of(message: &MessageInput) -> Vec<u8> {
    let (id, tenant) = (message.id.to_be_bytes(), message.tenant.to_be_bytes());
    let (key, time_left) = (message.ordering_key.to_be_bytes(), message.time_left.to_be_bytes());
    // Without the option's bit the field is unused.
    let work_estimate = message.work_estimate.unwrap_or(UNUSED).to_be_bytes();
    let destination = f32::from(message.destination).to_be_bytes();
    let options = [u8::from(message.work_estimate.is_some())];
    [&id[..], &[message.class], &tenant, &key, &time_left, &work_estimate, &destination, &options].concat()
}

/// Reads the fields of a reply.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn array<const N: usize>(&mut self) -> [u8; N] {
        let (head, rest) = self.0.split_at(N);
        self.0 = rest;
        head.try_into().expect("split at this length")
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

    fn action(&mut self) -> InstanceOutput {
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
                Output::HealthCheck
            }
            90 => {
                assert_eq!(f.u8(), 1, "a subscription");
                Output::Subscribe
            }
            other => panic!("unknown action code {other}"),
        };
        assert!(f.0.is_empty(), "bytes after the fields of action {code}");
        self.0 = rest;
        (instance, output)
    }
}
