//! Outage states that a restarted sender recovers: one record for each endpoint that is in an outage or recovers from one.

use std::collections::BTreeMap;
use std::rc::Rc;

use rudderspindle_clock::UnixMillis;

/// How long a record stays valid after its Retry-After has passed, in milliseconds. The sender records the next state of the
/// endpoint within this time.
const RECORD_LIFETIME_MS: u64 = 60_000;
/// Maximum number of records; beyond it the oldest record is evicted. This many records fill less than a segment.
const MAX_RECORDS: usize = 1_000;

/// The outage state of a destination, or of one of its receivers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// The endpoint is in an outage.
    Down {
        /// Remaining time of the Retry-After that the endpoint sent, in milliseconds; 0 if it sent none.
        retry_after_remaining: u64,
    },
    /// The endpoint is in the recovery ramp after an outage.
    WarmingUp {
        /// Milliseconds since the recovery; negative until a Retry-After has passed.
        since_recovery: i64,
        /// This sender's share of the recovery ramp, from 0 to 1.
        ramp_share: f64,
    },
}

/// The key of an endpoint: a destination, or one of its receivers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey {
    /// The number of the destination.
    pub destination: u16,
    /// The id of the receiver; empty for the destination as a whole.
    pub receiver: Rc<str>,
}

impl EndpointKey {
    /// The key of one receiver, or of the whole destination if `receiver` is empty.
    pub fn new(destination: u16, receiver: impl Into<Rc<str>>) -> Self {
        Self { destination, receiver: receiver.into() }
    }
}

/// The latest record of an endpoint's outage state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutageRecord {
    /// Number of the segment that holds the record.
    pub segment: u64,
    /// When the state was recorded.
    pub recorded_at: UnixMillis,
    /// The state at the time `recorded_at`.
    pub outage: OutageState,
}

impl OutageRecord {
    fn is_expired(&self, now: UnixMillis) -> bool {
        let retry_after_remaining = match self.outage {
            OutageState::Down { retry_after_remaining } => retry_after_remaining,
            OutageState::WarmingUp { .. } => 0,
        };
        let lifetime = retry_after_remaining.saturating_add(RECORD_LIFETIME_MS);
        now.millis_since(self.recorded_at) > lifetime
    }

    /// The state at `now`: the recorded state, aged by the time since. If the wall clock was set back, the state is not aged.
    fn state_at(&self, now: UnixMillis) -> OutageState {
        let elapsed = now.millis_since(self.recorded_at);
        match self.outage {
            OutageState::Down { retry_after_remaining } => {
                OutageState::Down { retry_after_remaining: retry_after_remaining.saturating_sub(elapsed) }
            }
            OutageState::WarmingUp { since_recovery, ramp_share } => {
                let since_recovery = since_recovery.saturating_add_unsigned(elapsed);
                OutageState::WarmingUp { since_recovery, ramp_share }
            }
        }
    }
}

/// The outage records of a journal by endpoint, at most [`MAX_RECORDS`].
#[derive(Debug, Default)]
pub(crate) struct OutageRecords(BTreeMap<EndpointKey, OutageRecord>);

impl OutageRecords {
    /// Replaces the record of an endpoint; `None` removes it.
    pub fn set(&mut self, endpoint: EndpointKey, record: Option<OutageRecord>) {
        match record {
            Some(record) => self.0.insert(endpoint, record),
            None => self.0.remove(&endpoint),
        };
        if self.0.len() > MAX_RECORDS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest_record = self.0.iter().min_by_key(|(_, record)| record.recorded_at);
        if let Some(endpoint) = oldest_record.map(|(endpoint, _)| endpoint.clone()) {
            self.0.remove(&endpoint);
        }
    }

    /// The states that have not expired at `now`, aged to `now`, in the order of their endpoints.
    pub fn states_at(&self, now: UnixMillis) -> impl Iterator<Item = (&EndpointKey, OutageState)> {
        let valid = self.0.iter().filter(move |(_, record)| !record.is_expired(now));
        valid.map(move |(endpoint, record)| (endpoint, record.state_at(now)))
    }

    /// Adds the records of an earlier process, except for endpoints that already have a record.
    pub fn add_older(&mut self, older: Self) {
        for (endpoint, record) in older.0 {
            if !self.0.contains_key(&endpoint) {
                self.set(endpoint, Some(record));
            }
        }
    }

    /// Removes the records in a segment that have expired.
    pub fn remove_expired(&mut self, segment: u64, now: UnixMillis) {
        self.0.retain(|_, record| record.segment != segment || !record.is_expired(now));
    }

    /// The records in a segment, in the order of their endpoints.
    pub fn in_segment(&self, segment: u64) -> impl Iterator<Item = (&EndpointKey, &OutageRecord)> {
        self.0.iter().filter(move |(_, record)| record.segment == segment)
    }

    /// Assigns the records of segment `from` to segment `to`, where compaction has written them again.
    pub fn move_segment(&mut self, from: u64, to: u64) {
        let moved = self.0.values_mut().filter(|record| record.segment == from);
        moved.for_each(|record| record.segment = to);
    }
}

#[cfg(test)]
mod tests;
