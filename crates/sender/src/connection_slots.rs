//! Which client's connection gives up its place. No I/O and no clock.
//!
//! Places are few, and so are those of the clients: one that keeps its connection after an answer has one
//! connection less for its next message, and where many do so, what they have to say waits on their side and
//! never comes. So connections that rest (no request open) hold at most [`RESTING_PART`] of the places, however
//! many are free; beyond it the one that has rested longest goes, one that asked only once before one that has
//! come back. When all places are taken, those that were told to go are waited for no longer; then silent newcomers go first, from the address that holds most of them.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::IpAddr;
use std::time::Duration;

/// A connection's number, in the order in which they came.
pub type ClientId = u64;

/// One place in so many may be held by connections that rest.
pub const RESTING_PART: usize = 4;
/// A client connects because it has something to say: one that is silent for longer goes first when places run
/// out.
pub const SHY: Duration = Duration::from_millis(300);

/// What is known of a connection. Times count from any moment, the same for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has connected and has had no answer yet.
    New,
    /// It was answered, has no request open and never had a second one.
    Once,
    /// The same, after two requests or more.
    Again,
    /// It has a request that has come whole and is not answered.
    Asking,
    /// It was told to go, and what it still sends is discarded.
    Leaving,
}

#[derive(Debug)]
struct Client {
    address: IpAddr,
    state: State,
    since: Duration,
    answers: u32,
}

/// The connections that hold a place.
#[derive(Debug)]
pub struct ConnectionSlots {
    resting_most: usize,
    clients: HashMap<ClientId, Client>,
    /// Those in each state but `Asking`, the longest in it first.
    new: BTreeSet<(Duration, ClientId)>,
    once: BTreeSet<(Duration, ClientId)>,
    again: BTreeSet<(Duration, ClientId)>,
    leaving: BTreeSet<(Duration, ClientId)>,
}

impl ConnectionSlots {
    /// Nobody holds any of `total` places yet.
    pub fn new(total: usize) -> Self {
        Self {
            resting_most: (total / RESTING_PART).max(1),
            clients: HashMap::new(),
            new: BTreeSet::new(),
            once: BTreeSet::new(),
            again: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// A client has connected.
    pub fn connected(&mut self, id: ClientId, address: IpAddr, now: Duration) {
        self.left(id);
        self.clients.insert(id, Client { address, state: State::New, since: now, answers: 0 });
        self.new.insert((now, id));
    }

    /// Its request has come whole.
    pub fn asks(&mut self, id: ClientId, now: Duration) {
        self.turn(id, State::Asking, now);
    }

    /// Its request is answered. Returns another that has rested for long and must go for it, if too many rest;
    /// `coming` tells whose next request has begun to come.
    pub fn answered(
        &mut self,
        id: ClientId,
        now: Duration,
        coming: impl Fn(ClientId) -> bool,
    ) -> Option<ClientId> {
        let answers = {
            let client = self.clients.get_mut(&id)?;
            client.answers = client.answers.saturating_add(1);
            client.answers
        };
        self.turn(id, if answers == 1 { State::Once } else { State::Again }, now);
        if self.once.len() + self.again.len() <= self.resting_most {
            return None;
        }
        let mut resting = self.once.iter().chain(&self.again);
        let surplus = resting.find(|c| c.1 != id && !coming(c.1))?.1;
        self.leaves(surplus, now);
        Some(surplus)
    }

    /// It was told to go.
    pub fn leaves(&mut self, id: ClientId, now: Duration) {
        self.turn(id, State::Leaving, now);
    }

    /// It is gone.
    pub fn left(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id)
            && let Some(set) = self.set(client.state)
        {
            set.remove(&(client.since, id));
        }
    }

    /// Who must go when all places are taken; `coming` tells whose request has begun to come, and `unread` (which
    /// costs more, and is asked of few) who has sent something that nobody has read yet. Nobody, if all have a
    /// request open.
    pub fn make_room(
        &mut self,
        now: Duration,
        coming: impl Fn(ClientId) -> bool,
        unread: impl Fn(ClientId) -> bool,
    ) -> Option<ClientId> {
        let mut spared = HashSet::new();
        let victim = loop {
            let victim = self.least_wanted(now, &coming, &spared)?;
            if self.clients[&victim].state == State::Leaving || !unread(victim) {
                break victim;
            }
            spared.insert(victim);
        };
        self.left(victim);
        Some(victim)
    }

    fn least_wanted(
        &self,
        now: Duration,
        coming: &impl Fn(ClientId) -> bool,
        spared: &HashSet<ClientId>,
    ) -> Option<ClientId> {
        let silent = |&&(_, id): &&(Duration, ClientId)| !spared.contains(&id) && !coming(id);
        (self.leaving.first().map(|c| c.1))
            .or_else(|| self.longest_silent(now, silent))
            .or_else(|| self.once.iter().find(silent).map(|c| c.1))
            .or_else(|| self.again.iter().find(silent).map(|c| c.1))
            .or_else(|| self.new.iter().find(silent).map(|c| c.1))
            // All that are left have said something: the one whose request has taken longest to come.
            .or_else(|| self.any(spared).min().map(|c| c.1))
    }

    /// A newcomer silent for over [`SHY`]: from the address with most of them, the longest silent there.
    fn longest_silent(
        &self,
        now: Duration,
        silent: impl Fn(&&(Duration, ClientId)) -> bool,
    ) -> Option<ClientId> {
        let mut by_address: HashMap<IpAddr, (usize, (Duration, ClientId))> = HashMap::new();
        let shy = self.new.iter().take_while(|c| now.saturating_sub(c.0) > SHY);
        for &(since, id) in shy.filter(silent) {
            by_address.entry(self.clients[&id].address).or_insert((0, (since, id))).0 += 1;
        }
        by_address
            .into_values()
            .max_by_key(|&(most, first)| (most, std::cmp::Reverse(first)))
            .map(|(_, c)| c.1)
    }

    fn any(&self, spared: &HashSet<ClientId>) -> impl Iterator<Item = &(Duration, ClientId)> {
        let sets = [&self.new, &self.once, &self.again].into_iter();
        sets.filter_map(|set| set.iter().find(|c| !spared.contains(&c.1)))
    }

    fn turn(&mut self, id: ClientId, state: State, now: Duration) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (before, since) = (client.state, client.since);
        (client.state, client.since) = (state, now);
        if let Some(set) = self.set(before) {
            set.remove(&(since, id));
        }
        if let Some(set) = self.set(state) {
            set.insert((now, id));
        }
    }

    fn set(&mut self, state: State) -> Option<&mut BTreeSet<(Duration, ClientId)>> {
        match state {
            State::New => Some(&mut self.new),
            State::Once => Some(&mut self.once),
            State::Again => Some(&mut self.again),
            State::Leaving => Some(&mut self.leaving),
            State::Asking => None,
        }
    }
}

#[cfg(test)]
mod tests;
