//! Simulates a fleet that polls one discovery service for the endpoint list.

/// Time after which a request without a response fails, s.
const REQUEST_TIMEOUT: f64 = 2.0;
/// Maximum duration of a simulation once discovery is reachable, s.
const MAX_DURATION: f64 = 60.0;

/// A sender's poll schedule: returns the delay before its next request, s.
///
/// The argument is `None` before the first request. After a failed request it is the time from the request to its
/// failure, s; infinity where discovery cannot be reached.
pub type PollDelays = Box<dyn FnMut(Option<f64>) -> f64>;

/// What happens to a request that could not be answered within its timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OverloadBehaviour {
    /// It is rejected immediately and takes no time.
    Reject,
    /// It waits in the queue, fails at its timeout, and is processed nevertheless.
    Queue,
}

/// A discovery service that processes one request at a time.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryService {
    /// Time to process one request, s.
    pub request_time: f64,
    /// Behaviour under overload.
    pub overload: OverloadBehaviour,
    /// When it becomes reachable, s.
    pub reachable_at: f64,
}

/// The result of a simulation.
#[derive(Debug)]
pub struct PollingResult {
    /// When each sender received its list, s; `None` if it did not.
    pub list_received_at: Vec<Option<f64>>,
    /// When each request was sent, s.
    pub requests_sent_at: Vec<f64>,
}

/// Runs senders that all start at time 0 until each has its list, or for a minute after discovery is reachable.
pub fn simulate_polling(discovery: DiscoveryService, mut senders: Vec<PollDelays>) -> PollingResult {
    let mut due: Vec<f64> = senders.iter_mut().map(|delay| delay(None)).collect();
    let mut result =
        PollingResult { list_received_at: vec![None; senders.len()], requests_sent_at: Vec::new() };
    let mut queue = RequestQueue { discovery, free_at: discovery.reachable_at };
    while let Some(next) = next_sender(&due, &result.list_received_at) {
        let now = due[next];
        if now > discovery.reachable_at + MAX_DURATION {
            break;
        }
        result.requests_sent_at.push(now);
        match queue.request(now) {
            RequestResult::Answered { at } => result.list_received_at[next] = Some(at),
            RequestResult::Failed { after } => due[next] = now + after + senders[next](Some(after)),
            RequestResult::Unreachable => due[next] = now + senders[next](Some(f64::INFINITY)),
        }
    }
    result
}

/// The sender without a list that sends its next request first.
fn next_sender(due: &[f64], list_received_at: &[Option<f64>]) -> Option<usize> {
    let waiting = (0..due.len()).filter(|&sender| list_received_at[sender].is_none());
    waiting.min_by(|&a, &b| due[a].total_cmp(&due[b]))
}

/// Result of one request; times in seconds.
enum RequestResult {
    Answered { at: f64 },
    Failed { after: f64 },
    Unreachable,
}

/// The queue of requests at the discovery service.
struct RequestQueue {
    discovery: DiscoveryService,
    /// When the last request of the queue is processed, s.
    free_at: f64,
}

impl RequestQueue {
    fn request(&mut self, now: f64) -> RequestResult {
        if now < self.discovery.reachable_at {
            return RequestResult::Unreachable;
        }
        let done_at = self.free_at.max(now) + self.discovery.request_time;
        match self.discovery.overload {
            OverloadBehaviour::Reject if done_at - now > REQUEST_TIMEOUT => {
                RequestResult::Failed { after: 0.0 }
            }
            OverloadBehaviour::Queue if self.free_at - now > REQUEST_TIMEOUT => {
                self.free_at = done_at;
                RequestResult::Failed { after: REQUEST_TIMEOUT }
            }
            OverloadBehaviour::Reject | OverloadBehaviour::Queue => {
                self.free_at = done_at;
                RequestResult::Answered { at: done_at }
            }
        }
    }
}
