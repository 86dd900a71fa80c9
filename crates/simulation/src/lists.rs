//! Simulates a fleet that polls one discovery service for the endpoint list.

/// How long a request waits for its answer before it fails, s.
const REQUEST_TIMEOUT: f64 = 2.0;
/// How long a simulation goes on after discovery is reachable, s.
const MAX_DURATION: f64 = 60.0;

/// A sender's poll schedule: the pause before its first request (`None`), or after a request that failed so many
/// seconds after it was sent (infinity where discovery cannot be reached). In seconds.
pub type Pauses = Box<dyn FnMut(Option<f64>) -> f64>;

/// What becomes of a request that would be answered after its timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Overload {
    /// It is rejected at once, at no cost.
    TurnsAway,
    /// It waits in the queue, fails at its timeout and is worked off all the same.
    WorksOff,
}

/// A discovery service that works off one request at a time.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// Time that one request takes, s.
    pub cost: f64,
    /// How it handles overload.
    pub overload: Overload,
    /// When it becomes reachable, s.
    pub silent_until: f64,
}

/// The result of a simulation.
#[derive(Debug)]
pub struct Played {
    /// When each sender got its list, s; `None` if it never did.
    pub got: Vec<Option<f64>>,
    /// When each request was sent, s.
    pub asked: Vec<f64>,
}

/// Runs senders that all start at time 0 until each has its list, or for a minute after discovery is reachable.
pub fn lists(discovery: Discovery, mut senders: Vec<Pauses>) -> Played {
    let mut due: Vec<f64> = senders.iter_mut().map(|pause| pause(None)).collect();
    let mut played = Played { got: vec![None; senders.len()], asked: Vec::new() };
    let mut queue = RequestQueue { discovery, free_at: discovery.silent_until };
    while let Some(next) = next_sender(&due, &played.got) {
        let now = due[next];
        if now > discovery.silent_until + MAX_DURATION {
            break;
        }
        played.asked.push(now);
        match queue.request(now) {
            RequestResult::Answered { at } => played.got[next] = Some(at),
            RequestResult::Failed { after } => due[next] = now + after + senders[next](Some(after)),
            RequestResult::Unreachable => due[next] = now + senders[next](Some(f64::INFINITY)),
        }
    }
    played
}

/// The sender without a list that sends its next request first.
fn next_sender(due: &[f64], got: &[Option<f64>]) -> Option<usize> {
    let waiting = (0..due.len()).filter(|&sender| got[sender].is_none());
    waiting.min_by(|&a, &b| due[a].total_cmp(&due[b]))
}

/// What becomes of one request; times in seconds.
enum RequestResult {
    Answered { at: f64 },
    Failed { after: f64 },
    Unreachable,
}

/// The requests that discovery has yet to work off.
struct RequestQueue {
    discovery: Discovery,
    /// When the last of them is done, s.
    free_at: f64,
}

impl RequestQueue {
    fn request(&mut self, now: f64) -> RequestResult {
        if now < self.discovery.silent_until {
            return RequestResult::Unreachable;
        }
        let done_at = self.free_at.max(now) + self.discovery.cost;
        match self.discovery.overload {
            Overload::TurnsAway if done_at - now > REQUEST_TIMEOUT => RequestResult::Failed { after: 0.0 },
            Overload::WorksOff if self.free_at - now > REQUEST_TIMEOUT => {
                self.free_at = done_at;
                RequestResult::Failed { after: REQUEST_TIMEOUT }
            }
            Overload::TurnsAway | Overload::WorksOff => {
                self.free_at = done_at;
                RequestResult::Answered { at: done_at }
            }
        }
    }
}
