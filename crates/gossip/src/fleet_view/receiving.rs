//! Handling of reports and summaries received from other senders.

use rudderspindle_clock::UnixMillis;

use super::message::{ObserverEntry, ReceiverEntry, Report, Summary, epoch_of};
use super::{FleetView, FleetViewError};
use crate::envelope::{Envelope, Kind, open, read};
use crate::membership::{Incarnation, IncarnationOrder};
use crate::outlier_detection::ObserverVote;
use crate::tenant_usage::{RegisterKey, epoch_at};

/// Maximum age at which a summary is accepted, in rounds.
const MAX_SUMMARY_AGE: u64 = 3;

impl FleetView {
    /// Applies a datagram received from sender number `from`.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] if the datagram was dropped; the view is unchanged.
    pub fn receive(&mut self, now: UnixMillis, from: usize, datagram: &[u8]) -> Result<(), FleetViewError> {
        if from == self.local.number || from >= self.zones.len() {
            return Err(FleetViewError::UnknownSender);
        }
        let Envelope { kind, body } = open(datagram)?;
        match kind {
            Kind::Report => self.receive_report(now, from, read(body)?),
            Kind::Summary => self.receive_summary(now, from, read(body)?),
            other => Err(FleetViewError::UnexpectedKind(other)),
        }
    }

    fn receive_report(&mut self, now: UnixMillis, from: usize, report: Report) -> Result<(), FleetViewError> {
        let round = report.round;
        // Clocks differ by less than a round, so the next round is accepted as well. A report that arrives after the
        // summaries of its round were sent is dropped.
        let oldest_accepted = self.oldest_open_round.max(epoch_at(now).saturating_sub(1));
        if round < oldest_accepted || round > epoch_at(now) + 1 {
            return Err(FleetViewError::WrongRound);
        }
        let incarnation = self.check_incarnation(now, from, report.incarnation)?;
        for entry in report.registers {
            if let Some(epoch) = epoch_of(round, entry.epochs_back) {
                let key = RegisterKey { sender: from, incarnation };
                self.usage.merge_register(now, key, epoch, &entry.register());
            }
        }
        let votes = report.votes.into_iter().map(|entry| ObserverVote {
            receiver: entry.receiver,
            observer: from,
            vote: entry.vote.decode(round),
        });
        let votes: Vec<ObserverVote> = votes.collect();
        self.outliers.receive_votes(now, from, &votes);
        self.reporters.entry(round).or_default().insert(from);
        Ok(())
    }

    fn receive_summary(
        &mut self,
        now: UnixMillis,
        from: usize,
        summary: Summary,
    ) -> Result<(), FleetViewError> {
        let round = summary.round;
        if round > epoch_at(now) || round + MAX_SUMMARY_AGE < epoch_at(now) {
            return Err(FleetViewError::WrongRound);
        }
        self.check_incarnation(now, from, summary.incarnation)?;
        for entry in &summary.slices {
            if let Some(epoch) = epoch_of(round, entry.epochs_back) {
                self.usage.merge_slice(now, from, epoch, &entry.slice);
            }
        }
        let mut votes = Vec::new();
        for ReceiverEntry { receiver, votes: entries } in summary.receivers {
            let vote = |ObserverEntry { observer, vote }| ObserverVote {
                receiver,
                observer: usize::from(observer),
                vote: vote.decode(round),
            };
            votes.extend(entries.into_iter().map(vote));
        }
        self.outliers.receive_votes(now, from, &votes);
        self.newest_summary_round = self.newest_summary_round.max(round);
        Ok(())
    }

    /// Records that a message of this incarnation was received, or rejects it if the process was replaced. If the message is
    /// the first one of a newer process, the votes of the earlier process are removed.
    fn check_incarnation(
        &mut self,
        now: UnixMillis,
        from: usize,
        incarnation: u64,
    ) -> Result<Incarnation, FleetViewError> {
        let incarnation = Incarnation(incarnation);
        match self.members.record_message(from, incarnation, now)? {
            IncarnationOrder::Older => return Err(FleetViewError::StaleIncarnation),
            IncarnationOrder::Newer => self.outliers.forget_observer(from),
            IncarnationOrder::Current => {}
        }
        Ok(incarnation)
    }
}
