//! The binary frames of the simulator's wire, to the interface's events and back. No decision.

use std::io::{self, Read};

use rudderspindle_policy::interface::*;

/// What stands wrong in a frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "malformed frame: {}", self.0)
    }
}

impl std::error::Error for Malformed {}

type Result<T> = std::result::Result<T, Malformed>;

/// Bytes of a batch's header.
pub const HEADER: usize = 20;
/// A longer batch is taken for garbage.
const LONGEST: usize = 1 << 30;

/// A batch: its number, its clock and its records.
#[derive(Debug)]
pub struct Batch {
    pub number: u32,
    pub now: Millis,
    pub records: Vec<Record>,
}

/// A record of a batch, with the instance it is for.
#[derive(Debug, PartialEq)]
pub enum Record {
    Up {
        instance: u32,
        seed: u64,
        info: Vec<u8>,
    },
    PowerOff {
        instance: u32,
    },
    Sheet {
        set: u32,
        entries: Vec<RouteEntry>,
    },
    Update {
        instance: u32,
        kind: u8,
        set: u32,
    },
    Event {
        instance: u32,
        event: Event,
    },
    /// A note of another instance; the module sends none and needs none.
    Peer {
        instance: u32,
    },
}

struct Fields<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        let (head, rest) =
            self.bytes.split_at_checked(n).ok_or_else(|| Malformed(format!("{} is cut short", self.what)))?;
        self.bytes = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn f64(&mut self) -> Result<f64> {
        let value = f64::from_be_bytes(self.array()?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(Malformed(format!("{} holds a time that is no number", self.what)))
        }
    }

    fn route(&mut self) -> Result<RouteId> {
        let [a, b, c, d] = self.array()?;
        let port = self.u16()?;
        Ok(RouteId(u64::from(u32::from_be_bytes([a, b, c, d])) << 16 | u64::from(port)))
    }

    fn load(&mut self) -> Result<()> {
        let n = self.u8()?;
        self.take(usize::from(n) * 4).map(|_| ())
    }

    fn end(self) -> Result<()> {
        if self.bytes.is_empty() {
            Ok(())
        } else {
            Err(Malformed(format!("{} has {} bytes too many", self.what, self.bytes.len())))
        }
    }
}

/// Reads one batch; `None` at the end of input.
pub fn read_batch(input: &mut impl Read) -> io::Result<Option<Batch>> {
    let mut header = [0; HEADER];
    let mut filled = 0;
    while filled < HEADER {
        match input.read(&mut header[filled..])? {
            0 if filled == 0 => return Ok(None),
            0 => return Err(invalid(Malformed("input ends inside a header".into()))),
            n => filled += n,
        }
    }
    let mut fields = Fields { bytes: &header, what: "header" };
    let (number, now) = (fields.u32().map_err(invalid)?, fields.f64().map_err(invalid)?);
    let length = fields.u32().map_err(invalid)? as usize;
    let count = fields.u32().map_err(invalid)?;
    if length > LONGEST {
        return Err(invalid(Malformed(format!("a batch of {length} bytes"))));
    }
    let mut body = Vec::new();
    input.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(invalid(Malformed("input ends inside a batch".into())));
    }
    let records = decode(&body, count).map_err(invalid)?;
    Ok(Some(Batch { number, now, records }))
}

fn invalid(error: Malformed) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// The records of a batch's body.
pub fn decode(body: &[u8], count: u32) -> Result<Vec<Record>> {
    let mut rest = Fields { bytes: body, what: "batch" };
    let mut records = Vec::new();
    for _ in 0..count {
        let code = rest.u8()?;
        let length = rest.u32()? as usize;
        let bytes = rest.take(length)?;
        records.push(record(code, bytes)?);
    }
    rest.end()?;
    Ok(records)
}

fn record(code: u8, bytes: &[u8]) -> Result<Record> {
    let mut f = Fields { bytes, what: "record" };
    let record = match code {
        16 => {
            let (instance, route, outcome) = (f.u32()?, f.route()?, outcome(f.u16()?)?);
            f.f64()?;
            f.load()?;
            Record::Event { instance, event: Event::HealthChecked { route, outcome } }
        }
        17 => {
            let (instance, id, class, tenant) = (f.u32()?, MessageHandle(f.u32()?), f.u8()?, f.u32()?);
            let (ordering_key, time_left, guess) = (f.u64()?, f.f64()?, f.f64()?);
            let destination = destination_of(f.f32()?)?;
            let options = f.u8()?;
            let message = Message {
                id,
                class: usize::from(class),
                tenant: tenant as usize,
                ordering_key,
                time_left,
                work_guess: (options & 1 != 0).then_some(guess),
                destination,
            };
            Record::Event { instance, event: Event::Message(message) }
        }
        18 => Record::PowerOff { instance: f.u32()? },
        19 => {
            let instance = f.u32()?;
            Record::Event { instance, event: Event::Wake(f.u64()?) }
        }
        20 => {
            let set = f.u32()?;
            let n = f.u32()?;
            let entries = (0..n).map(|_| entry(&mut f)).collect::<Result<_>>()?;
            Record::Sheet { set, entries }
        }
        21 => {
            let instance = f.u32()?;
            f.u16()?;
            let n = f.u16()?;
            f.take(usize::from(n))?;
            Record::Peer { instance }
        }
        22 => {
            let (instance, kind) = (f.u32()?, f.u8()?);
            f.u32()?;
            Record::Update { instance, kind, set: f.u32()? }
        }
        23 => {
            let (instance, id) = (f.u32()?, MessageHandle(f.u32()?));
            f.f64()?;
            let (attempt, detail, closed) = (u32::from(f.u8()?), f.u32()?, f.u8()? != 0);
            let outcome = outcome(f.u16()?)?;
            f.route()?;
            f.load()?;
            let retry_after = if outcome == Outcome::Rejected { f64::from(detail) } else { 0.0 };
            Record::Event { instance, event: Event::Outcome { id, attempt, outcome, retry_after, closed } }
        }
        24 => {
            let (instance, seed) = (f.u32()?, f.u64()?);
            let n = f.u32()? as usize;
            Record::Up { instance, seed, info: f.take(n)?.to_vec() }
        }
        25 => {
            let (instance, id) = (f.u32()?, MessageHandle(f.u32()?));
            f.f64()?;
            let attempt = u32::from(f.u8()?);
            f.route()?;
            Record::Event { instance, event: Event::Started { id, attempt } }
        }
        26 => {
            let instance = f.u32()?;
            Record::Event { instance, event: Event::Dropped(MessageHandle(f.u32()?)) }
        }
        other => return Err(Malformed(format!("unknown record code {other}"))),
    };
    f.end()?;
    Ok(record)
}

fn entry(f: &mut Fields<'_>) -> Result<RouteEntry> {
    let (route, zone, kind, destination) = (f.route()?, f.u8()?, f.u16()?, DestinationId(f.u16()?));
    let listing = match f.u8()? {
        0 => Listing::Gone,
        1 => Listing::Ready,
        2 => Listing::Draining,
        other => return Err(Malformed(format!("unknown condition {other}"))),
    };
    let rate = f64::from(f.f32()?);
    f.f64()?;
    Ok(RouteEntry { route, destination, zone, kind, listing, rate })
}

fn destination_of(value: f32) -> Result<DestinationId> {
    if value.fract() == 0.0 && (0.0..=f32::from(u16::MAX)).contains(&value) {
        Ok(DestinationId(value as u16))
    } else {
        Err(Malformed(format!("{value} names no destination")))
    }
}

fn outcome(code: u16) -> Result<Outcome> {
    Ok(match code {
        200 => Outcome::Ok,
        500 => Outcome::Error,
        503 => Outcome::Rejected,
        504 => Outcome::Timeout,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        other => return Err(Malformed(format!("unknown outcome {other}"))),
    })
}

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    body: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends an instance's action.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut fields = instance.to_be_bytes().to_vec();
        let code = match *action {
            Action::Send { id, route, timeout, .. } => {
                fields.extend(id.0.to_be_bytes());
                fields.extend(address(route));
                fields.extend(timeout.to_be_bytes());
                80
            }
            Action::Refuse { id, retry_after } => {
                fields.extend(id.0.to_be_bytes());
                fields.extend(retry_after.to_be_bytes());
                81
            }
            Action::Fail { id } => {
                fields.extend(id.0.to_be_bytes());
                82
            }
            Action::Cancel { id, attempt } => {
                fields.extend(id.0.to_be_bytes());
                fields.push(attempt as u8);
                83
            }
            Action::Wake { delay, token } => {
                fields.extend(delay.to_be_bytes());
                fields.extend(token.to_be_bytes());
                84
            }
            Action::HealthCheck { route } => {
                fields.extend(address(route));
                85
            }
            Action::Subscribe => {
                fields.push(1);
                90
            }
            // Where instances run, what they remember ends with them.
            Action::Remember { .. } => return,
        };
        self.body.push(code);
        self.body.extend((fields.len() as u32).to_be_bytes());
        self.body.extend(fields);
        self.count += 1;
    }

    /// The reply's bytes.
    pub fn bytes(&self, number: u32) -> Vec<u8> {
        let mut bytes = number.to_be_bytes().to_vec();
        bytes.extend(self.count.to_be_bytes());
        bytes.extend((self.body.len() as u32).to_be_bytes());
        bytes.extend(&self.body);
        bytes
    }
}

fn address(route: RouteId) -> [u8; 6] {
    let [_, _, a, b, c, d, p, q] = route.0.to_be_bytes();
    [a, b, c, d, p, q]
}
