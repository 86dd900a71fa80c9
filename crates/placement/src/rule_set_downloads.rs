//! Downloads rule sets that other senders store and this sender does not hold.
//!
//! Invariant: a rule set is assembled only from parts with its id and used only if the hash of its content matches the id. Its
//! download is abandoned some time after summaries no longer contain the rule set.

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

/// Minimum time between two requests of a sender, in milliseconds: a request and its answer take two poll intervals of the
/// caller.
const REQUEST_INTERVAL_MS: u64 = 200;

/// Mean number of requests to each source within [`REQUEST_INTERVAL_MS`]; a source drops requests beyond its limit.
const REQUESTS_PER_SOURCE: usize = 4;

/// Number of rounds after which a download is abandoned if no summary contains the rule set and no part is received: 10 s.
const DOWNLOAD_TIMEOUT_ROUNDS: u64 = 20;

/// A rule set that is being downloaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Download {
    /// The sender to which requests are sent; drawn again with each summary until the first part is received.
    source: SenderId,
    /// The last round whose summary contained the rule set or in which a part was received.
    last_active_round: Round,
    /// Number of other senders that store the rule set, by the last summary.
    source_count: usize,
    /// Number of senders, including this one, that do not store the rule set, by the last summary.
    non_source_count: usize,
    /// The parts by index, `None` if not received; empty before the first part is received.
    parts: Vec<Option<Vec<u8>>>,
}

impl Download {
    /// Bit `i` is set if part `i` is missing; all bits are set while the number of parts is unknown.
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

    /// The bytes of the rule set, or `None` until all parts are received.
    fn assembled(&self) -> Option<Vec<u8>> {
        let parts: Option<Vec<&[u8]>> = self.parts.iter().map(Option::as_deref).collect();
        parts.map(|parts| parts.concat())
    }
}

/// The result of receiving a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DownloadProgress {
    /// The part was not requested, or other parts are missing.
    Incomplete,
    Complete(RuleSet),
    /// All parts are received, but they are not the rule set with the id.
    Invalid,
}

/// The rule sets that are being downloaded, at most [`MAX_RULE_SETS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RuleSetDownloads {
    by_id: BTreeMap<RuleSetId, Download>,
    next_request_at: UnixMillis,
}

impl RuleSetDownloads {
    /// Starts or continues to download the missing rule sets of a summary. Returns whether a sender acknowledges one of
    /// them, so that it may be committed.
    pub fn fetch_missing(
        &mut self,
        summary: &RoundSummary,
        held: &HeldRuleSets,
        settings: &Settings,
    ) -> bool {
        let mut may_be_committed = false;
        for (slot, id) in summary.rule_sets_with_slots().filter(|(_, id)| held.is_missing(*id)) {
            may_be_committed |= summary.senders_acknowledging(slot).next().is_some();
            self.fetch(id, slot, summary, settings);
        }
        // The lowest revisions are abandoned first, because the commit of a higher revision makes them obsolete.
        while self.by_id.len() > MAX_RULE_SETS {
            self.by_id.pop_first();
        }
        may_be_committed
    }

    fn fetch(&mut self, id: RuleSetId, slot: usize, summary: &RoundSummary, settings: &Settings) {
        let sources: Vec<SenderId> =
            summary.senders_storing(slot).filter(|&sender| sender != settings.own_id).collect();
        let salt = DrawSalt::of_sender(settings.own_id.0);
        let source_index = settings.key.draw(summary.round.number(), salt, sources.len());
        let Some(&source) = sources.get(source_index) else { return };
        let mut download = Download {
            source,
            last_active_round: summary.round,
            source_count: sources.len(),
            non_source_count: summary.reports.len() - sources.len(),
            parts: Vec::new(),
        };
        if let Some(previous) = self.by_id.remove(&id).filter(|known| !known.parts.is_empty()) {
            // A source that has sent a part remains the source while summaries report that it stores the rule set.
            if sources.contains(&previous.source) {
                download.source = previous.source;
            }
            download.parts = previous.parts;
        }
        self.by_id.insert(id, download);
    }

    /// Abandons the downloads of rule sets that are no longer missing, and those for which no summary and no part was
    /// received for [`DOWNLOAD_TIMEOUT_ROUNDS`].
    pub fn abandon_obsolete(&mut self, round: Round, held: &HeldRuleSets) {
        self.by_id.retain(|id, download| {
            held.is_missing(*id) && download.last_active_round.plus(DOWNLOAD_TIMEOUT_ROUNDS) >= round
        });
    }

    /// The request that is due at `now`, if any. Successive requests are for each of the downloaded rule sets in turn.
    pub fn poll_request(&mut self, now: UnixMillis, settings: &Settings) -> Option<OutgoingDatagram> {
        if self.by_id.is_empty() || now < self.next_request_at {
            return None;
        }
        self.next_request_at = now.saturating_add(REQUEST_INTERVAL_MS);
        let interval = now.0 / REQUEST_INTERVAL_MS;
        let download_index = (interval % self.by_id.len() as u64) as usize;
        let (&rule_set, download) = self.by_id.iter().nth(download_index)?;
        if download.parts.is_empty()
            && !may_request_first_part(download, interval, &settings.key, settings.own_id)
        {
            return None;
        }
        let request = PartRequest { rule_set, parts: download.missing_parts() };
        Some(OutgoingDatagram { to: download.source, body: GossipMessage::PartRequest(request).encode() })
    }

    /// Stores a part whose fields are within their bounds; decodes the rule set once all parts are received.
    pub fn receive_part(
        &mut self,
        now: UnixMillis,
        part: &RuleSetPart<'_>,
        key: &FleetKey,
        zone_list_hash: ZoneListHash,
    ) -> DownloadProgress {
        let Some(download) = self.by_id.get_mut(&part.rule_set) else { return DownloadProgress::Incomplete };
        let part_count = usize::from(part.part_count).min(MAX_PARTS);
        if download.parts.len() != part_count {
            download.parts = vec![None; part_count];
        }
        let Some(part_slot) = download.parts.get_mut(usize::from(part.index)) else {
            return DownloadProgress::Incomplete;
        };
        *part_slot = Some(part.bytes.to_vec());
        download.last_active_round = download.last_active_round.max(Round::containing(now));
        let Some(bytes) = download.assembled() else { return DownloadProgress::Incomplete };
        download.parts.clear();
        RuleSet::decode(&bytes, part.rule_set, key, zone_list_hash)
            .map_or(DownloadProgress::Invalid, DownloadProgress::Complete)
    }
}

/// Whether this sender may request the first part of a rule set in this interval. The fewer senders store the rule
/// set, the fewer other senders may start to request it, so that the sources are not overloaded.
fn may_request_first_part(download: &Download, interval: u64, key: &FleetKey, own_id: SenderId) -> bool {
    let drawn = key.draw(interval, DrawSalt::of_sender(own_id.0), download.non_source_count);
    drawn < download.source_count * REQUESTS_PER_SOURCE
}
