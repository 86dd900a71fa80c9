//! What a sender tells: its own report, and answers to those that reported to it.

use std::collections::{BTreeMap, BTreeSet};

use super::FleetView;
use super::message::{Aged, Ejection, MOST_JUDGES, MOST_PANES, MOST_RECEIVERS, MOST_REGISTERS};
use super::message::{AnnouncedRegister, AnnouncedWindowSlice, Report, View, epoch_of};
use crate::envelope::EnvelopeError;
use crate::outgoing_datagram::OutgoingDatagram;
use crate::outlier_detection::{Receiver, Vote};

/// Those that add up in a round where one did not answer, or there is word of a receiver that fails.
const MOST_ASKED: usize = 2;

impl FleetView {
    /// Who adds up a round: the first of an order that is drawn anew for each, the same at every sender.
    pub(super) fn aggregators(&self, now: u64, round: u64) -> Vec<usize> {
        let rank =
            |n: &usize| crc32fast::hash(&[round.to_le_bytes(), (*n as u64 | 1 << 32).to_le_bytes()].concat());
        let mut order: Vec<(u32, usize)> = (0..self.halls.len()).map(|n| (rank(&n), n)).collect();
        order.sort_unstable();
        let missed = self.viewed + 1 < round;
        let asked = if missed || self.judgements.has_down_votes(now) { MOST_ASKED } else { 1 };
        order.into_iter().take(asked).map(|(_, n)| n).filter(|n| *n != self.me).collect()
    }

    /// Who of the own hall was heard, itself or in what others added up; unchanged where no answer came.
    pub(super) fn count_hall(&mut self, now: u64, round: u64) {
        if self.viewed + 1 < round {
            return;
        }
        let mut heard = self.counts.known_senders(now);
        heard.extend((0..self.halls.len()).filter(|n| self.members.is_alive(*n, now)));
        heard.insert(self.me);
        let hall = self.halls.get(self.me);
        self.heard_in_hall = heard.into_iter().filter(|n| self.halls.get(*n) == hall).count();
    }

    pub(super) fn report(&self, now: u64, round: u64) -> Result<Vec<u8>, EnvelopeError> {
        let register = |back| {
            let own = self.counts.own_register(now, epoch_of(round, back)?)?;
            Some(AnnouncedRegister::new(back, own))
        };
        let registers = (0..MOST_REGISTERS as u8).filter_map(register).collect();
        let words = self.judgements.own_votes(now);
        let words = words.iter().map(|own| (own.receiver, Aged::new(round, &own.vote))).collect();
        Report { incarnation: self.incarnation.0, round, registers, words }.encode()
    }

    /// The same for all askers of a hall.
    pub(super) fn answers(&self, now: u64, round: u64, askers: &BTreeSet<usize>) -> Vec<OutgoingDatagram> {
        let pane = |back| {
            Some(AnnouncedWindowSlice { back, pane: self.counts.aggregate(now, epoch_of(round, back)?)? })
        };
        let panes: Vec<AnnouncedWindowSlice> = (0..MOST_PANES as u8).filter_map(pane).collect();
        let known = self.judgements.relayable_votes(now);
        let mut by_hall: BTreeMap<u16, Option<Vec<u8>>> = BTreeMap::new();
        let mut datagrams = Vec::new();
        for &asker in askers {
            let Some(&hall) = self.halls.get(asker) else { continue };
            let note = by_hall.entry(hall).or_insert_with(|| {
                let (panes, words) = (panes.clone(), self.words(round, hall, &known));
                View { incarnation: self.incarnation.0, round, panes, words }.encode().ok()
            });
            datagrams.extend(note.clone().map(|bytes| OutgoingDatagram { to: asker, bytes }));
        }
        datagrams
    }

    /// What the senders of a hall judge, those receivers first that most of them judge down.
    fn words(
        &self,
        round: u64,
        hall: u16,
        known: &BTreeMap<Receiver, BTreeMap<usize, Vote>>,
    ) -> Vec<Ejection> {
        let mut words = Vec::new();
        for (receiver, judges) in known {
            let own = judges.iter().filter(|(judge, _)| self.halls.get(**judge) == Some(&hall));
            let mut own: Vec<(&usize, &Vote)> = own.collect();
            own.sort_by_key(|(judge, word)| (std::cmp::Reverse(word.last), **judge));
            let down = own.iter().filter(|(_, word)| !word.recovered).count();
            let told = own.into_iter().take(MOST_JUDGES);
            let judges: Vec<(u16, Aged)> =
                told.map(|(judge, word)| (*judge as u16, Aged::new(round, word))).collect();
            if !judges.is_empty() {
                words.push((std::cmp::Reverse(down), Ejection { receiver: *receiver, judges }));
            }
        }
        words.sort_by_key(|(down, judged)| (*down, judged.receiver));
        words.into_iter().take(MOST_RECEIVERS).map(|(_, judged)| judged).collect()
    }
}
