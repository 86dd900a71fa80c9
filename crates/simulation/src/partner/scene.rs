//! What is played: how many senders, what the partner takes, what strikes it.

use rudderspindle_policy::interface::Millis;

use super::draw::Draw;

/// What may strike the partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// All calls are refused; this share of the refusals tells when it opens.
    Shut {
        /// From 0 to 1.
        tells: f64,
    },
    /// Connections are refused.
    Refuse,
    /// Nothing is answered.
    Silent,
    /// This share of the calls fails.
    Errors {
        /// From 0 to 1.
        share: f64,
    },
}

/// What a partner takes while it is well. Refused calls use the limit up, too.
#[derive(Clone, Debug, PartialEq)]
pub enum Limit {
    /// A count in each second; those refused in one take as much as this part of the next one's.
    Span {
        /// From 0 to 1.
        carried: f64,
    },
    /// A plain rate, halved for a time. Each refusal tells a wait of so long; what they use up is owed, at most
    /// what comes in so long.
    Rate {
        /// When.
        halved: std::ops::Range<Millis>,
        /// The wait told, ms.
        wait: Millis,
        /// The most that is owed, in ms of the whole rate.
        owed: Millis,
    },
}

/// What senders tell one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Notes {
    /// The share of the notes that are lost, from 0 to 1.
    pub lost: f64,
    /// When none arrives, ms.
    pub cut: std::ops::Range<Millis>,
}

/// What holds a fleet that hears notes to a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bound {
    /// What notes leave to each.
    #[default]
    Use,
    /// Each call needs a turn as well, and a turn is one sender's.
    Strict,
}

/// An evening at one partner.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Decides all that chance decides.
    pub seed: u64,
    /// Senders.
    pub senders: usize,
    /// So many of them, the first ones, are handed messages.
    pub busy: usize,
    /// How many they are told that they are.
    pub peers: usize,
    /// What it takes of that.
    pub limit: Limit,
    /// Calls a second that it takes, as the list tells.
    pub told: f64,
    /// Its endpoints.
    pub routes: u64,
    /// Whether each has a limit of its own.
    pub apart: bool,
    /// What strikes it.
    pub outage: Outage,
    /// Which routes it strikes.
    pub struck: std::ops::Range<u64>,
    /// Since when, ms.
    pub from: Millis,
    /// When it returns, cold, ms.
    pub until: Millis,
    /// Messages a second over what the partner takes.
    pub load: f64,
    /// A swell: so many times as many messages, for a time.
    pub swell: (f64, std::ops::Range<Millis>),
    /// Notes between the senders; none where they have none.
    pub notes: Option<Notes>,
    /// What holds those that have notes to the limit.
    pub bound: Bound,
    /// How far the senders' clocks are apart at most, ms.
    pub clocks: u64,
    /// Mean time that a call takes, ms.
    pub work: Millis,
    /// Senders that begin anew then, and have forgotten all but their messages and what their hosts remember.
    pub restart: Option<(std::ops::Range<usize>, Millis)>,
    /// So long after its end, ms; what would be handed to it goes to the next one meanwhile.
    pub gone: Millis,
    /// Routes that the list adds then, under new ids.
    pub added: Option<(u64, Millis)>,
    /// The scene's end, ms; messages come until 4 s before.
    pub ends: Millis,
}

impl Scene {
    /// A scene whose figures lie within those seen in service.
    pub fn draw(seed: u64, outage: impl Fn(f64) -> Outage) -> Self {
        let mut draw = Draw::new(seed ^ 0x5ce0e);
        let from = 6_000.0 + 2_000.0 * draw.unit();
        let until = from + 7_600.0 + 6_400.0 * draw.unit();
        let routes = 1 + (draw.unit() * 4.0) as u64;
        Self {
            seed,
            senders: 2,
            busy: 2,
            peers: 2,
            limit: Limit::Span { carried: 0.0 },
            told: 6.0 + 18.0 * draw.unit(),
            routes,
            apart: false,
            outage: outage(draw.unit()),
            struck: 0..routes,
            from,
            until,
            load: 0.45 + 0.5 * draw.unit(),
            swell: (1.0, 0.0..0.0),
            notes: None,
            bound: Bound::Use,
            clocks: 0,
            work: 60.0 + 240.0 * draw.unit(),
            restart: None,
            gone: 0.0,
            added: None,
            ends: until + 14_000.0,
        }
    }
}
