//! Handling of received datagrams.
//!
//! Invariant: a message is dropped unless all its fields are within their bounds, its round is current, and its sender and
//! recipient have the role in the round that the message requires.

use rudderspindle_clock::UnixMillis;

use crate::event::PlacementEvent;
use crate::gossip_message::{EncodedSummary, GossipError, GossipMessage, Heartbeat, RuleSetPart};
use crate::held_rule_sets::Insertion;
use crate::placement::Placement;
use crate::round::Round;
use crate::round_summary::RoundSummary;
use crate::rule_set_downloads::DownloadProgress;
use crate::sender_id::SenderId;

impl Placement {
    /// Handles the body of a datagram received from another sender at `now`.
    ///
    /// # Errors
    ///
    /// [`GossipError`] if the datagram is dropped; the state is then unchanged.
    pub fn receive(&mut self, now: UnixMillis, from: SenderId, bytes: &[u8]) -> Result<(), GossipError> {
        if from.0 >= self.settings.sender_count || from == self.settings.own_id {
            return Err(GossipError::UnexpectedSender(from));
        }
        match GossipMessage::decode(bytes)? {
            GossipMessage::Heartbeat(heartbeat) => self.receive_heartbeat(now, from, &heartbeat),
            GossipMessage::Summary(summary) => self.receive_summary(now, from, &summary),
            GossipMessage::PartRequest(request) => {
                self.uploads.insert(from, request);
                Ok(())
            }
            GossipMessage::Part(part) => {
                self.receive_part(now, from, &part);
                Ok(())
            }
        }
    }

    fn receive_heartbeat(
        &mut self,
        now: UnixMillis,
        from: SenderId,
        heartbeat: &Heartbeat,
    ) -> Result<(), GossipError> {
        let round = heartbeat.round;
        if heartbeat.sender_count != self.settings.sender_count {
            return Err(GossipError::SenderCountMismatch);
        }
        // A heartbeat must report the sender's state at a time within its round.
        let created_in_round = Round::containing(heartbeat.sent_at) == round;
        let round_is_over = round.plus(1) < Round::containing(now);
        if !created_in_round || !self.may_have_begun(now, round) || round_is_over {
            return Err(GossipError::RoundNotCurrent(round));
        }
        if !self.settings.is_aggregator(round) {
            return Err(GossipError::UnexpectedSender(self.settings.own_id));
        }
        self.collector.insert(from, heartbeat);
        Ok(())
    }

    fn receive_summary(
        &mut self,
        now: UnixMillis,
        from: SenderId,
        encoded: &EncodedSummary<'_>,
    ) -> Result<(), GossipError> {
        let round = encoded.round;
        let round_is_over = round.start().saturating_add(self.settings.lease_ms) <= now;
        if round_is_over || !self.may_have_begun(now, round) {
            return Err(GossipError::RoundNotCurrent(round));
        }
        if !self.settings.aggregators(round).contains(&from) {
            return Err(GossipError::UnexpectedSender(from));
        }
        let summary = RoundSummary::decode(encoded, self.settings.sender_count)?;
        self.apply_summary(now, &summary);
        Ok(())
    }

    fn receive_part(&mut self, now: UnixMillis, from: SenderId, part: &RuleSetPart<'_>) {
        match self.downloads.receive_part(now, part, &self.settings.key, self.zone_list_hash) {
            DownloadProgress::Incomplete => {}
            DownloadProgress::Complete(rules) => {
                if self.accept_rule_set(now, rules, Some(from)) != Insertion::TooMany {
                    self.downloads.abandon_obsolete(Round::containing(now), &self.held);
                }
            }
            DownloadProgress::Invalid => {
                self.record_event(PlacementEvent::InvalidRuleSet { id: part.rule_set, from });
            }
        }
    }

    /// Whether a round may have begun by the sender's clock, given the errors of both clocks.
    fn may_have_begun(&self, now: UnixMillis, round: Round) -> bool {
        let latest = now.saturating_add(self.settings.clock_error_ms.saturating_mul(2));
        round.checked_start().is_some_and(|start| start <= latest)
    }
}
