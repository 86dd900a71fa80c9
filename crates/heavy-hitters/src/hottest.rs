//! One sender among its fellows: what it is handed, tells, hears and judges.
//!
//! Invariant: it judges by answers alone, its own among them, and heeds the better of two, so that all who hear the same
//! judge the same.

use crate::adder::Adder;
use crate::rounds::{ROUND_MS, adders};
use crate::teller::Teller;
use crate::wire::Note;
use crate::{Answer, HotError, Judge, Key, Panes, Repeated, Settings, SettingsError, View, repeated};

/// The number of the sender that a note goes to, and the note's body.
pub type Letter = (usize, Vec<u8>);

/// The hottest streams as one sender counts, tells and hears them.
///
/// ```
/// use rudderspindle_heavy_hitters::{Hottest, Names, Settings};
/// let (names, settings) = (Names::new([7; 16]), Settings::default());
/// let mut hottest = Hottest::new(settings, 0, 1, 1, 1_000_000, true).expect("the settings are right");
/// for now in 1_000_000..1_000_500 {
///     hottest.hand_in(now, names.stream("narmada", "gate-1"), None);
/// }
/// // The pane of 2 s has closed, and what is told and heard of it is this sender's own.
/// assert!(hottest.notes_due(1_002_100).is_empty() && hottest.notes_due(1_002_600).is_empty());
/// assert!(hottest.is_hot(names.stream("narmada", "gate-1")));
/// ```
#[derive(Clone, Debug)]
pub struct Hottest {
    settings: Settings,
    me: usize,
    senders: usize,
    panes: Panes,
    teller: Teller,
    adder: Adder,
    /// The pane that was open last.
    open: u64,
    view: Option<View>,
    judge: Judge,
}

impl Hottest {
    /// Sender number `me` of `senders`, in a life that has a number of its own, greater than any before it, at this time
    /// (ms of the shared clock). `idle_before` says that no earlier life of it was handed anything within the window
    /// before; who does not know says `false`, and a window passes until its own pane of the start counts whole.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names what is wrong.
    pub fn new(
        settings: Settings,
        me: usize,
        senders: usize,
        incarnation: u64,
        now: u64,
        idle_before: bool,
    ) -> Result<Self, SettingsError> {
        let settings = settings.checked()?;
        Ok(Self {
            settings,
            me,
            senders,
            panes: Panes::new(&settings, now, idle_before),
            teller: Teller::new(me, senders, incarnation),
            adder: Adder::new(senders, settings.most_per_pane()),
            open: now / settings.pane_ms(),
            view: None,
            judge: Judge::new(settings.part),
        })
    }

    /// Takes in one message of a stream, with its idempotency key if it has one.
    pub fn hand_in(&mut self, now: u64, stream: Key, key: Option<Key>) {
        self.panes.hand_in(now, stream, key);
    }

    /// Whether a stream is hot.
    #[must_use]
    pub fn is_hot(&self, stream: Key) -> bool {
        self.judge.is_hot(stream)
    }

    /// The hot streams, `1 / part` at most.
    pub fn hot(&self) -> impl Iterator<Item = Key> {
        self.judge.hot()
    }

    /// The best view that was heard of the newest window; its panes say how old it is.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether several senders were handed this idempotency key of late.
    #[must_use]
    pub fn is_repeated(&self, key: Key, now: u64) -> Option<Repeated> {
        repeated(self.view.as_ref()?, key, now, self.settings.pane_ms())
    }

    /// When notes are due next, ms of the shared clock.
    #[must_use]
    pub fn next_due(&self, now: u64) -> u64 {
        let next = (now / ROUND_MS + 1) * ROUND_MS;
        self.teller.next(now).map_or(next, |at| at.min(next))
    }

    /// What to tell whom now.
    pub fn notes_due(&mut self, now: u64) -> Vec<Letter> {
        let pane = self.turn(now);
        let round = now % self.settings.pane_ms() / ROUND_MS;
        let mut letters = Vec::new();
        if let Some((answer, answers)) = self.adder.answers(now, pane, round) {
            letters.extend(answers);
            // It was made here, and says no more than there are senders.
            let _ = self.heed(&answer);
        }
        if self.teller.is_due(now) {
            let (own, notes) = self.teller.tell(pane, round, &self.panes);
            self.adder.take_in_own(self.me, own, pane);
            letters.extend(notes.into_iter().map(|(to, digest)| (to, Note::Digest(digest).encode())));
        }
        letters
    }

    /// Takes in a note of another sender.
    ///
    /// # Errors
    ///
    /// [`HotError`] says why it was dropped; nothing has changed then.
    pub fn hear(&mut self, now: u64, from: usize, bytes: &[u8]) -> Result<(), HotError> {
        if from == self.me || from >= self.senders {
            return Err(HotError::Stranger);
        }
        let note = Note::decode(bytes)?;
        let pane = self.turn(now);
        match note {
            // The one that tells may have begun the next term.
            Note::Digest(_) if !self.adds_up(pane) => Err(HotError::Stranger),
            Note::Digest(digest) => self.adder.hear(now, pane, from, digest),
            Note::Answer(answer) if answer.pane.abs_diff(pane) > 1 => Err(HotError::Pane),
            Note::Answer(answer) => {
                if !adders(answer.pane, self.senders).contains(&from) {
                    return Err(HotError::Stranger);
                }
                self.heed(&answer)?;
                self.teller.hear(from, &answer, pane, &self.panes);
                Ok(())
            }
        }
    }

    /// Heeds an answer if it is better than the one before.
    fn heed(&mut self, answer: &Answer) -> Result<(), HotError> {
        let worth = answer.worth();
        let view = View::read(answer.clone(), self.senders, &self.settings).ok_or(HotError::Malformed)?;
        if let Some(before) = &self.view {
            // Where the clock went far ahead and back again no view would be better for long.
            if before.answer().worth() >= worth && before.panes().end <= self.open + 1 {
                return Ok(());
            }
            if before.panes().end != view.panes().end {
                self.judge.settle(before);
            }
        }
        self.judge.rise(&view);
        self.view = Some(view);
        Ok(())
    }

    /// Whether this sender is drawn to add up, in this pane or the next.
    fn adds_up(&self, pane: u64) -> bool {
        [pane, pane + 1].iter().any(|pane| adders(*pane, self.senders).contains(&self.me))
    }

    /// Forgets what the clock has left behind; the pane that is open.
    fn turn(&mut self, now: u64) -> u64 {
        let pane = now / self.settings.pane_ms();
        self.panes.turn(now);
        if self.open != pane {
            self.teller.turn(self.open, pane);
            self.adder.turn(pane, self.adds_up(pane));
            self.open = pane;
        }
        pane
    }
}
