//! Creates the datagrams to send: heartbeats, summaries, requests for rule sets, and parts of rule sets.

use rudderspindle_clock::UnixMillis;

use crate::datagram::OutgoingDatagram;
use crate::event::PlacementEvent;
use crate::gossip_message::{GossipMessage, Heartbeat};
use crate::placement::Placement;
use crate::round::Round;
use crate::round_summary::RoundSummary;
use crate::sender_id::SenderId;

impl Placement {
    /// The datagrams to send at `now`. Must be called about every 100 ms, after [`Placement::poll_snapshot`].
    pub fn poll_datagrams(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        let round = Round::containing(now);
        self.report_expired_lease(now);
        let mut datagrams = Vec::new();
        if round > self.last_heartbeat_round && self.is_persisted() {
            self.last_heartbeat_round = round;
            self.send_heartbeat(now, round, &mut datagrams);
        }
        for summary in self.collector.due_summaries(now, self.settings.sender_count) {
            self.broadcast_summary(&summary, &mut datagrams);
            self.apply_summary(now, &summary);
        }
        self.downloads.abandon_obsolete(round, &self.held);
        datagrams.extend(self.downloads.poll_request(now, &self.settings));
        datagrams.extend(self.uploads.poll_parts(round, &self.held, &self.settings));
        datagrams
    }

    fn report_expired_lease(&mut self, now: UnixMillis) {
        if self.lease_acquired_reported && !self.lease.is_valid(now) {
            self.lease_acquired_reported = false;
            self.record_event(PlacementEvent::LeaseExpired { at: self.lease.expires_at });
        }
    }

    /// Sends this sender's heartbeat to the aggregators of the round.
    fn send_heartbeat(&mut self, now: UnixMillis, round: Round, datagrams: &mut Vec<OutgoingDatagram>) {
        let heartbeat = Heartbeat {
            round,
            sent_at: now,
            incarnation: self.incarnation,
            sender_count: self.settings.sender_count,
            voting: self.lease.voting,
            rule_sets: self.held.ids(),
            acknowledged: self.held.acknowledged_bits(),
        };
        for to in self.settings.aggregators(round) {
            if to == self.settings.own_id {
                self.collector.insert(to, &heartbeat);
            } else {
                let body = GossipMessage::Heartbeat(heartbeat.clone()).encode();
                datagrams.push(OutgoingDatagram { to, body });
            }
        }
    }

    /// Sends a summary to all other senders.
    fn broadcast_summary(&self, summary: &RoundSummary, datagrams: &mut Vec<OutgoingDatagram>) {
        let body = summary.encode();
        for to in (0..self.settings.sender_count).map(SenderId) {
            if to != self.settings.own_id {
                datagrams.push(OutgoingDatagram { to, body: body.clone() });
            }
        }
    }
}
