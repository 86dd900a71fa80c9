//! The calls that are out to one destination. No decision.

use crate::interface::{Millis, RouteId};

/// A call out; kept until all its messages have their outcomes.
#[derive(Debug)]
pub(crate) struct Call {
    pub id: u64,
    pub route: RouteId,
    pub sent_at: Millis,
    /// Messages without an outcome.
    pub left: usize,
    /// Whether something is known of it.
    pub known: bool,
    /// Calls sent later through its route and answered well; all there can be once it was called off.
    pub passed: u32,
    /// Whether it used the pace up.
    pub limited: bool,
}

/// As many as a sender has slots, at the most.
#[derive(Debug, Default)]
pub(crate) struct Calls(Vec<Call>);

impl Calls {
    pub fn begin(&mut self, call: Call) {
        self.0.push(call);
    }

    pub fn iter(&self) -> impl Iterator<Item = &Call> {
        self.0.iter()
    }

    pub fn get(&self, id: u64) -> Option<&Call> {
        self.0.iter().find(|call| call.id == id)
    }

    /// Those sent through a route before then have seen a later one answered well.
    pub fn pass(&mut self, route: RouteId, sent_at: Millis) {
        let earlier = self.0.iter_mut().filter(|call| call.route == route && call.sent_at < sent_at);
        earlier.for_each(|call| call.passed = call.passed.saturating_add(1));
    }

    /// These are called off.
    pub fn call_off(&mut self, ids: &[u64]) {
        self.0.iter_mut().filter(|call| ids.contains(&call.id)).for_each(|call| call.passed = u32::MAX);
    }

    /// One of its messages has its outcome: whether it is the first one, and the last one.
    pub fn settle(&mut self, id: u64) -> (bool, bool) {
        let Some(at) = self.0.iter().position(|call| call.id == id) else { return (false, false) };
        let call = &mut self.0[at];
        call.left -= 1;
        let (first, last) = (!std::mem::replace(&mut call.known, true), call.left == 0);
        if last {
            self.0.swap_remove(at);
        }
        (first, last)
    }
}
