//! Senders that ask one discovery for the list, in simulated time: when does each ask, and when has it its list?

/// What takes longer to answer is not answered, s.
const PATIENCE: f64 = 2.0;
/// So long after discovery can be reached a scene is over, s.
const ENDS: f64 = 60.0;

/// A sender's pauses, s: before its first request (`None`), after a refusal that came so late, and, where nobody answers
/// (infinitely late), from that request to the next.
pub type Pauses = Box<dyn FnMut(Option<f64>) -> f64>;

/// What becomes of requests whose answers would take over two seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Overload {
    /// They are turned away at once, which costs nothing.
    TurnsAway,
    /// They stand in the queue for two seconds and fail then, and are worked off all the same.
    WorksOff,
}

/// A discovery that works off one request at a time.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// What a request takes, s.
    pub cost: f64,
    /// What it does when it has too much to do.
    pub overload: Overload,
    /// Until then it says nothing, s.
    pub silent_until: f64,
}

/// What came of it.
#[derive(Debug)]
pub struct Played {
    /// The second at which each sender had its list, if it ever had.
    pub got: Vec<Option<f64>>,
    /// The second of each request.
    pub asked: Vec<f64>,
}

/// All senders start at once.
pub fn lists(discovery: Discovery, mut senders: Vec<Pauses>) -> Played {
    let mut due: Vec<f64> = senders.iter_mut().map(|pause| pause(None)).collect();
    let mut played = Played { got: vec![None; senders.len()], asked: Vec::new() };
    let mut free_at = discovery.silent_until;
    loop {
        let waiting = (0..senders.len()).filter(|&s| played.got[s].is_none());
        let Some(next) = waiting.min_by(|&a, &b| due[a].total_cmp(&due[b])) else { return played };
        let now = due[next];
        if now > discovery.silent_until + ENDS {
            return played;
        }
        played.asked.push(now);
        if now < discovery.silent_until {
            due[next] = now + senders[next](Some(f64::INFINITY));
            continue;
        }
        let ends = free_at.max(now) + discovery.cost;
        let in_time = match discovery.overload {
            Overload::TurnsAway => ends - now <= PATIENCE,
            Overload::WorksOff => free_at - now <= PATIENCE,
        };
        if in_time {
            played.got[next] = Some(ends);
        } else {
            let after = if discovery.overload == Overload::TurnsAway { 0.0 } else { PATIENCE };
            due[next] = now + after + senders[next](Some(after));
        }
        if in_time || discovery.overload == Overload::WorksOff {
            free_at = ends;
        }
    }
}
