//! Submissions that wait until the peer process has answered the claim of their message ids.
//!
//! While two processes of a sender accept messages, an id that one of them has in work must not be accepted by the other one:
//! the message would be sent twice at once. Each process therefore claims the id of a new message before it accepts the message.
//! If both claim an id at the same time, the owner of the journal gets it.
//!
//! Once the owner has disconnected, its messages are in its part of the journal only, so the successor accepts no message until
//! it has taken the journal over.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use rudderspindle_journal::MessageId;
use tokio::time::Instant;

use crate::event::{ClaimNumber, Submission};

/// How long a submission waits for the answer to its claim. A client waits 400 ms for its response.
pub(super) const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

/// Which other process must be asked before a message is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimMode {
    /// No other process accepts messages.
    NotRequired,
    /// The peer process answers claims.
    AskPeerProcess,
    /// The owner has disconnected, and its journal has not been taken over.
    AwaitTakeover,
}

/// A submission whose claim has not been answered.
#[derive(Debug)]
struct WaitingSubmission {
    submission: Submission,
    due: Instant,
}

/// The submissions that wait, in the order of their claims.
#[derive(Debug)]
pub(super) struct IdClaims {
    mode: ClaimMode,
    waiting: BTreeMap<ClaimNumber, WaitingSubmission>,
    message_ids: HashSet<MessageId>,
    next_number: u64,
}

impl IdClaims {
    /// Creates an empty set. `owner_answers_claims` is whether this process is a successor whose owner answers claims.
    pub fn new(owner_answers_claims: bool) -> Self {
        let mode = if owner_answers_claims { ClaimMode::AskPeerProcess } else { ClaimMode::NotRequired };
        Self { mode, waiting: BTreeMap::new(), message_ids: HashSet::new(), next_number: 0 }
    }

    /// Whether the id of a new message must be claimed.
    pub fn is_required(&self) -> bool {
        self.mode != ClaimMode::NotRequired
    }

    /// Whether the peer process can be asked now.
    pub fn can_ask(&self) -> bool {
        self.mode == ClaimMode::AskPeerProcess
    }

    /// Number of submissions that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a submission with this message id waits.
    pub fn contains(&self, message_id: &MessageId) -> bool {
        self.message_ids.contains(message_id)
    }

    /// Adds a submission, and returns the number of its claim.
    pub fn insert(&mut self, submission: Submission, now: Instant) -> ClaimNumber {
        let number = ClaimNumber(self.next_number);
        self.next_number += 1;
        self.message_ids.insert(submission.message_id.clone());
        self.waiting.insert(number, WaitingSubmission { submission, due: now + CLAIM_TIMEOUT });
        number
    }

    /// Removes and returns the submission of a claim; `None` if it no longer waits.
    pub fn remove(&mut self, number: ClaimNumber) -> Option<Submission> {
        let WaitingSubmission { submission, .. } = self.waiting.remove(&number)?;
        self.message_ids.remove(&submission.message_id);
        Some(submission)
    }

    /// When the next submission is overdue.
    pub fn next_due(&self) -> Option<Instant> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting.due)
    }

    /// Removes and returns the submissions whose claims were not answered in time.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Submission> {
        let overdue = self.waiting.iter().take_while(|(_, waiting)| waiting.due <= now);
        let numbers: Vec<ClaimNumber> = overdue.map(|(number, _)| *number).collect();
        numbers.into_iter().filter_map(|number| self.remove(number)).collect()
    }

    /// Claims are required from now on, because the peer process accepts messages.
    pub fn peer_accepts_messages(&mut self) {
        self.mode = ClaimMode::AskPeerProcess;
    }

    /// The owner has disconnected from this process, its successor.
    pub fn owner_disconnected(&mut self) {
        if self.is_required() {
            self.mode = ClaimMode::AwaitTakeover;
        }
    }

    /// No other process accepts messages any more. Returns the submissions that waited.
    pub fn end(&mut self) -> Vec<Submission> {
        self.mode = ClaimMode::NotRequired;
        self.message_ids.clear();
        std::mem::take(&mut self.waiting).into_values().map(|waiting| waiting.submission).collect()
    }
}
