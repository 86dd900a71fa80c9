//! Runs the built adapter as a process: writes batches to its standard input, reads replies from its standard output.

use std::io::{BufReader, Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use rudderspindle_policy_replay::{
    Adapter, AttemptOutcome, Input, InstanceInput, InstanceOutput, ListEntry, ListUpdate, MessageInput,
    Output, Reply,
};

/// Length of a reply's header, in bytes: batch number, number of actions and length of the body.
const REPLY_HEADER_LEN: usize = 12;
/// Value of fields that the adapter ignores.
const UNUSED: f64 = 7.5;

/// The running adapter.
pub struct AdapterProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    /// Number of lists so far; each list is sent once, with this number as its identifier.
    list_count: u32,
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
        Self { input: child.stdin.take(), child, output, list_count: 0 }
    }

    /// Closes the adapter's input and checks that the adapter exits with success and without further output.
    pub fn finish(mut self) {
        drop(self.input.take());
        let mut rest = Vec::new();
        self.output.read_to_end(&mut rest).expect("its output ends");
        assert!(rest.is_empty(), "bytes after the last reply");
        assert!(self.child.wait().expect("the adapter ends").success());
    }

    fn encode_input(&mut self, instance: u32, input: &Input) -> Vec<Vec<u8>> {
        let Input::List { update, entries } = input else { return vec![single_record(instance, input)] };
        self.list_count += 1;
        let body: Vec<u8> = entries.iter().flat_map(encode_entry).collect();
        let list_record = encode_record(
            20,
            &[&self.list_count.to_be_bytes(), &(entries.len() as u32).to_be_bytes(), &body],
        );
        let kind = match update {
            ListUpdate::Full => 0,
            ListUpdate::Failed => 1,
            ListUpdate::Delta => 2,
            ListUpdate::Cached => 4,
        };
        let (version, list) = (9u32.to_be_bytes(), self.list_count.to_be_bytes());
        let update_record = encode_record(22, &[&instance.to_be_bytes(), &[kind], &version, &list]);
        if matches!(update, ListUpdate::Failed) {
            vec![update_record]
        } else {
            vec![list_record, update_record]
        }
    }
}

impl Adapter for AdapterProcess {
    fn handle(&mut self, batch_number: u32, now: f64, inputs: &[InstanceInput]) -> Reply {
        let records: Vec<Vec<u8>> =
            inputs.iter().flat_map(|(instance, input)| self.encode_input(*instance, input)).collect();
        let body = records.concat();
        let mut batch = [&batch_number.to_be_bytes()[..], &now.to_be_bytes()].concat();
        batch.extend((body.len() as u32).to_be_bytes());
        batch.extend((records.len() as u32).to_be_bytes());
        batch.extend(body);
        self.input.as_mut().expect("open").write_all(&batch).expect("the adapter reads its input");
        let mut reply = vec![0; REPLY_HEADER_LEN];
        self.output.read_exact(&mut reply).expect("a reply to each batch");
        let mut header = ReplyReader(&reply);
        assert_eq!(header.u32(), batch_number, "batch number of the reply");
        let (count, length) = (header.u32(), header.u32() as usize);
        reply.resize(REPLY_HEADER_LEN + length, 0);
        self.output.read_exact(&mut reply[REPLY_HEADER_LEN..]).expect("a complete reply");
        let mut body = ReplyReader(&reply[REPLY_HEADER_LEN..]);
        let outputs = (0..count).map(|_| body.action()).collect();
        assert!(body.0.is_empty(), "bytes after the last action");
        Reply { bytes: reply, outputs }
    }
}

fn encode_record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn address_and_port(route: u64) -> [u8; 6] {
    let [_, _, address_and_port @ ..] = route.to_be_bytes();
    address_and_port
}

fn encode_entry(entry: &ListEntry) -> Vec<u8> {
    let (kind, destination) = (entry.kind.to_be_bytes(), entry.destination.to_be_bytes());
    let head =
        [&address_and_port(entry.route)[..], &[entry.zone], &kind, &destination, &[entry.listing]].concat();
    [&head[..], &entry.rate.to_be_bytes(), &UNUSED.to_be_bytes()].concat()
}

fn encode_outcome(outcome: AttemptOutcome) -> [u8; 2] {
    let code: u16 = match outcome {
        AttemptOutcome::Ok => 200,
        AttemptOutcome::Error => 500,
        AttemptOutcome::Rejected => 503,
        AttemptOutcome::Timeout => 504,
        AttemptOutcome::ConnectFailed => 502,
        AttemptOutcome::Reset => 598,
        AttemptOutcome::Cancelled => 499,
        AttemptOutcome::NotSent => 410,
        AttemptOutcome::AttemptsExhausted => unreachable!("the protocol has no code for this outcome"),
    };
    code.to_be_bytes()
}

fn single_record(instance: u32, input: &Input) -> Vec<u8> {
    let (instance, unused) = (instance.to_be_bytes(), UNUSED.to_be_bytes());
    // The load report of a receiver: a count, then two numbers of four bytes each.
    let load: [u8; 9] = [2, 1, 2, 3, 4, 5, 6, 7, 8];
    let no_route = [0; 6];
    match input {
        Input::Start { seed, settings } => {
            let length = (settings.len() as u32).to_be_bytes();
            encode_record(24, &[&instance, &seed.to_be_bytes(), &length, settings.as_bytes()])
        }
        Input::PowerOff => encode_record(18, &[&instance]),
        Input::Peer => encode_record(21, &[&instance, &[0, 1], &[0, 3], b"abc"]),
        Input::Message(message) => encode_record(17, &[&instance, &encode_message(message)]),
        Input::Started { id, attempt } => {
            encode_record(25, &[&instance, &id.to_be_bytes(), &unused, &[*attempt as u8], &no_route])
        }
        Input::Outcome { id, attempt, outcome, retry_after, completed } => {
            // This field is a Retry-After only if the outcome is a rejection; otherwise the adapter must ignore it.
            let detail = if *outcome == AttemptOutcome::Rejected { *retry_after } else { 77 };
            let head = [&id.to_be_bytes()[..], &unused, &[*attempt as u8], &detail.to_be_bytes()].concat();
            encode_record(
                23,
                &[&instance, &head, &[u8::from(*completed)], &encode_outcome(*outcome), &no_route, &load],
            )
        }
        Input::Dropped { id } => encode_record(26, &[&instance, &id.to_be_bytes()]),
        Input::Wake { token } => encode_record(19, &[&instance, &token.to_be_bytes()]),
        Input::HealthChecked { route, outcome } => encode_record(
            16,
            &[&instance, &address_and_port(*route), &encode_outcome(*outcome), &unused, &load],
        ),
        _ => unreachable!("the protocol has no record for {}", input.name()),
    }
}

fn encode_message(message: &MessageInput) -> Vec<u8> {
    let (id, tenant) = (message.id.to_be_bytes(), message.tenant.to_be_bytes());
    let (key, time_left) = (message.ordering_key.to_be_bytes(), message.time_left.to_be_bytes());
    // The adapter ignores the estimate if its bit in the options is not set.
    let work_estimate = message.work_estimate.unwrap_or(UNUSED).to_be_bytes();
    let destination = f32::from(message.destination).to_be_bytes();
    let options = [u8::from(message.work_estimate.is_some())];
    [&id[..], &[message.class], &tenant, &key, &time_left, &work_estimate, &destination, &options].concat()
}

/// Reads the fields of a reply.
struct ReplyReader<'a>(&'a [u8]);

impl ReplyReader<'_> {
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
        let mut action_fields = ReplyReader(fields);
        let instance = action_fields.u32();
        let output = match code {
            80 => Output::Send {
                id: action_fields.u32(),
                route: action_fields.route(),
                timeout: action_fields.f64(),
            },
            81 => {
                let id = action_fields.u32();
                assert!(action_fields.f64() >= 0.0, "negative Retry-After");
                Output::Refuse { id }
            }
            82 => Output::Fail { id: action_fields.u32() },
            83 => Output::Cancel { id: action_fields.u32(), attempt: u32::from(action_fields.u8()) },
            84 => Output::Wake { delay: action_fields.f64(), token: action_fields.u64() },
            85 => {
                action_fields.route();
                Output::HealthCheck
            }
            90 => {
                assert_eq!(action_fields.u8(), 1, "not the code of a new subscription");
                Output::Subscribe
            }
            other => panic!("unknown action code {other}"),
        };
        assert!(action_fields.0.is_empty(), "bytes after the fields of action {code}");
        self.0 = rest;
        (instance, output)
    }
}
