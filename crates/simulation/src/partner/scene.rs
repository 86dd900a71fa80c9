//! What is simulated: the fleet, the receiver's limit, its outage and the load.

use std::ops::Range;

use rudderspindle_policy::interface::Millis;

use super::draw::Draw;

/// Distinguishes a scene's own draws from those of its simulation.
const SCENE_SEED: u64 = 0x5ce0e;
/// How long a drawn scene goes on after its outage, ms.
const AFTER_OUTAGE: Millis = 14_000.0;

/// How an outage shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// Calls are rejected.
    Shut {
        /// Share of the rejections with a Retry-After of the outage's end, from 0 to 1.
        tells: f64,
    },
    /// Connections are refused.
    Refuse,
    /// Calls are not answered.
    Silent,
    /// Calls are answered with an error.
    Errors {
        /// Share of the calls that are, from 0 to 1; the others are served.
        share: f64,
    },
}

/// How a receiver without an outage limits its calls. Rejected calls use the limit up, too.
#[derive(Clone, Debug, PartialEq)]
pub enum Limit {
    /// A number of calls in each second.
    Span {
        /// The part of a second's limit that calls rejected in the second before may use up, from 0 to 1.
        carried: f64,
    },
    /// A token bucket.
    Rate {
        /// When its rate is halved, ms.
        halved: Range<Millis>,
        /// The Retry-After of each rejection, ms.
        wait: Millis,
        /// The maximum debt from rejected calls, in ms of the whole rate.
        owed: Millis,
    },
}

/// The network that carries the senders' gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct Notes {
    /// Share of the datagrams that are lost, from 0 to 1.
    pub lost: f64,
    /// When all are lost, ms.
    pub cut: Range<Millis>,
}

/// What keeps senders with gossip to the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bound {
    /// A capacity share for each sender.
    #[default]
    Use,
    /// In addition a permit for each call; each permit is held by one sender.
    Strict,
}

/// A fleet, its receiver, and what happens to them.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of senders.
    pub senders: usize,
    /// Number of senders that messages are submitted to: the first ones.
    pub busy: usize,
    /// Number of senders in the fleet by the senders' settings.
    pub peers: usize,
    /// How the receiver limits its calls.
    pub limit: Limit,
    /// The limit, calls a second, which the endpoint list announces.
    pub told: f64,
    /// Number of the receiver's routes.
    pub routes: u64,
    /// Whether senders see a separate limit at each route.
    pub apart: bool,
    /// How the outage shows.
    pub outage: Outage,
    /// Routes in the outage, by index.
    pub struck: Range<u64>,
    /// Start of the outage, ms.
    pub from: Millis,
    /// End of the outage and start of the recovery ramp, ms.
    pub until: Millis,
    /// Messages over the limit.
    pub load: f64,
    /// A factor on the load, and when it applies, ms.
    pub swell: (f64, Range<Millis>),
    /// The network between the senders; `None` if they have no gossip.
    pub notes: Option<Notes>,
    /// What keeps senders with gossip to the limit.
    pub bound: Bound,
    /// Largest difference between two senders' clocks, ms.
    pub clocks: u64,
    /// Mean time that the receiver takes for a call, ms.
    pub work: Millis,
    /// Senders that are killed, and when, ms. They restart with their open messages and remembered outages only.
    pub restart: Option<(Range<usize>, Millis)>,
    /// How long killed senders are down, ms; their messages are submitted to the next one meanwhile.
    pub gone: Millis,
    /// Number of routes that the endpoint list gains, and when, ms.
    pub added: Option<(u64, Millis)>,
    /// End of the scene, ms. Messages are submitted until 4 s before.
    pub ends: Millis,
}

impl Scene {
    /// A scene with two senders, its figures drawn from ranges as seen in production; `outage` gets a draw from 0 to 1.
    pub fn draw(seed: u64, outage: impl Fn(f64) -> Outage) -> Self {
        let mut rng = Draw::new(seed ^ SCENE_SEED);
        let from = 6_000.0 + 2_000.0 * rng.unit();
        let until = from + 7_600.0 + 6_400.0 * rng.unit();
        let routes = 1 + (rng.unit() * 4.0) as u64;
        Self {
            seed,
            senders: 2,
            busy: 2,
            peers: 2,
            limit: Limit::Span { carried: 0.0 },
            told: 6.0 + 18.0 * rng.unit(),
            routes,
            apart: false,
            outage: outage(rng.unit()),
            struck: 0..routes,
            from,
            until,
            load: 0.45 + 0.5 * rng.unit(),
            swell: (1.0, 0.0..0.0),
            notes: None,
            bound: Bound::Use,
            clocks: 0,
            work: 60.0 + 240.0 * rng.unit(),
            restart: None,
            gone: 0.0,
            added: None,
            ends: until + AFTER_OUTAGE,
        }
    }
}
