//! Outage states for a restarted sender: one record for each endpoint in an outage or recovering from one.

use std::collections::BTreeMap;
use std::rc::Rc;

use rudderspindle_clock::UnixMillis;

/// How long a record stays valid beyond its Retry-After, in milliseconds: later states are recorded within this time.
const RECORD_LIFETIME_MS: u64 = 60_000;
/// Maximum number of records; the oldest is evicted. Together they fill less than a segment.
const MAX_RECORDS: usize = 1_000;

/// The recorded state of a destination, or of one of its receivers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageState {
    /// In an outage.
    Down {
        /// Remaining time of the announced Retry-After, in milliseconds; 0 for none.
        retry_after_remaining: u64,
    },
    /// In the recovery ramp after an outage.
    WarmingUp {
        /// Milliseconds since the recovery; negative while a Retry-After has to pass first.
        since_recovery: i64,
        /// This sender's share of the ramp, from 0 to 1.
        ramp_share: f64,
    },
}

/// A destination, or one of its receivers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey {
    /// The destination's number.
    pub destination: u16,
    /// The receiver's id; empty for the destination as a whole.
    pub receiver: Rc<str>,
}

impl EndpointKey {
    /// The key of one receiver, or of the whole destination if `receiver` is empty.
    pub fn new(destination: u16, receiver: impl Into<Rc<str>>) -> Self {
        Self { destination, receiver: receiver.into() }
    }
}

/// The latest record of an endpoint's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutageRecord {
    /// The segment that holds the record.
    pub segment: u64,
    /// When the state was recorded.
    pub recorded_at: UnixMillis,
    /// The state at that time.
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

    /// The state at `now`. If the wall clock was set back, it is the recorded one.
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

/// The outage records of a journal, by endpoint: at most [`MAX_RECORDS`].
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
        let by_age = self.0.iter().min_by_key(|(_, record)| record.recorded_at);
        if let Some(oldest) = by_age.map(|(endpoint, _)| endpoint.clone()) {
            self.0.remove(&oldest);
        }
    }

    /// The states that are valid at `now`, in the order of their endpoints.
    pub fn states_at(&self, now: UnixMillis) -> impl Iterator<Item = (&EndpointKey, OutageState)> {
        let valid = self.0.iter().filter(move |(_, record)| !record.is_expired(now));
        valid.map(move |(endpoint, record)| (endpoint, record.state_at(now)))
    }

    /// Adds records of an earlier process, for endpoints without a record.
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

    /// Records that the records of one segment were written again to another.
    pub fn move_segment(&mut self, from: u64, to: u64) {
        let moved = self.0.values_mut().filter(|record| record.segment == from);
        moved.for_each(|record| record.segment = to);
    }
}

#[cfg(test)]
mod tests;
