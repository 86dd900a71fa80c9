//! What several senders of a hall saw of a receiver, where one alone sees too little.
//!
//! Invariant: nobody outside the reader's hall, and no single sender, takes a receiver away; no one's word outweighs
//! what the reader sees itself; and at least half of a partner's receivers are left, one at the least.
//!
//! Word of others comes through whoever adds up, which may lie as well. So each teller stands for one judge at most: the
//! judges that count are those that can be paired with as many tellers (a judge's own word is told by itself).

mod own;
mod pairing;
mod word;

use std::collections::{BTreeMap, BTreeSet};

use own::Sight;
use pairing::most_pairs;
pub use word::{Receiver, Seen, Word};

/// Judges that a judgement needs: with two a liar and one that had two calls lost by chance would do.
pub const JUDGES: usize = 3;
/// Fewer do in a hall of fewer than five, more than half of it, but never one.
pub const FEWEST_JUDGES: usize = 2;
/// Word of a judgement counts for so long after it was heard, ms: two rounds of notes.
pub const EXPIRES: u64 = 2_000;
/// ...and no longer than this after the judge's last own sight, ms, however often it is repeated.
pub const SIGHT: u64 = 5_000;
/// What is told may be so far ahead of the reader's clock, ms.
const SKEW: u64 = 500;
/// By others' word a receiver is avoided for so long, ms, since that was enough here or an own call failed; then the reader
/// looks for itself. Less than [`SIGHT`], so that those who look and see it fail go on to judge.
pub const LOOK: u64 = 3_000;
/// A judgement that is made again within this time is the same one, ms: a few lost notes begin no new [`LOOK`].
const SAME: u64 = 10_000;
/// The part of a partner's receivers that may be avoided, as 1 in so many.
pub const ONE_IN: usize = 2;
/// Words of one teller that are kept, those that came last.
pub const MOST_WORDS: usize = 32;
/// Receivers whose own sight is kept.
pub const MOST_SIGHTS: usize = 1_024;
/// Own judgements that are told at once.
pub const MOST_TOLD: usize = 8;

/// One teller's word, and when it was heard.
type Told = (Word, u64);

/// What this sender sees and hears of receivers. At most [`MOST_WORDS`] for each sender of the tier and [`MOST_SIGHTS`] of
/// its own, emptied by expiry; and what is judged by those, for ten seconds longer.
///
/// ```
/// use rudderspindle_gossip::{OutlierDetector, Receiver, Word};
/// let mut judgements = OutlierDetector::new(0, vec![0; 6]); // six senders in one hall
/// let gone = Receiver::of(3, "a:1");
/// let word = Word { first: 500, last: 900, back: false };
/// for judge in 1..=3 {
///     judgements.hear(1_000, judge, &[(gone, judge, word)]);
/// }
/// assert_eq!(judgements.avoided(1_000, 6, &[gone, Receiver::of(3, "b:1")]), [gone]);
/// assert!(judgements.avoided(3_100, 6, &[gone, Receiver::of(3, "b:1")]).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    me: usize,
    /// The hall of each sender, by its number.
    halls: Vec<u16>,
    sights: BTreeMap<Receiver, Sight>,
    /// By teller, receiver and judge.
    words: BTreeMap<usize, BTreeMap<(Receiver, usize), Told>>,
    /// Since when each receiver is judged here by as many as are needed, and when that was last so.
    held: BTreeMap<Receiver, (u64, u64)>,
}

impl OutlierDetector {
    /// Sender number `me` of a tier whose senders are in these halls.
    pub fn new(me: usize, halls: Vec<u16>) -> Self {
        Self { me, halls, sights: BTreeMap::new(), words: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// An own call to a receiver ended.
    pub fn saw(&mut self, now: u64, receiver: Receiver, seen: Seen) {
        self.expire(now);
        self.sights.entry(receiver).or_default().take_in(now, seen);
        if self.sights.len() > MOST_SIGHTS
            && let Some(oldest) = self.sights.iter().min_by_key(|(name, sight)| (sight.last(), **name))
        {
            let oldest = *oldest.0;
            self.sights.remove(&oldest);
        }
    }

    /// What this sender judges itself, the newest first, at most [`MOST_TOLD`].
    pub fn tell(&self, now: u64) -> Vec<(Receiver, Word)> {
        let own = self.sights.iter().filter_map(|(name, sight)| Some((*name, sight.verdict()?)));
        let mut fresh: Vec<_> = own.filter(|(_, word)| word.last.saturating_add(SIGHT) > now).collect();
        fresh.sort_by_key(|(name, word)| (std::cmp::Reverse(word.last), *name));
        fresh.truncate(MOST_TOLD);
        fresh
    }

    /// Takes in what a teller said of its own judgements, or of others'. What is of nobody of the tier, of the reader
    /// itself, ahead of its clock or too old is left out.
    pub fn hear(&mut self, now: u64, teller: usize, words: &[(Receiver, usize, Word)]) {
        self.expire(now);
        if teller >= self.halls.len() || teller == self.me {
            return;
        }
        for &(receiver, judge, word) in words {
            let in_time = word.first <= word.last && word.last <= now.saturating_add(SKEW);
            let fresh = word.last.saturating_add(SIGHT) > now;
            if !(in_time && fresh) || judge >= self.halls.len() || judge == self.me {
                continue;
            }
            let table = self.words.entry(teller).or_default();
            let told = table.entry((receiver, judge)).or_insert((word, now));
            if word >= told.0 {
                *told = (word, now);
            }
            if table.len() > MOST_WORDS
                && let Some(oldest) = table.iter().min_by_key(|(name, told)| (told.1, told.0, **name))
            {
                let oldest = *oldest.0;
                table.remove(&oldest);
            }
        }
    }

    /// A sender is another process now: what its earlier one judged counts no more.
    pub fn forget(&mut self, judge: usize) {
        self.words.remove(&judge);
        self.words.values_mut().for_each(|table| table.retain(|(_, of), _| *of != judge));
    }

    /// For each receiver that is judged, the newest word of each judge, of whatever hall: what an adder passes on.
    pub fn known(&self, now: u64) -> BTreeMap<Receiver, BTreeMap<usize, Word>> {
        let mut known: BTreeMap<Receiver, BTreeMap<usize, Word>> = BTreeMap::new();
        // What was heard of a judge itself, and of oneself: hearsay is not passed on as one's own word.
        let direct = self
            .words
            .iter()
            .flat_map(|(teller, table)| table.iter().filter(move |((_, judge), _)| judge == teller));
        for ((receiver, judge), (word, heard)) in direct {
            if Self::counts(now, word, *heard) {
                known.entry(*receiver).or_default().insert(*judge, *word);
            }
        }
        for (receiver, word) in self.tell(now) {
            known.entry(receiver).or_default().insert(self.me, word);
        }
        known
    }

    /// Whether there is word of a receiver that fails, from anywhere: more is asked and told then.
    pub fn is_alert(&self, now: u64) -> bool {
        let told = self.words.values().flat_map(BTreeMap::values);
        let heard = told.filter(|(word, heard)| Self::counts(now, word, *heard)).map(|(word, _)| *word);
        heard.chain(self.tell(now).into_iter().map(|(_, word)| word)).any(|word| !word.back)
    }

    /// Which of a partner's receivers are not to be called, by the judgement of others and of oneself together, the
    /// longest judged first, where so many senders of the own hall were heard lately, this one among them. What the
    /// caller's own health makes of what it sees is apart.
    pub fn avoided(&mut self, now: u64, heard_in_hall: usize, receivers: &[Receiver]) -> Vec<Receiver> {
        self.held.retain(|_, (_, last)| last.saturating_add(SAME) > now);
        let receivers: BTreeSet<Receiver> = receivers.iter().copied().collect();
        let needed = (heard_in_hall / 2 + 1).clamp(FEWEST_JUDGES, JUDGES);
        let mut judged = Vec::new();
        for &name in &receivers {
            let sight = self.sights.get(&name).copied().unwrap_or_default();
            let Some(began) = self.judged(now, name, &sight, needed) else { continue };
            let (since, last) = self.held.entry(name).or_insert((now, now));
            *last = now;
            // After a while the reader looks for itself, and goes by that.
            if now < sight.failed_at().max(*since).saturating_add(LOOK) {
                judged.push((began, name));
            }
        }
        judged.sort_unstable();
        judged.truncate(receivers.len() / ONE_IN);
        judged.into_iter().map(|(_, name)| name).collect()
    }

    /// Since when a receiver is judged by as many as are needed, ms.
    fn judged(&self, now: u64, receiver: Receiver, sight: &Sight, needed: usize) -> Option<u64> {
        let judges = self.judges(now, receiver, sight);
        let tellers: Vec<&BTreeSet<usize>> = judges.values().map(|(_, tellers)| tellers).collect();
        if most_pairs(&tellers) < needed {
            return None;
        }
        let mut firsts: Vec<u64> = judges.values().map(|(first, _)| *first).collect();
        firsts.sort_unstable();
        firsts.get(needed - 1).copied()
    }

    /// Who of the own hall judges a receiver to be down, since when, and who told.
    fn judges(&self, now: u64, receiver: Receiver, sight: &Sight) -> BTreeMap<usize, (u64, BTreeSet<usize>)> {
        let mut newest: BTreeMap<usize, (Word, BTreeSet<usize>)> = BTreeMap::new();
        let hall = self.halls.get(self.me);
        for (teller, table) in &self.words {
            for ((_, judge), (word, heard)) in table.range((receiver, 0)..=(receiver, usize::MAX)) {
                let outweighed = sight.outweighs(word.first);
                if self.halls.get(*judge) != hall || outweighed || !Self::counts(now, word, *heard) {
                    continue;
                }
                let (of, tellers) = newest.entry(*judge).or_insert((*word, BTreeSet::new()));
                *of = (*of).max(*word);
                if !word.back {
                    tellers.insert(*teller);
                }
            }
        }
        if let Some(word) = sight.verdict().filter(|word| word.last.saturating_add(SIGHT) > now) {
            newest.insert(self.me, (word, [self.me].into()));
        }
        newest.retain(|_, (word, _)| !word.back);
        newest.into_iter().map(|(judge, (word, tellers))| (judge, (word.first, tellers))).collect()
    }

    fn counts(now: u64, word: &Word, heard: u64) -> bool {
        heard.saturating_add(EXPIRES) > now && word.last.saturating_add(SIGHT) > now
    }

    fn expire(&mut self, now: u64) {
        for table in self.words.values_mut() {
            table.retain(|_, (word, heard)| Self::counts(now, word, *heard));
        }
        self.words.retain(|_, table| !table.is_empty());
        self.sights.retain(|_, sight| sight.is_fresh(now));
    }
}

#[cfg(test)]
mod tests;
