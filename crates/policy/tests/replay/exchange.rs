//! What the simulated host says and hears, in types of its own that outlive renames in the program.

/// A line of the list of routes; `listing` is 0 gone, 1 ready, 2 draining.
#[derive(Clone)]
pub struct RouteLine {
    pub route: u64,
    pub destination: u16,
    pub zone: u8,
    pub kind: u16,
    pub listing: u8,
    pub rate: f32,
}

#[derive(Clone, Copy)]
pub enum Change {
    Full,
    Cached,
    Delta,
    Failed,
}

#[derive(Clone)]
pub struct MessageInput {
    pub id: u32,
    pub class: u8,
    pub tenant: u32,
    pub ordering_key: u64,
    pub time_left: f64,
    pub work_guess: Option<f64>,
    pub destination: u16,
}

/// How an attempt ended.
#[derive(Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    Ok,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
    AttemptsExhausted,
}

#[derive(Clone, Copy)]
pub enum Belief {
    Nothing,
    Down { wait: f64 },
    Cold { ago: f64, part: f64 },
}

/// A limit: a destination's, or that of one route.
#[derive(Clone, Copy)]
pub struct Limit {
    pub destination: u16,
    pub route: Option<u64>,
}

/// What is told to an instance. The wire has no frame for `Recovered` and what follows it.
#[derive(Clone)]
pub enum Input {
    Up { seed: u64, settings: &'static str },
    PowerOff,
    Peer,
    List { change: Change, lines: Vec<RouteLine> },
    Message(MessageInput),
    Started { id: u32, attempt: u32 },
    Outcome { id: u32, attempt: u32, end: AttemptEnd, wait: u32, closed: bool },
    Dropped { id: u32 },
    Wake { token: u64 },
    HealthChecked { route: u64, end: AttemptEnd },
    Recovered { message: MessageInput, attempts: u32, ran: Option<(f64, u64, u8)> },
    Remembered { limit: Limit, belief: Belief },
    Waits { limit: Limit, wait: f64 },
    CapacityShare { limit: Limit, calls: f64, wanted: f64, lasts: f64 },
    Turns { limit: Limit, turns: Vec<(u64, f64, f64)> },
    Avoid { routes: Vec<u64> },
    Quota { tenant: usize, per_s: Option<f64> },
    HearNotes,
    KeepRights,
    ShareSlots { used: usize },
}

/// What an instance wants done.
#[derive(Clone, Copy)]
pub enum Output {
    Send { id: u32, route: u64, timeout: f64 },
    Refuse { id: u32 },
    Fail { id: u32 },
    Cancel { id: u32, attempt: u32 },
    Wake { delay: f64, token: u64 },
    Probe,
    Subscribe,
    Remember,
}

impl AttemptEnd {
    pub const ALL: [Self; 9] = [
        Self::Ok,
        Self::Error,
        Self::Full,
        Self::Timeout,
        Self::ConnectFailed,
        Self::Reset,
        Self::Cancelled,
        Self::NotSent,
        Self::AttemptsExhausted,
    ];
}

impl Input {
    /// Its name in the counts of a golden file.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Up { .. } => "input up",
            Self::PowerOff => "input power-off",
            Self::Peer => "input peer",
            Self::List { change: Change::Full, .. } => "input list full",
            Self::List { change: Change::Cached, .. } => "input list cached",
            Self::List { change: Change::Delta, .. } => "input list delta",
            Self::List { change: Change::Failed, .. } => "input list failed",
            Self::Message(_) => "input message",
            Self::Started { .. } => "input started",
            Self::Outcome { end, wait, .. } => match end {
                AttemptEnd::Ok => "input outcome ok",
                AttemptEnd::Error => "input outcome error",
                AttemptEnd::Full if *wait > 0 => "input outcome full with a wait",
                AttemptEnd::Full => "input outcome full without a wait",
                AttemptEnd::Timeout => "input outcome timeout",
                AttemptEnd::ConnectFailed => "input outcome connect-failed",
                AttemptEnd::Reset => "input outcome reset",
                AttemptEnd::Cancelled => "input outcome cancelled",
                AttemptEnd::NotSent => "input outcome moot",
                AttemptEnd::AttemptsExhausted => "input outcome spent",
            },
            Self::Dropped { .. } => "input dropped",
            Self::Wake { .. } => "input wake",
            Self::HealthChecked { .. } => "input probed",
            Self::Recovered { ran: None, .. } => "input recovered",
            Self::Recovered { ran: Some(_), .. } => "input recovered that may have run",
            Self::Remembered { belief: Belief::Nothing, .. } => "input remembered nothing",
            Self::Remembered { belief: Belief::Down { .. }, .. } => "input remembered down",
            Self::Remembered { belief: Belief::Cold { .. }, .. } => "input remembered cold",
            Self::Waits { .. } => "input waits",
            Self::CapacityShare { .. } => "input room",
            Self::Turns { .. } => "input turns",
            Self::Avoid { .. } => "input avoid",
            Self::Quota { .. } => "input quota",
            Self::HearNotes => "input hear-notes",
            Self::KeepRights => "input keep-rights",
            Self::ShareSlots { .. } => "input share-slots",
        }
    }
}

impl Output {
    /// Its name in the counts of a golden file.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Send { .. } => "output send",
            Self::Refuse { .. } => "output refuse",
            Self::Fail { .. } => "output fail",
            Self::Cancel { .. } => "output cancel",
            Self::Wake { .. } => "output wake",
            Self::Probe => "output probe",
            Self::Subscribe => "output subscribe",
            Self::Remember => "output remember",
        }
    }
}
