//! Fleet membership: the newest process known under each sender number, ordered by incarnation.
//!
//! Invariant: from the first message of a newer incarnation on, messages of earlier incarnations under the same sender
//! number are ignored.

mod incarnation;

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

pub use incarnation::{Incarnation, IncarnationTooFarAhead};

/// Time without a message after which a sender is considered down, in milliseconds: ten rounds of datagrams.
pub const LIVENESS_TIMEOUT: u64 = 10_000;
/// Time without a message after which the incarnation under a sender number is forgotten, in milliseconds; longer than the
/// delay of any datagram.
///
/// After this time, a process that restarted with an empty state folder and a clock that was set back is accepted again.
pub const FORGET_TIMEOUT: u64 = 600_000;
/// Maximum delay of a datagram, in milliseconds.
///
/// If a message of a replaced incarnation arrives later than this after the first message of the newer incarnation, both
/// processes are running.
pub const MAX_DATAGRAM_DELAY: u64 = 3_000;

/// Order of a received message's incarnation relative to the newest one known under the same sender number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// The incarnation of a replaced process, whose messages are ignored.
    Older,
    /// The newest incarnation known.
    Current,
    /// An incarnation that replaces the newest one known so far, whose state is obsolete.
    Newer,
}

/// The last change that was observed under a sender number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberEvent {
    /// The first message was received since this process started, or since the sender number was forgotten.
    Joined,
    /// The same process sent a message after a gap of more than `LIVENESS_TIMEOUT`: it was paused or partitioned.
    Resumed,
    /// A newer process replaced the known one under this number.
    Restarted,
    /// A replaced process still sent a message after `MAX_DATAGRAM_DELAY`: two processes use one number.
    DuplicateDetected,
}

/// The newest incarnation known under a sender number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewestIncarnation {
    /// The largest incarnation received.
    pub incarnation: Incarnation,
    /// When the last message of this incarnation was received, by the reader's clock.
    pub last_received: UnixMillis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Member {
    incarnation: Incarnation,
    /// When the first message of this incarnation was received.
    first_received: UnixMillis,
    last_received: UnixMillis,
    last_event: MemberEvent,
}

impl Member {
    fn new(incarnation: Incarnation, now: UnixMillis, last_event: MemberEvent) -> Self {
        Self { incarnation, first_received: now, last_received: now, last_event }
    }

    /// Records a message of an earlier incarnation than this one.
    fn record_older(&mut self, now: UnixMillis) -> IncarnationOrder {
        if now > self.first_received.saturating_add(MAX_DATAGRAM_DELAY) {
            self.last_event = MemberEvent::DuplicateDetected;
        }
        IncarnationOrder::Older
    }

    /// Records a message of this incarnation.
    fn record_current(&mut self, now: UnixMillis) -> IncarnationOrder {
        if now > self.last_received.saturating_add(LIVENESS_TIMEOUT) {
            self.last_event = MemberEvent::Resumed;
        }
        self.last_received = self.last_received.max(now);
        IncarnationOrder::Current
    }
}

/// The newest incarnation under each sender number. An entry is removed after `FORGET_TIMEOUT` without a message.
///
/// ```
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_gossip::{Incarnation, IncarnationOrder, MembershipList};
/// let now = UnixMillis(6_000);
/// let mut members = MembershipList::new(3);
/// assert_eq!(members.record_message(1, Incarnation(5_000), now), Ok(IncarnationOrder::Newer));
/// assert_eq!(members.record_message(1, Incarnation(4_000), now), Ok(IncarnationOrder::Older));
/// assert!(members.is_alive(1, now + 500) && !members.is_alive(1, now + 11_000));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MembershipList {
    /// Number of senders in the fleet.
    senders: usize,
    /// The newest incarnation received under each sender number.
    members: BTreeMap<usize, Member>,
}

impl MembershipList {
    /// Creates an empty list for a fleet of `senders` senders.
    pub fn new(senders: usize) -> Self {
        Self { senders, members: BTreeMap::new() }
    }

    /// Records that a message of sender number `from` was received. If the result is [`IncarnationOrder::Older`], the caller
    /// must ignore the content of the message.
    ///
    /// For a number that is not below the fleet's size, the result is always [`IncarnationOrder::Older`].
    ///
    /// # Errors
    ///
    /// [`IncarnationTooFarAhead`] if the incarnation is too far ahead of `now`; the list is unchanged.
    pub fn record_message(
        &mut self,
        from: usize,
        incarnation: Incarnation,
        now: UnixMillis,
    ) -> Result<IncarnationOrder, IncarnationTooFarAhead> {
        incarnation.check_clock(now)?;
        self.members.retain(|_, member| member.last_received.saturating_add(FORGET_TIMEOUT) > now);
        if from >= self.senders {
            return Ok(IncarnationOrder::Older);
        }
        let Some(member) = self.members.get_mut(&from) else {
            self.members.insert(from, Member::new(incarnation, now, MemberEvent::Joined));
            return Ok(IncarnationOrder::Newer);
        };
        if incarnation < member.incarnation {
            return Ok(member.record_older(now));
        }
        if incarnation > member.incarnation {
            *member = Member::new(incarnation, now, MemberEvent::Restarted);
            return Ok(IncarnationOrder::Newer);
        }
        Ok(member.record_current(now))
    }

    /// Whether a message of the sender number was received within `LIVENESS_TIMEOUT`.
    pub fn is_alive(&self, number: usize, now: UnixMillis) -> bool {
        let member = self.members.get(&number);
        member.is_some_and(|member| member.last_received.saturating_add(LIVENESS_TIMEOUT) > now)
    }

    /// The last change under the sender number; `None` if no message was received from it, or the number was forgotten.
    pub fn last_event(&self, number: usize) -> Option<MemberEvent> {
        self.members.get(&number).map(|member| member.last_event)
    }

    /// The newest incarnation known under the sender number; `None` if no message was received from it, or the number was
    /// forgotten.
    pub fn newest(&self, number: usize) -> Option<NewestIncarnation> {
        let member = self.members.get(&number)?;
        Some(NewestIncarnation { incarnation: member.incarnation, last_received: member.last_received })
    }
}

#[cfg(test)]
mod tests;
