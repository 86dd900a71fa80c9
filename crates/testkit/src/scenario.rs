//! What a world is made of and what happens in it, as a TOML file or drawn from a seed.
//!
//! Figures are checked where they are read, so an error names the file, the line and the field.

use std::path::{Path, PathBuf};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};

/// A share between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Share(f64);

impl TryFrom<f64> for Share {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        if (0.0..=1.0).contains(&value) {
            Ok(Self(value))
        } else {
            Err(format!("{value} is not a share from 0 to 1"))
        }
    }
}

impl Share {
    /// The figure.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// A rate a second, above 0 and up to 100,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct PerSecond(f64);

impl TryFrom<f64> for PerSecond {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        let fits = value > 0.0 && value <= 100_000.0;
        if fits {
            Ok(Self(value))
        } else {
            Err(format!("{value} is not a rate a second above 0, up to 100000"))
        }
    }
}

impl PerSecond {
    /// The figure.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// Milliseconds, up to an hour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u64")]
pub struct Ms(u64);

impl TryFrom<u64> for Ms {
    type Error = String;
    fn try_from(value: u64) -> Result<Self, String> {
        if value <= 3_600_000 { Ok(Self(value)) } else { Err(format!("{value} ms are more than an hour")) }
    }
}

impl Ms {
    /// The figure.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// How a partner counts what it takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Limit {
    /// Evenly, with a burst of what half a second brings.
    Rate,
    /// So many in each span.
    Span {
        /// The span's length.
        span_ms: Ms,
    },
}

/// Which waits a partner tells with a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tells {
    /// Share of refusals that tell one.
    pub share: Share,
    /// So long; without it, until the span's end.
    #[serde(default)]
    pub wait_ms: Option<Ms>,
}

/// An endpoint of a partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointPlan {
    /// Its id.
    pub id: String,
    /// Its hall.
    pub hall: String,
}

/// A partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReceiverPlan {
    /// Its number, as messages name it.
    pub number: u16,
    /// A name for people.
    pub name: String,
    /// Its endpoints.
    pub endpoints: Vec<EndpointPlan>,
    /// Whether they are routes apart, each with its own limit and outages.
    #[serde(default)]
    pub apart: bool,
    /// Calls a second that it takes (each endpoint, if apart).
    pub per_s: PerSecond,
    /// How it counts.
    pub limit: Limit,
    /// Whether refused calls use the limit up.
    #[serde(default)]
    pub refused_count: bool,
    /// Waits told with refusals.
    pub tells: Tells,
    /// Mean time of a call's work.
    pub work_ms: Ms,
    /// Calls that may wait for a free worker.
    pub queue: u16,
    /// Connections that an endpoint holds at most.
    pub connections: u16,
    /// Weight among the partners when messages are drawn.
    pub weight: f64,
}

/// What befalls a partner's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Outage {
    /// Connections are reset before a byte is read.
    Refuse,
    /// All calls are refused, with word of when it opens.
    Shut,
    /// A share of the calls fails at once; half of those have run.
    Errors {
        /// Which share.
        share: Share,
    },
    /// It stands still for `stop_ms` of every `every_ms`. It does not come back cold.
    Stall {
        /// How long.
        stop_ms: Ms,
        /// How often.
        every_ms: Ms,
    },
    /// Calls are read and never answered.
    Silent,
    /// Nothing is answered, not even what ran before; open connections stay and are reset when it is back.
    Vanish,
}

/// Something that happens at a set time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case", deny_unknown_fields)]
pub enum Happening {
    /// A partner's endpoints are struck.
    Outage {
        /// From when.
        at_ms: Ms,
        /// For how long.
        for_ms: Ms,
        /// The partner's number.
        partner: u16,
        /// Which endpoints; all without it.
        #[serde(default)]
        endpoints: Vec<String>,
        /// What befalls them.
        outage: Outage,
    },
    /// An endpoint's phase on the list changes.
    List {
        /// When.
        at_ms: Ms,
        /// Which endpoint.
        endpoint: String,
        /// `SERVING`, `DRAINING` or `DELETED`.
        phase: Phase,
    },
    /// The list reaches senders later than usual.
    Stale {
        /// From when.
        at_ms: Ms,
        /// For how long.
        for_ms: Ms,
        /// By how much.
        late_ms: Ms,
    },
    /// A sender is killed and started again.
    Kill {
        /// When.
        at_ms: Ms,
        /// Which sender, from 0.
        sender: usize,
        /// It is started again so much later.
        back_ms: Ms,
    },
    /// The agent beside a sender fails in some way.
    Agent {
        /// From when.
        at_ms: Ms,
        /// For how long.
        for_ms: Ms,
        /// Which sender's, from 0.
        sender: usize,
        /// How.
        trouble: DiscoveryFault,
    },
    /// The agent beside a sender moves to another address, and its sender gets SIGHUP.
    Move {
        /// When.
        at_ms: Ms,
        /// Which sender's, from 0.
        sender: usize,
    },
    /// The links between a sender and a partner fail in some way.
    Link {
        /// From when.
        at_ms: Ms,
        /// For how long.
        for_ms: Ms,
        /// Which sender's, from 0.
        sender: usize,
        /// The partner's number.
        partner: u16,
        /// How.
        trouble: LinkFault,
    },
    /// A sender is told to stop, and started again when it has.
    Restart {
        /// When.
        at_ms: Ms,
        /// Which sender, from 0.
        sender: usize,
        /// It is started again so much after its end.
        back_ms: Ms,
    },
    /// A sender is started a second time beside itself, and the first process stops once the second can serve.
    Upgrade {
        /// When.
        at_ms: Ms,
        /// Which sender, from 0.
        sender: usize,
    },
}

/// What befalls the agent beside a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryFault {
    /// Discovery says nothing; notices are still taken.
    Silent,
    /// Notices are answered with 500.
    RefusesNotices,
    /// Notices are not answered.
    IgnoresNotices,
}

/// What befalls the links between a sender and a partner's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum LinkFault {
    /// Everything is so late, each way.
    Delay {
        /// By how much.
        ms: Ms,
    },
    /// Nothing comes back, and nobody is told.
    LoseBack,
    /// Nothing passes either way, and nobody is told.
    BlackHole,
    /// Both ends are reset after so many bytes of a connection have gone forth.
    CutAfter {
        /// How many.
        bytes: u32,
    },
    /// The way forth ends after so many bytes.
    HalfCloseAfter {
        /// How many.
        bytes: u32,
    },
    /// One byte at a time, each way.
    Trickle {
        /// The pause after each.
        pause_ms: Ms,
    },
    /// What is open is reset once, at its begin.
    Reset,
}

/// A phase on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Phase {
    /// It takes calls.
    Serving,
    /// It wants nothing new.
    Draining,
    /// It has left the list.
    Deleted,
}

impl Phase {
    /// As on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
            Self::Deleted => "DELETED",
        }
    }
}

/// Clients' traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Messages a second to all senders together.
    pub per_s: PerSecond,
    /// Share of the safe class among them; the rest is keyed.
    pub status_share: Share,
    /// Share that comes in clumps for one partner.
    pub clumps: Share,
    /// Messages in a clump.
    pub clump: u16,
    /// Share of clients that hand in again after a refusal, once.
    pub retries: Share,
    /// Share of clients that go before they are answered.
    pub leave: Share,
    /// Bad clients a second.
    pub bad_per_s: f64,
}

/// A world and what happens in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What chance decides is decided by it.
    pub seed: u64,
    /// How long clients come.
    pub seconds: u16,
    /// Senders.
    pub senders: usize,
    /// How late the list reaches senders.
    pub list_late_ms: Ms,
    /// Clients' traffic.
    pub traffic: Traffic,
    /// Partners.
    pub partners: Vec<ReceiverPlan>,
    /// What happens.
    #[serde(default)]
    pub happenings: Vec<Happening>,
}

/// A script that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        error: std::io::Error,
    },
    /// It is no TOML, or a figure is not of its kind; the error shows the line and the field.
    #[error("{path}: {error}")]
    Toml {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        error: Box<toml::de::Error>,
    },
    /// Parts do not fit together.
    #[error("{path}: {what}")]
    Inconsistent {
        /// The file.
        path: PathBuf,
        /// Which field, and what would be right.
        what: String,
    },
}

impl Scenario {
    /// Reads a script.
    ///
    /// # Errors
    ///
    /// [`ScenarioError`] names the file, the line and the field.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Io { path: path.to_owned(), error })?;
        Self::parse(&text, path)
    }

    /// Reads a script's text; `path` is for messages.
    ///
    /// # Errors
    ///
    /// As [`Scenario::read`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let script: Self = toml::from_str(text)
            .map_err(|error| ScenarioError::Toml { path: path.to_owned(), error: Box::new(error) })?;
        match script.inconsistency() {
            None => Ok(script),
            Some(what) => Err(ScenarioError::Inconsistent { path: path.to_owned(), what }),
        }
    }

    fn inconsistency(&self) -> Option<String> {
        if self.senders == 0 || self.senders > 16 {
            return Some(format!("senders: {} is not from 1 to 16", self.senders));
        }
        if self.partners.is_empty() {
            return Some("partners: there are none".to_owned());
        }
        let mut ids = std::collections::BTreeSet::new();
        for (n, partner) in self.partners.iter().enumerate() {
            if partner.endpoints.is_empty() {
                return Some(format!("partners[{n}].endpoints: there are none"));
            }
            let weight = partner.weight;
            if !weight.is_finite() || weight <= 0.0 {
                return Some(format!("partners[{n}].weight: {weight} is not above 0"));
            }
            for endpoint in &partner.endpoints {
                if !ids.insert(endpoint.id.as_str()) {
                    return Some(format!("partners[{n}].endpoints: {} is there twice", endpoint.id));
                }
            }
        }
        let known = |number: u16| self.partners.iter().any(|p| p.number == number);
        for (n, happening) in self.happenings.iter().enumerate() {
            let unknown = match happening {
                Happening::Outage { partner, .. } if !known(*partner) => format!("partner {partner}"),
                Happening::Outage { endpoints, .. } => {
                    let missing = endpoints.iter().find(|id| !ids.contains(id.as_str()));
                    match missing {
                        Some(id) => format!("endpoint {id}"),
                        None => continue,
                    }
                }
                Happening::List { endpoint, .. } if !ids.contains(endpoint.as_str()) => {
                    format!("endpoint {endpoint}")
                }
                Happening::Kill { sender, .. }
                | Happening::Restart { sender, .. }
                | Happening::Upgrade { sender, .. }
                | Happening::Agent { sender, .. }
                | Happening::Move { sender, .. }
                | Happening::Link { sender, .. }
                    if *sender >= self.senders =>
                {
                    format!("sender {sender}")
                }
                Happening::Link { partner, .. } if !known(*partner) => format!("partner {partner}"),
                _ => continue,
            };
            return Some(format!("happenings[{n}]: there is no {unknown}"));
        }
        None
    }

    /// Whether a sender is replaced under load.
    pub fn has_takeover(&self) -> bool {
        self.happenings.iter().any(|h| matches!(h, Happening::Upgrade { .. }))
    }

    /// An evening of `seconds` with two senders and troubles, drawn from a seed: the same on every machine.
    pub fn evening(seed: u64, seconds: u16) -> Self {
        Draw::new(seed).evening(seed, seconds)
    }
}

impl Scenario {
    /// Whether a partner whose endpoints share one limit is shut, or refuses connections, as a whole.
    pub fn has_shared_outage(&self) -> bool {
        let shared = |number: u16| self.partners.iter().any(|p| p.number == number && !p.apart);
        self.happenings.iter().any(|h| {
            matches!(h, Happening::Outage { partner, endpoints, outage: Outage::Shut | Outage::Refuse, .. }
                if endpoints.is_empty() && shared(*partner))
        })
    }
}

/// Draws figures from a seed.
#[derive(Clone, Debug)]
pub struct Draw(ChaCha8Rng);

impl Draw {
    /// From a seed.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Uniform from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform between two figures.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// A whole number from `low` up to but not including `high`.
    pub fn whole(&mut self, low: u64, high: u64) -> u64 {
        low + (self.unit() * (high - low) as f64) as u64
    }

    /// True in this share of cases.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// With this mean, as times between independent events are.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    fn share(&mut self, low: f64, high: f64) -> Share {
        Share(self.between(low, high).clamp(0.0, 1.0))
    }

    fn ms(&mut self, low: u64, high: u64) -> Ms {
        Ms(self.whole(low, high))
    }

    fn evening(&mut self, seed: u64, seconds: u16) -> Scenario {
        let partners: Vec<ReceiverPlan> = (0..self.whole(4, 7) as u16).map(|n| self.partner(n)).collect();
        let limits: f64 = partners
            .iter()
            .map(|p| p.per_s.get() * if p.apart { p.endpoints.len() as f64 } else { 1.0 })
            .sum();
        // As much as the partner nearest to its limit bears, about.
        let per_s = limits * self.between(0.45, 0.7);
        let mut happenings = Vec::new();
        let end = u64::from(seconds) * 1_000;
        for partner in &partners {
            if self.chance(0.6) {
                happenings.push(self.outage(partner, end));
            }
        }
        for sender in 0..2 {
            let at_ms = self.ms(end / 6, end * 3 / 4);
            let back_ms = self.ms(200, 900);
            happenings.push(if sender == 0 || self.chance(0.5) {
                Happening::Kill { at_ms, sender, back_ms }
            } else {
                Happening::Restart { at_ms, sender, back_ms }
            });
        }
        if self.chance(0.7) {
            let partner = &partners[self.whole(0, partners.len() as u64) as usize];
            if partner.endpoints.len() > 1 {
                let endpoint = partner.endpoints[0].id.clone();
                let at_ms = self.ms(end / 5, end / 2);
                happenings.push(Happening::List {
                    at_ms,
                    endpoint: endpoint.clone(),
                    phase: Phase::Draining,
                });
                let at_ms = Ms(at_ms.0 + self.whole(3_000, 6_000));
                happenings.push(Happening::List { at_ms, endpoint, phase: Phase::Deleted });
            }
        }
        if self.chance(0.5) {
            let (at_ms, for_ms) = (self.ms(end / 6, end / 2), self.ms(end / 5, end / 2));
            happenings.push(Happening::Stale { at_ms, for_ms, late_ms: self.ms(500, 3_000) });
        }
        let mut script = Scenario {
            seed,
            seconds,
            senders: 2,
            list_late_ms: self.ms(50, 400),
            traffic: Traffic {
                per_s: PerSecond(per_s),
                status_share: self.share(0.35, 0.53),
                clumps: self.share(0.09, 0.16),
                clump: self.whole(4, 14) as u16,
                retries: self.share(0.0, 1.0),
                leave: self.share(0.0, 0.03),
                bad_per_s: self.between(0.0, 3.0),
            },
            partners,
            happenings,
        };
        // Drawn last: what was drawn for a seed before these were thought of is still drawn for it.
        self.platform_and_links(&mut script, end);
        if self.chance(0.5) {
            let (at_ms, sender) = (self.ms(end / 6, end * 3 / 4), self.whole(0, 2) as usize);
            script.happenings.push(Happening::Upgrade { at_ms, sender });
        }
        script
    }

    /// Troubles of the agents and of the links, some of them on most evenings.
    fn platform_and_links(&mut self, script: &mut Scenario, end: u64) {
        if self.chance(0.5) {
            let trouble = match self.whole(0, 3) {
                0 => DiscoveryFault::Silent,
                1 => DiscoveryFault::RefusesNotices,
                _ => DiscoveryFault::IgnoresNotices,
            };
            let (at_ms, for_ms) = (self.ms(end / 6, end * 3 / 4), self.ms(1_000, 5_000));
            let sender = self.whole(0, 2) as usize;
            script.happenings.push(Happening::Agent { at_ms, for_ms, sender, trouble });
        }
        if self.chance(0.3) {
            let (at_ms, sender) = (self.ms(end / 6, end * 3 / 4), self.whole(0, 2) as usize);
            script.happenings.push(Happening::Move { at_ms, sender });
        }
        if self.chance(0.6) {
            let trouble = match self.whole(0, 7) {
                0 => LinkFault::Delay { ms: self.ms(5, 120) },
                1 => LinkFault::LoseBack,
                2 => LinkFault::BlackHole,
                3 => LinkFault::CutAfter { bytes: self.whole(1, 2_000) as u32 },
                4 => LinkFault::HalfCloseAfter { bytes: self.whole(1, 2_000) as u32 },
                5 => LinkFault::Trickle { pause_ms: self.ms(1, 3) },
                _ => LinkFault::Reset,
            };
            let (at_ms, for_ms) = (self.ms(end / 6, end * 3 / 4), self.ms(1_000, 8_000));
            let sender = self.whole(0, 2) as usize;
            let partner = script.partners[self.whole(0, script.partners.len() as u64) as usize].number;
            script.happenings.push(Happening::Link { at_ms, for_ms, sender, partner, trouble });
        }
    }

    fn partner(&mut self, n: u16) -> ReceiverPlan {
        let endpoints = (0..self.whole(1, 5))
            .map(|e| EndpointPlan {
                id: format!("p{n}-{e}"),
                hall: ["hall-a", "hall-b"][self.whole(0, 2) as usize].to_owned(),
            })
            .collect();
        let apart = self.chance(0.33);
        let limit = if apart && self.chance(0.5) {
            Limit::Rate
        } else {
            Limit::Span { span_ms: Ms(if apart { 2_000 } else { 1_000 }) }
        };
        ReceiverPlan {
            number: n + 1,
            name: format!("partner-{}", n + 1),
            endpoints,
            apart,
            per_s: PerSecond(self.between(6.0, 24.0)),
            limit,
            refused_count: !apart,
            tells: Tells {
                share: self.share(0.0, 1.0),
                wait_ms: if self.chance(0.5) { Some(self.ms(230, 990)) } else { None },
            },
            work_ms: self.ms(60, 300),
            queue: self.whole(2, 9) as u16,
            connections: self.whole(16, 64) as u16,
            weight: self.between(0.3, 1.0),
        }
    }

    fn outage(&mut self, partner: &ReceiverPlan, end: u64) -> Happening {
        let outage = match self.whole(0, 6) {
            0 => Outage::Refuse,
            1 => Outage::Shut,
            2 => Outage::Errors { share: self.share(0.6, 0.96) },
            3 => Outage::Stall { stop_ms: self.ms(200, 500), every_ms: self.ms(1_200, 2_800) },
            4 => Outage::Silent,
            _ => Outage::Vanish,
        };
        let at_ms = self.ms(end / 10, end / 2);
        // As long as those seen in service, however short the evening: a sender's view of health is made for these.
        let for_ms = self.ms(7_600, 14_000);
        // Mostly all of them.
        let some = partner.endpoints.len() > 1 && self.chance(0.2);
        let endpoints = if some { vec![partner.endpoints[0].id.clone()] } else { Vec::new() };
        Happening::Outage { at_ms, for_ms, partner: partner.number, endpoints, outage }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_evening_is_the_same_for_the_same_seed_and_survives_its_file() {
        let drawn = Scenario::evening(7, 40);
        assert_eq!(drawn, Scenario::evening(7, 40));
        assert_ne!(drawn, Scenario::evening(8, 40));
        for seed in 0..200 {
            let script = Scenario::evening(seed, 40);
            let text = toml::to_string(&script).expect("it can be written");
            let read = Scenario::parse(&text, Path::new("evening.toml")).expect("it can be read");
            assert_eq!(read.partners.len(), script.partners.len());
            assert_eq!(read.happenings, script.happenings);
        }
    }

    #[test]
    fn a_figure_that_cannot_be_read_is_named_with_its_line_and_field() {
        let good = toml::to_string(&Scenario::evening(7, 40)).expect("it can be written");
        let bad = [
            ("status_share", "status_share = 1.5", "1.5 is not a share from 0 to 1"),
            ("list_late_ms", "list_late_ms = 99999999", "99999999 ms are more than an hour"),
            ("list_late_ms", "list_late_ms = \"soon\"", "invalid type: string"),
            ("list_late_ms", "list_latte_ms = 5", "unknown field `list_latte_ms`"),
            ("senders", "senders = 0", "senders: 0 is not from 1 to 16"),
        ];
        for (field, line, expected) in bad {
            let at = good.lines().position(|l| l.starts_with(field)).expect("the field");
            let text: Vec<&str> =
                good.lines().enumerate().map(|(n, l)| if n == at { line } else { l }).collect();
            let error = Scenario::parse(&text.join("\n"), Path::new("bad.toml")).expect_err(line).to_string();
            assert!(error.contains("bad.toml") && error.contains(expected), "{error}");
            let told = error.contains(&format!("line {}", at + 1)) || field == "senders";
            assert!(told, "no line in {error}");
        }
    }

    #[test]
    fn what_names_something_that_is_not_there_is_refused() {
        let mut script = Scenario::evening(7, 40);
        script.happenings = vec![Happening::Kill { at_ms: Ms(5), sender: 9, back_ms: Ms(5) }];
        let text = toml::to_string(&script).expect("it can be written");
        let error = Scenario::parse(&text, Path::new("bad.toml")).expect_err("no such sender").to_string();
        assert!(error.contains("happenings[0]: there is no sender 9"), "{error}");
    }
}
