//! The lease under which a sender acts for ruled tenants, and the recovery of a sender that lost its record.
//!
//! Invariant: a lease begins at the start of the round that renewed it, so that a delayed summary shortens the lease and never
//! extends it. In true time, the lease ends at most `lease_ms + 2 * clock_error_ms` after any heartbeat on which it is
//! based.

use std::collections::BTreeSet;

use rudderspindle_clock::UnixMillis;

use crate::round_summary::{RoundSummary, SenderReport};
use crate::sender_id::SenderId;
use crate::settings::Settings;

/// The lease of this sender, and whether its acknowledgements count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lease {
    /// When the lease expires; the Unix epoch before the first renewal.
    pub expires_at: UnixMillis,
    /// Whether this sender holds all rule sets that its earlier incarnations held, so that its acknowledgements count.
    pub voting: bool,
    started_at: UnixMillis,
    /// While not voting: the other senders that summaries since the start reported as running; cleared by the recovery.
    senders_seen: BTreeSet<SenderId>,
    /// While not voting: the senders of `senders_seen` that were reported as voting; cleared by the recovery.
    voting_senders_seen: BTreeSet<SenderId>,
}

impl Lease {
    /// The state at a start, without a lease; `voting` is the value in the record, or false without a record.
    pub fn new(voting: bool, started_at: UnixMillis) -> Lease {
        let (senders_seen, voting_senders_seen) = (BTreeSet::new(), BTreeSet::new());
        Lease { expires_at: UnixMillis::EPOCH, voting, started_at, senders_seen, voting_senders_seen }
    }

    /// Applies a summary. This sender must hold all rule sets that the summary reports as acknowledged. Returns whether this
    /// sender recovered and votes again.
    pub fn apply_summary(&mut self, summary: &RoundSummary, settings: &Settings) -> bool {
        let recovered = !self.voting && self.try_recover(summary, settings);
        let others = summary.reports_except(settings.own_id);
        let voting_others = others.filter(|(_, report)| report.is_voting()).count();
        if self.voting && settings.is_majority(voting_others + 1) {
            let expires_at = summary.round.start().saturating_add(settings.lease_ms);
            self.expires_at = self.expires_at.max(expires_at);
        }
        recovered
    }

    /// Makes this sender vote again if that is safe. Returns whether it votes.
    ///
    /// A sender that lost its record may have been part of a majority that committed a revision. It votes again once it holds
    /// the rule sets of a majority that does not include itself, or of all other senders, in rounds that began after its start,
    /// because at least one of those senders holds that revision, too.
    fn try_recover(&mut self, summary: &RoundSummary, settings: &Settings) -> bool {
        let earliest_round_start = self.started_at.saturating_add(settings.clock_error_ms.saturating_mul(2));
        if summary.round.start() < earliest_round_start {
            return false;
        }
        for (sender, report) in summary.reports_except(settings.own_id) {
            if report != SenderReport::Missing {
                self.senders_seen.insert(sender);
            }
            if report.is_voting() {
                self.voting_senders_seen.insert(sender);
            }
        }
        let all_others_seen = self.senders_seen.len() + 1 == usize::from(settings.sender_count);
        self.voting = all_others_seen || settings.is_majority(self.voting_senders_seen.len());
        if self.voting {
            self.senders_seen.clear();
            self.voting_senders_seen.clear();
        }
        self.voting
    }

    /// Whether the lease has not expired at `now`.
    pub fn is_valid(&self, now: UnixMillis) -> bool {
        now < self.expires_at
    }
}
