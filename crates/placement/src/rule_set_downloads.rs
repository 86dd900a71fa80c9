//! Downloads rule sets that other senders store and this one does not.
//!
//! Invariant: a rule set is assembled only while summaries list it, only from parts with its id, and is used only if the hash
//! of its content matches its id.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::datagram::OutgoingDatagram;
use crate::fleet_key::{DrawSalt, FleetKey};
use crate::gossip_message::{GossipMessage, MAX_PARTS, PartRequest, RuleSetPart};
use crate::held_rule_sets::HeldRuleSets;
use crate::round::Round;
use crate::round_summary::RoundSummary;
use crate::rule_set::RuleSet;
use crate::rule_set_id::{MAX_RULE_SETS, RuleSetId};
use crate::sender_id::SenderId;
use crate::settings::Settings;
use crate::zones::ZoneListHash;

/// Minimum time between two requests of a sender, in milliseconds: a request and its answer take two ticks of the host.
const REQUEST_INTERVAL_MS: u64 = 200;

/// Mean number of requests to each source within [`REQUEST_INTERVAL_MS`]; more would be dropped by the source.
const REQUESTS_PER_SOURCE: usize = 4;

/// Number of rounds without a listing in a summary or a received part after which a download is abandoned: 10 s.
const DOWNLOAD_TIMEOUT_ROUNDS: u64 = 20;

/// A rule set that is being downloaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Download {
    /// The sender to which requests are sent, drawn again by each summary until the first part is received.
    source: SenderId,
    /// The last round in which a summary listed the rule set or a part was received.
    last_seen: Round,
    /// Number of other senders that store it, by the last summary.
    source_count: usize,
    /// Number of senders that do not store it, by the last summary.
    lacking_count: usize,
    /// The received parts; empty before the first.
    parts: Vec<Option<Vec<u8>>>,
}

impl Download {
    /// The missing parts, one bit each.
    fn missing_parts(&self) -> u32 {
        if self.parts.is_empty() {
            return u32::MAX;
        }
        let mut missing = 0;
        for (index, _) in self.parts.iter().enumerate().filter(|(_, part)| part.is_none()) {
            missing |= 1 << index;
        }
        missing
    }

    /// The rule set's bytes once all parts are received.
    fn assembled(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<&[u8]>> = self.parts.iter().map(Option::as_deref).collect();
        parts.map(|parts| parts.concat())
    }
}

/// The result of receiving a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PartOutcome {
    /// The part was not requested, or other parts are missing.
    Incomplete,
    Complete(RuleSet),
    /// All parts are received, but are not the rule set with the id.
    Invalid,
}

/// The rule sets that are being downloaded, at most [`MAX_RULE_SETS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RuleSetDownloads {
    by_id: BTreeMap<RuleSetId, Download>,
    next_request_at: UnixMillis,
}

impl RuleSetDownloads {
    /// Starts or continues to download the rule sets of a summary that are not held. Returns whether a sender acknowledges
    /// one of them, so that it may be committed.
    pub fn fetch_missing(
        &mut self,
        summary: &RoundSummary,
        held: &HeldRuleSets,
        settings: &Settings,
    ) -> bool {
        let mut may_be_committed = false;
        for (slot, id) in summary.named().filter(|(_, id)| held.is_missing(*id)) {
            may_be_committed |= summary.acknowledging(slot).next().is_some();
            self.fetch(id, slot, summary, settings);
        }
        // The lowest are abandoned first: the commit of a higher one makes them obsolete.
        while self.by_id.len() > MAX_RULE_SETS {
            self.by_id.pop_first();
        }
        may_be_committed
    }

    fn fetch(&mut self, id: RuleSetId, slot: usize, summary: &RoundSummary, settings: &Settings) {
        let sources: Vec<SenderId> =
            summary.storing(slot).filter(|&sender| sender != settings.own_id).collect();
        let salt = DrawSalt::of_sender(settings.own_id.0);
        let drawn = settings.key.draw(summary.round.number(), salt, sources.len());
        let Some(&source) = sources.get(drawn) else { return };
        let mut download = Download {
            source,
            last_seen: summary.round,
            source_count: sources.len(),
            lacking_count: summary.reports.len() - sources.len(),
            parts: Vec::new(),
        };
        if let Some(begun) = self.by_id.remove(&id).filter(|known| !known.parts.is_empty()) {
            // A source that has sent a part is kept while it is reported to store the rule set.
            if sources.contains(&begun.source) {
                download.source = begun.source;
            }
            download.parts = begun.parts;
        }
        self.by_id.insert(id, download);
    }

    /// Abandons downloads of rule sets that are held or have not been listed for a while.
    pub fn abandon_obsolete(&mut self, round: Round, held: &HeldRuleSets) {
        self.by_id.retain(|id, download| {
            held.is_missing(*id) && download.last_seen.plus(DOWNLOAD_TIMEOUT_ROUNDS) >= round
        });
    }

    /// The request that is due at `now`; the rule sets take turns.
    pub fn poll_request(&mut self, now: UnixMillis, settings: &Settings) -> Option<OutgoingDatagram> {
        if self.by_id.is_empty() || now < self.next_request_at {
            return None;
        }
        self.next_request_at = now.saturating_add(REQUEST_INTERVAL_MS);
        let interval = now.0 / REQUEST_INTERVAL_MS;
        let turn = (interval % self.by_id.len() as u64) as usize;
        let (&rule_set, download) = self.by_id.iter().nth(turn)?;
        if download.parts.is_empty() && !is_drawn_to_begin(download, interval, &settings.key, settings.own_id)
        {
            return None;
        }
        let request = PartRequest { rule_set, parts: download.missing_parts() };
        Some(OutgoingDatagram { to: download.source, body: GossipMessage::PartRequest(request).encode() })
    }

    /// Stores a part that is within its bounds.
    pub fn receive_part(
        &mut self,
        now: UnixMillis,
        part: &RuleSetPart<'_>,
        key: &FleetKey,
        zone_list: ZoneListHash,
    ) -> PartOutcome {
        let Some(download) = self.by_id.get_mut(&part.rule_set) else { return PartOutcome::Incomplete };
        let part_count = usize::from(part.part_count).min(MAX_PARTS);
        if download.parts.len() != part_count {
            download.parts = vec![None; part_count];
        }
        let Some(place) = download.parts.get_mut(usize::from(part.index)) else {
            return PartOutcome::Incomplete;
        };
        *place = Some(part.bytes.to_vec());
        download.last_seen = download.last_seen.max(Round::containing(now));
        let Some(bytes) = download.assembled() else { return PartOutcome::Incomplete };
        download.parts.clear();
        RuleSet::decode(&bytes, part.rule_set, key, zone_list)
            .map_or(PartOutcome::Invalid, PartOutcome::Complete)
    }
}

/// Whether this sender starts a download now: few do while few senders store the rule set.
fn is_drawn_to_begin(download: &Download, interval: u64, key: &FleetKey, own_id: SenderId) -> bool {
    let drawn = key.draw(interval, DrawSalt::of_sender(own_id.0), download.lacking_count);
    drawn < download.source_count * REQUESTS_PER_SOURCE
}
