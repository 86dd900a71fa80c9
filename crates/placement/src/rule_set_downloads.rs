//! Rule sets that other senders have and this one does not: whom to ask for their parts, and their assembly.
//!
//! Invariant: a rule set is assembled only while summaries name it, only from parts of that very rule set, and is used only
//! if its content has the hash under which it was named.
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

/// Minimum time between two requests of a sender, in milliseconds: a request and its answer take two ticks of the host,
/// 100 each.
const REQUEST_INTERVAL_MS: u64 = 200;

/// Mean number of requests that come to each sender that has a rule set within [`REQUEST_INTERVAL_MS`]; more would only
/// be dropped there.
const REQUESTS_PER_SOURCE: usize = 4;

/// Number of rounds after which a download that no summary names and no part arrives for is abandoned: 10 s.
const DOWNLOAD_TIMEOUT_ROUNDS: u64 = 20;

/// A rule set that is being fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Download {
    /// The sender that is asked, drawn anew by each summary until the first part has come.
    source: SenderId,
    /// The last round in which a summary named the rule set or a part came.
    last_seen: Round,
    /// Number of other senders that have it, by the last summary.
    source_count: usize,
    /// Number of all other senders, by the last summary.
    lacking_count: usize,
    /// The parts that have come; empty before the first.
    parts: Vec<Option<Vec<u8>>>,
}

impl Download {
    /// The requested parts, one bit each: all that are missing.
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

    /// The rule set's bytes once all parts have come.
    fn assembled(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<&[u8]>> = self.parts.iter().map(Option::as_deref).collect();
        parts.map(|parts| parts.concat())
    }
}

/// The result of receiving a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PartOutcome {
    /// The part is not wanted, or others are missing.
    Incomplete,
    Complete(RuleSet),
    /// All parts have come, and are not the rule set that was named.
    Invalid,
}

/// The rule sets that are being fetched, at most [`MAX_RULE_SETS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RuleSetDownloads {
    by_id: BTreeMap<RuleSetId, Download>,
    next_request_at: UnixMillis,
}

impl RuleSetDownloads {
    /// Begins or continues to fetch the rule sets of a summary that are not held here. Whether a sender acknowledges one of
    /// them, so that it may be committed.
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
        // The lowest are abandoned first: a higher one that is committed ends the need for them.
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
            // The source that began to hand the rule set on is kept while it is reported to have it.
            if sources.contains(&begun.source) {
                download.source = begun.source;
            }
            download.parts = begun.parts;
        }
        self.by_id.insert(id, download);
    }

    /// Abandons what is held by now or was not named for long.
    pub fn abandon_obsolete(&mut self, round: Round, held: &HeldRuleSets) {
        self.by_id.retain(|id, download| {
            held.is_missing(*id) && download.last_seen.plus(DOWNLOAD_TIMEOUT_ROUNDS) >= round
        });
    }

    /// The request that is due at `now`, for each rule set in its turn.
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

    /// Takes in a part that is within its bounds.
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

/// Whether this sender begins a download now: while few senders have a rule set, few begin to ask for it.
fn is_drawn_to_begin(download: &Download, interval: u64, key: &FleetKey, own_id: SenderId) -> bool {
    let drawn = key.draw(interval, DrawSalt::of_sender(own_id.0), download.lacking_count);
    drawn < download.source_count * REQUESTS_PER_SOURCE
}
