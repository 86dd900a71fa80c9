//! Builds event logs by hand; times are in milliseconds.

use std::collections::BTreeSet;

use rudderspindle_testkit::checker::{Rule, Verdict, check_events};
use rudderspindle_testkit::event_log::{
    Class, Effect, Endpoint, Event, KeyGroup, Line, ProcessState, Rules, VERSION,
};

/// A log that is written by hand: times in milliseconds.
pub struct Log(pub Vec<Line>);

impl Log {
    pub fn new() -> Self {
        let class = |name: &str, effect, key_group, ordered| Class {
            name: name.to_owned(),
            effect,
            key_group,
            key_window_ms: 15_000,
            target_ms: 2_000,
            deadline_ms: 10_000,
            ordered,
        };
        let classes = vec![
            class("safe", Effect::Idempotent, KeyGroup::All, false),
            class("keyed", Effect::IdempotencyKey, KeyGroup::Zone, false),
            class("unsafe", Effect::AtMostOnce, KeyGroup::All, false),
            class("ordered", Effect::Idempotent, KeyGroup::All, true),
        ];
        let endpoint = |id: &str, receiver, zone: &str, independent| Endpoint {
            id: id.to_owned(),
            receiver,
            zone: zone.to_owned(),
            independent,
            per_s: 10.0,
        };
        let endpoints = vec![
            endpoint("a", 1, "hall-a", false),
            endpoint("b", 1, "hall-b", false),
            endpoint("r1", 2, "hall-a", true),
            endpoint("r2", 2, "hall-a", true),
        ];
        let header = Event::Header { v: VERSION, classes, endpoints, rules: Rules::default() };
        Self(vec![Line { t: 0, event: header }])
    }

    pub fn at(&mut self, ms: u64, event: Event) -> &mut Self {
        self.0.push(Line { t: ms * 1_000, event });
        self
    }

    pub fn submit(&mut self, ms: u64, message_id: &str, class: &str) -> &mut Self {
        let order = (class == "ordered").then(|| "key".to_owned());
        let (message_id, sender, class) = (message_id.to_owned(), "n0".to_owned(), class.to_owned());
        let (first_message_id, tenant) = (message_id.clone(), "t".to_owned());
        let submitted = Event::Submitted {
            message_id,
            first_message_id,
            sender,
            class,
            tenant,
            receiver: 1,
            time_left_ms: 10_000,
            ordering_key: order,
        };
        self.at(ms, submitted)
    }

    pub fn respond(&mut self, ms: u64, message_id: &str, status: u16) -> &mut Self {
        self.at(ms, Event::Responded { message_id: message_id.to_owned(), status })
    }

    pub fn accept(&mut self, ms: u64, message_id: &str, class: &str) -> &mut Self {
        self.submit(ms, message_id, class).respond(ms, message_id, 202)
    }

    pub fn call(&mut self, ms: u64, call: u64, message_id: &str, endpoint: &str) -> &mut Self {
        let (sender, endpoint, message_id) = ("n0".to_owned(), endpoint.to_owned(), message_id.to_owned());
        self.at(ms, Event::CallReceived { call, sender, endpoint, message_id, first_us: ms * 1_000 })
    }

    pub fn answer(&mut self, ms: u64, call: u64, status: u16, wait_ms: u64) -> &mut Self {
        self.at(ms, Event::CallAnswered { call, status, retry_after_ms: wait_ms })
    }

    pub fn abort(&mut self, ms: u64, call: u64) -> &mut Self {
        self.at(ms, Event::CallAborted { call })
    }

    pub fn process(&mut self, ms: u64, state: ProcessState) -> &mut Self {
        self.at(ms, Event::ProcessChanged { sender: "n0".to_owned(), state })
    }

    pub fn notify(&mut self, ms: u64, message_id: &str, status: &str) -> &mut Self {
        let (sender, message_id, status) = ("n0".to_owned(), message_id.to_owned(), status.to_owned());
        self.at(ms, Event::Notified { sender, message_id, status, acknowledged: true })
    }

    pub fn verdict(&self) -> Verdict {
        check_events(&self.0)
    }

    pub fn broken_rules(&self) -> BTreeSet<Rule> {
        self.verdict().broken_rules()
    }
}

impl Log {
    pub fn link(&mut self, ms: u64, endpoint: &str, hides_responses: bool, on: bool) -> &mut Self {
        let (sender, endpoint, kind) = ("n0".to_owned(), endpoint.to_owned(), "black_hole".to_owned());
        self.at(ms, Event::LinkFault { sender, endpoint, kind, hides_responses, on })
    }

    pub fn discovery_fault(&mut self, ms: u64, kind: &str, on: bool) -> &mut Self {
        self.at(ms, Event::DiscoveryFault { sender: "n0".to_owned(), kind: kind.to_owned(), on })
    }

    pub fn outage(&mut self, ms: u64, endpoints: &[&str], on: bool) -> &mut Self {
        for endpoint in endpoints {
            let (endpoint, kind) = ((*endpoint).to_owned(), "shut".to_owned());
            self.at(ms, Event::Outage { endpoint, kind, on });
        }
        self
    }
}

pub fn only(rule: Rule) -> BTreeSet<Rule> {
    BTreeSet::from([rule])
}
