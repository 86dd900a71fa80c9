//! A sender's notes: what is due, and what is heard.
//!
//! Invariant: what a note says changes nothing before it is within all its bounds, of a round that is now, and from a
//! sender that has a say.
use crate::change::Change;
use crate::held::Taken;
use crate::lease::ROUND_MS;
use crate::note::{Note, NoteError, Part, Statement, Word};
use crate::quorum::Count;
use crate::spread::Came;
use crate::state::{Letter, Placement};

impl Placement {
    /// The notes that go out at `now` (wall time, ms); asked every 100 ms or so. What is to be kept must be kept before.
    pub fn notes_due(&mut self, now: u64) -> Vec<Letter> {
        let round = now / ROUND_MS;
        if self.lease_told && !self.leased(now) {
            self.lease_told = false;
            self.tell(Change::LeaseRanOut { at: self.lease.until });
        }
        let mut due = Vec::new();
        if round > self.stated && self.is_kept() {
            self.stated = round;
            self.state(now, round, &mut due);
        }
        for count in self.tallies.due(now, self.settings.senders) {
            self.tell_all(now, &count, &mut due);
        }
        self.spread.tidy(round, &self.held);
        let asks = self.spread.ask(now, self.settings.me, &self.settings.key).into_iter();
        let answers = self.spread.answers(round, &self.held, &self.settings.key, self.settings.senders);
        due.extend(asks.chain(answers).map(|(to, body)| Letter { to, body }));
        due
    }

    fn state(&mut self, now: u64, round: u64, due: &mut Vec<Letter>) {
        let statement = Statement {
            round,
            at: now,
            incarnation: self.incarnation,
            senders: self.settings.senders,
            full: self.lease.full,
            tags: self.held.tags(),
            stated: self.held.stated(),
        };
        for to in self.settings.adders(round) {
            if to == self.settings.me {
                self.tallies.hear(to, &statement);
            } else {
                due.push(Letter { to, body: Note::Statement(statement.clone()).encode() });
            }
        }
    }

    fn tell_all(&mut self, now: u64, count: &Count, due: &mut Vec<Letter>) {
        let body = count.encode();
        let others = (0..self.settings.senders).filter(|&to| to != self.settings.me);
        due.extend(others.map(|to| Letter { to, body: body.clone() }));
        self.counted(now, count);
    }

    /// A note that came at `now` (wall time, ms) from the sender with number `from`. An error changes nothing.
    pub fn hear(&mut self, now: u64, from: u16, bytes: &[u8]) -> Result<(), NoteError> {
        if from >= self.settings.senders || from == self.settings.me {
            return Err(NoteError::Sender(from));
        }
        match Note::decode(bytes)? {
            Note::Statement(statement) => self.hear_statement(now, from, &statement),
            Note::Word(word) => self.hear_word(now, from, &word),
            Note::Ask(ask) => {
                self.spread.asked_by(from, ask);
                Ok(())
            }
            Note::Part(part) => {
                self.hear_part(now, from, &part);
                Ok(())
            }
        }
    }

    fn hear_statement(&mut self, now: u64, from: u16, statement: &Statement) -> Result<(), NoteError> {
        let round = statement.round;
        if statement.senders != self.settings.senders {
            return Err(NoteError::Bounds("the number of senders"));
        }
        // One that was made outside its round would say of a time what held at another.
        if statement.at / ROUND_MS != round || !self.has_begun(now, round) || round + 1 < now / ROUND_MS {
            return Err(NoteError::Round(round));
        }
        if !self.settings.adders(round).contains(&self.settings.me) {
            return Err(NoteError::Sender(self.settings.me));
        }
        self.tallies.hear(from, statement);
        Ok(())
    }

    /// Whether a round has begun by a clock within the stated error; its start is then no later than that.
    fn has_begun(&self, now: u64, round: u64) -> bool {
        let latest = now.saturating_add(self.settings.clock_error_ms.saturating_mul(2));
        round.checked_mul(ROUND_MS).is_some_and(|start| start <= latest)
    }

    fn hear_word(&mut self, now: u64, from: u16, word: &Word<'_>) -> Result<(), NoteError> {
        let over = word.round.saturating_mul(ROUND_MS).saturating_add(self.settings.lease_ms) <= now;
        if over || !self.has_begun(now, word.round) {
            return Err(NoteError::Round(word.round));
        }
        if !self.settings.adders(word.round).contains(&from) {
            return Err(NoteError::Sender(from));
        }
        let count = Count::read(word, self.settings.senders)?;
        self.counted(now, &count);
        Ok(())
    }

    /// The word of a round. A set that more than half hold is in force; one that some hold and that is not here must come first; then
    /// the word renews the lease.
    fn counted(&mut self, now: u64, count: &Count) {
        let me = self.settings.me;
        for (i, tag) in count.named() {
            // The own hold is counted as it was stated in that round too: what is held by now was perhaps not held while
            // the others, who may have lost their folders since, held it.
            if self.settings.majority(count.holders(i).count()) && self.held.put_in_force(tag) {
                self.tell(Change::InForce { tag });
                self.changed(now);
            }
            // Who waits with its statement so that others need not close while the set is on its way waits no longer.
            let others = count.holders(i).any(|sender| sender != me);
            let spread = others || count.all_have(i, me);
            if spread && self.held.state(tag) {
                self.changed(now);
            }
        }
        if self.spread.want(count, &self.held, me, &self.settings.key) {
            return;
        }
        if self.lease.hear(count, &self.settings) {
            self.tell(Change::Recovered);
            self.changed(now);
        }
        if !self.lease_told && self.leased(now) {
            self.lease_told = true;
            self.tell(Change::Leased { until: self.lease.until });
        }
    }

    fn hear_part(&mut self, now: u64, from: u16, part: &Part<'_>) {
        match self.spread.part(now, part, &self.settings.key, self.halls) {
            Came::Nothing => {}
            Came::Whole(rules) => {
                if self.take(now, rules, Some(from)) != Taken::NoRoom {
                    self.spread.tidy(now / ROUND_MS, &self.held);
                }
            }
            Came::Unusable => self.tell(Change::Unusable { tag: part.tag, from }),
        }
    }
}
