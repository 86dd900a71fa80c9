//! Counts and judgements of one sender among its fellows: what it tells and hears, round by round.
//!
//! Invariant: nothing that is said of another round, by an older incarnation, or by nobody of the tier changes anything.
//!
//! In each round every sender reports to one that is drawn, the same everywhere; that one answers all that told it with
//! what it knows: registers added up with the names of whose they are, judgements by judge.

mod error;
mod message;
mod tell;

use std::collections::{BTreeMap, BTreeSet};

use crate::datagram_budget::DatagramBudget;
use crate::envelope::{Kind, open, read};
use crate::membership::{Incarnation, IncarnationOrder, MembershipList};
use crate::outgoing_datagram::OutgoingDatagram;
use crate::outlier_detection::{ObserverVote, OutlierDetector, Receiver};
use crate::tenant_usage::{EPOCH, LocalSender, RegisterKey, TenantUsage, quota_share};
pub use error::FleetViewError;
use message::{Aged, Ejection, Report, View, epoch_of};

/// Senders of a tier at most: their bits take a fourth of a note.
pub const MAX_SENDERS: usize = 512;
/// Reports are sent from this moment of a round on, ms: the answers of the last one have come by then.
const FIRST: u64 = 200;
/// ...and within so long, ms: a second one and the way have the rest.
const REPORTING: u64 = 200;
/// A view of so many rounds ago still tells something.
const HEEDED: u64 = 3;
/// Epochs that quotas are reckoned over: a few, as a sender of hundreds is handed a message now and then.
const READ: u64 = 5;
/// Without word of others for so long a quota is reckoned as if alone, ms.
pub const STALE: u64 = 5_000;

/// The tables of one sender, and what to tell whom. Beyond what its parts hold: whom to answer, for three rounds at most.
///
/// ```
/// use rudderspindle_gossip::{DatagramClass, Incarnation, Kind, DatagramBudget, FleetView, LocalSender, OutgoingDatagram};
/// let local = |number| LocalSender {
///     number,
///     incarnation: Incarnation(1),
///     complete_from: 0,
///     max_messages_per_second: 100,
/// };
/// let views = |number| FleetView::new(local(number), vec![0, 0]).expect("one of the tier");
/// let (mut a, mut b) = (views(0), views(1));
/// let post = || DatagramBudget::new(&[DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 }]);
/// let (mut post_a, mut post_b) = (post(), post());
/// a.counts().record_message(10_000, 7);
/// for now in (10_000..14_000).step_by(100) {
///     for OutgoingDatagram { bytes: note, .. } in a.notes_due(now, &mut post_a) {
///         b.hear(now, 0, &note).expect("a note");
///     }
///     for OutgoingDatagram { bytes: note, .. } in b.notes_due(now, &mut post_b) {
///         a.hear(now, 1, &note).expect("a note");
///     }
/// }
/// let read = b.counts().read(14_000, 7, 1);
/// assert_eq!((read.min, read.max, read.senders), (1, 1, 2));
/// ```
#[derive(Clone, Debug)]
pub struct FleetView {
    me: usize,
    halls: Vec<u16>,
    incarnation: Incarnation,
    members: MembershipList,
    counts: TenantUsage,
    judgements: OutlierDetector,
    /// The round that was begun last, and whom it has still to be told.
    round: Option<u64>,
    to_tell: Vec<usize>,
    /// Who told us, by round; emptied when it is answered.
    told_by: BTreeMap<u64, BTreeSet<usize>>,
    /// Rounds before this one are answered.
    open_from: u64,
    /// The newest round of which a view came, or went out.
    viewed: u64,
    /// Senders of the own hall, by the last round that brought answers; until one has, all of them.
    heard_in_hall: usize,
}

impl FleetView {
    /// Sender number `me` of a tier whose senders are in these halls, by their numbers. `incarnation`, `whole_from` and
    /// `most_per_s` are as [`TenantUsage::new`] has them.
    ///
    /// # Errors
    ///
    /// [`FleetViewError::TooMany`], and [`FleetViewError::UnknownSender`] if `me` is none of the tier.
    pub fn new(local: LocalSender, halls: Vec<u16>) -> Result<Self, FleetViewError> {
        let me = local.number;
        let senders = halls.len();
        if senders > MAX_SENDERS {
            return Err(FleetViewError::TooMany(senders));
        }
        if me >= senders {
            return Err(FleetViewError::UnknownSender);
        }
        let heard_in_hall = halls.iter().filter(|hall| **hall == halls[me]).count();
        Ok(Self {
            me,
            incarnation: local.incarnation,
            members: MembershipList::new(senders),
            counts: TenantUsage::new(local, senders),
            judgements: OutlierDetector::new(me, halls.clone()),
            halls,
            round: None,
            to_tell: Vec::new(),
            told_by: BTreeMap::new(),
            open_from: 0,
            viewed: 0,
            heard_in_hall,
        })
    }

    /// Who is there.
    pub fn members(&self) -> &MembershipList {
        &self.members
    }

    /// What tenants hand in; [`TenantUsage::record_message`] is told of each message.
    pub fn counts(&mut self) -> &mut TenantUsage {
        &mut self.counts
    }

    /// Judgements; [`OutlierDetector::record_call`] is told of each call.
    pub fn judgements(&mut self) -> &mut OutlierDetector {
        &mut self.judgements
    }

    /// Messages a second that this sender may let in of a tenant's quota of the whole fleet; nothing if no word of others
    /// has come lately: then it goes on as alone. It is asked a few times a second, as it changes no faster.
    pub fn room(&self, now: u64, tenant: u16, quota_per_s: f64) -> Option<f64> {
        let all = self.counts.read(now, tenant, READ);
        all.newest_epoch_end.filter(|at| at.saturating_add(STALE) > now)?;
        let own = self.counts.read_own(now, tenant, READ);
        Some(quota_per_s * quota_share(own, &all, self.halls.len()))
    }

    /// Which of a partner's receivers are not to be called by others' judgement.
    pub fn avoided(&mut self, now: u64, receivers: &[Receiver]) -> Vec<Receiver> {
        self.judgements.ejected(now, self.heard_in_hall, receivers)
    }

    /// The notes that are due, to be asked for a few times in a round: answers to those that told us in a round that is
    /// over, and our report as soon as the post has room for it.
    pub fn notes_due(&mut self, now: u64, post: &mut DatagramBudget) -> Vec<OutgoingDatagram> {
        let round = now / EPOCH;
        let mut datagrams = Vec::new();
        while let Some(entry) = self.told_by.first_entry().filter(|entry| *entry.key() < round) {
            let (of, askers) = entry.remove_entry();
            datagrams.extend(self.answers(now, of, &askers));
            self.viewed = self.viewed.max(of);
        }
        // A clock that went back leaves rounds that are far off now.
        self.told_by.retain(|of, _| *of <= round + 1);
        self.open_from = round;
        let moment = FIRST + self.me as u64 * REPORTING / self.halls.len().max(1) as u64;
        if self.round != Some(round) {
            self.to_tell.clear();
            if now % EPOCH >= moment {
                self.round = Some(round);
                self.to_tell = self.aggregators(now, round);
                self.count_hall(now, round);
            }
        }
        while let Some(&to) = self.to_tell.first() {
            post.request(Kind::Report, now);
            if !post.try_acquire(Kind::Report, now) {
                break;
            }
            self.to_tell.remove(0);
            datagrams.extend(self.report(now, round).ok().map(|bytes| OutgoingDatagram { to, bytes }));
        }
        datagrams
    }

    /// Takes in a datagram of another sender.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] says why it was dropped; nothing has changed then.
    pub fn hear(&mut self, now: u64, from: usize, bytes: &[u8]) -> Result<(), FleetViewError> {
        if from == self.me || from >= self.halls.len() {
            return Err(FleetViewError::UnknownSender);
        }
        match open(bytes)? {
            (Kind::Report, body) => self.hear_report(now, from, read(body)?),
            (Kind::Summary, body) => self.hear_view(now, from, read(body)?),
            (other, _) => Err(FleetViewError::Kind(other)),
        }
    }

    /// Of an incarnation that counts.
    fn admit(&mut self, now: u64, from: usize, incarnation: u64) -> Result<Incarnation, FleetViewError> {
        let incarnation = Incarnation(incarnation);
        match self.members.record_message(from, incarnation, now)? {
            IncarnationOrder::Older => return Err(FleetViewError::Older),
            IncarnationOrder::Newer => self.judgements.forget_observer(from),
            IncarnationOrder::Current => {}
        }
        Ok(incarnation)
    }

    fn hear_report(&mut self, now: u64, from: usize, report: Report) -> Result<(), FleetViewError> {
        // Clocks differ by less than a round; what comes after its round's answers have gone is too late.
        if report.round < self.open_from.max((now / EPOCH).saturating_sub(1))
            || report.round > now / EPOCH + 1
        {
            return Err(FleetViewError::Round);
        }
        let incarnation = self.admit(now, from, report.incarnation)?;
        for told in report.registers {
            if let Some(epoch) = epoch_of(report.round, told.back) {
                self.counts.merge_register(
                    now,
                    RegisterKey { sender: from, incarnation },
                    epoch,
                    &told.register(),
                );
            }
        }
        let votes = report.words.into_iter().map(|(receiver, aged)| ObserverVote {
            receiver,
            observer: from,
            vote: aged.word(report.round),
        });
        let votes: Vec<ObserverVote> = votes.collect();
        self.judgements.receive_votes(now, from, &votes);
        self.told_by.entry(report.round).or_default().insert(from);
        Ok(())
    }

    fn hear_view(&mut self, now: u64, from: usize, view: View) -> Result<(), FleetViewError> {
        if view.round > now / EPOCH || view.round + HEEDED < now / EPOCH {
            return Err(FleetViewError::Round);
        }
        self.admit(now, from, view.incarnation)?;
        for told in &view.panes {
            if let Some(epoch) = epoch_of(view.round, told.back) {
                self.counts.merge_slice(now, from, epoch, &told.pane);
            }
        }
        let mut words = Vec::new();
        for Ejection { receiver, judges } in view.words {
            let judge = |(judge, aged): (u16, Aged)| ObserverVote {
                receiver,
                observer: usize::from(judge),
                vote: aged.word(view.round),
            };
            words.extend(judges.into_iter().map(judge));
        }
        self.judgements.receive_votes(now, from, &words);
        self.viewed = self.viewed.max(view.round);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
