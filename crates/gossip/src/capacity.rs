//! What the fleet's notes leave of one limit to this sender, and what it does to that limit. The decision module
//! asks for a pace and tells what it sends; without fresh notes there is none, and its own pace counts. Where rights
//! are kept, each call needs a turn as well, and what notes leave is in the turns.

use std::collections::BTreeMap;

/// A span or a point of time in milliseconds.
type Millis = f64;

/// Time over which the coming of messages is reckoned, ms.
const FLOW: Millis = 1_000.0;
/// Least pace that a sender takes of a limit, calls a second: one call in the life of most messages.
const LEAST_PACE: f64 = 0.05;
/// Until notes can have told of a gate that is new here, ms, it is reckoned that each other sender wants one call.
const FIRST_NOTES: Millis = 1_000.0;
/// What is left of the room once a call of ours was refused, until the next notes tell how all others fare.
const AFTER_REFUSAL: f64 = 0.5;

/// Messages that come.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    messages: f64,
    at: Millis,
}

impl ArrivalRate {
    /// Takes in one more message.
    pub fn came(&mut self, now: Millis) {
        *self = Self { messages: self.expected(now, FLOW) + 1.0, at: now };
    }

    /// Messages that will come within such a time, as far as those of late tell.
    pub fn expected(&self, now: Millis, within: Millis) -> f64 {
        self.messages * (-(now - self.at) / FLOW).exp() * within / FLOW
    }
}

/// Of one limit.
#[derive(Clone, Debug, Default)]
pub struct CapacityShare {
    /// Calls a second for each call that is wanted, and until when that may be relied on.
    calls: f64,
    until: Millis,
    /// Calls wanted by all senders; 0 where notes do not tell.
    pub all: f64,
    /// The pace that the turn at hand was set by; 0 if it was not set by one of ours.
    turn_pace: f64,
    /// Where rights are kept: the turns at hand by number, from when until when, and whether one is used.
    turns: Option<BTreeMap<u64, (Millis, Millis, bool)>>,
    /// Calls made so far.
    pub called: u64,
    /// ...that were refused.
    pub refused: u64,
    /// ...that failed.
    pub failed: u64,
}

impl CapacityShare {
    /// Of a gate that no notes have told of yet: all senders may begin there at the same moment, as after a failure.
    pub fn unheard(now: Millis, limit: f64, senders: usize) -> Self {
        Self { calls: limit / senders as f64, until: now + FIRST_NOTES, ..Self::default() }
    }

    /// A gate at which each call needs a turn, none of which has come yet.
    #[must_use]
    pub fn strict(mut self) -> Self {
        self.turns = Some(BTreeMap::new());
        self
    }

    /// Takes in the turns that this sender has now: number, from when and until when. One that was used stays used.
    pub fn deal(&mut self, now: Millis, turns: &[(u64, Millis, Millis)]) {
        let used = self.turns.take().unwrap_or_default();
        let mut used: BTreeMap<_, _> = used.into_iter().filter(|(_, turn)| turn.2 && turn.1 > now).collect();
        for &(number, from, until) in turns.iter().filter(|turn| turn.2 > now) {
            used.entry(number).or_insert((from, until, false));
        }
        self.turns = Some(used);
    }

    /// From when on a call may go as far as turns are concerned; never while there is none.
    pub fn opens_at(&self, now: Millis) -> Millis {
        let Some(turns) = &self.turns else { return f64::NEG_INFINITY };
        let next = turns.values().filter(|(_, until, used)| !used && *until > now).map(|turn| turn.0);
        next.fold(f64::INFINITY, f64::min)
    }

    /// Calls a second of a limit of so many that are left to a sender that wants so many within a second; where turns
    /// are kept they are the pace.
    pub fn pace(&self, now: Millis, wanted: f64, limit: f64) -> Option<f64> {
        let pace = || (self.calls * wanted).clamp(LEAST_PACE, limit.max(LEAST_PACE));
        (self.until > now).then(|| if self.turns.is_some() { f64::INFINITY } else { pace() })
    }

    /// Our share of what all senders want, while notes tell of that; the shares add up to one at most.
    pub fn part(&self, now: Millis, wanted: f64) -> Option<f64> {
        (self.until > now && self.all > 0.0).then(|| (wanted.max(1.0) / self.all).min(1.0))
    }

    /// Takes in what notes say. When a turn at hand is due that was set by an older word: a told wait before it stays.
    pub fn told(
        &mut self,
        now: Millis,
        calls: f64,
        lasts: Millis,
        (wanted, limit): (f64, f64),
        (wait_until, turn): (Millis, Millis),
    ) -> Millis {
        (self.calls, self.until) = (calls, now + lasts);
        let (before, pace) = (self.turn_pace, self.pace(now, wanted, limit).unwrap_or(limit));
        let from = now.max(wait_until);
        if turn <= from || before == 0.0 || self.turns.is_some() {
            return turn;
        }
        self.turn_pace = pace;
        from + (turn - from) * before / pace
    }

    /// When a sender that wanted nothing until now has its first turn, at such a pace and such a draw from 0 to 1. It has
    /// saved nothing up: where notes tell of a gate, as so much is wanted of it, it takes its turn like all others, and
    /// notes tell of a swell before all of it has gone.
    pub fn first_turn(&mut self, now: Millis, pace: f64, draw: f64) -> Option<Millis> {
        self.calls.is_finite().then(|| {
            self.turn_pace = pace;
            now + 2_000.0 / pace * draw
        })
    }

    /// Mean time to the next turn at such a pace, ms, as notes leave it now.
    pub fn turn(&mut self, pace: f64) -> Millis {
        self.turn_pace = pace;
        1_000.0 / pace
    }

    /// A call goes, by our pace or by another, and uses up the turn that ends first.
    pub fn sent(&mut self, now: Millis, pace: Option<f64>) {
        self.called += 1;
        let open = |turn: &&mut (Millis, Millis, bool)| !turn.2 && turn.0 <= now && now < turn.1;
        let turns = self.turns.iter_mut().flat_map(BTreeMap::values_mut).filter(open);
        turns.min_by(|a, b| a.1.total_cmp(&b.1)).into_iter().for_each(|turn| turn.2 = true);
        self.turn_pace = pace.unwrap_or(0.0);
    }

    /// A call was refused.
    pub fn refused(&mut self) {
        self.refused += 1;
        self.calls = self.calls.min(1.0) * AFTER_REFUSAL;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// No told wait, and no turn at hand.
    const NONE: (Millis, Millis) = (0.0, 0.0);

    #[test]
    fn what_notes_leave_is_dealt_out_by_need_and_only_while_they_are_fresh() {
        let mut room = CapacityShare::default();
        assert_eq!(room.pace(0.0, 5.0, 40.0), None);
        room.told(0.0, 0.5, 1_000.0, (5.0, 40.0), NONE);
        assert_eq!(room.pace(999.0, 5.0, 40.0), Some(2.5));
        assert_eq!(room.pace(999.0, 0.0, 40.0), Some(LEAST_PACE));
        assert_eq!(room.pace(1_000.0, 5.0, 40.0), None);
        room.told(1_000.0, f64::INFINITY, 1_000.0, (5.0, 40.0), NONE);
        assert_eq!(room.pace(1_500.0, 5.0, 40.0), Some(40.0));
    }

    #[test]
    fn a_turn_that_was_set_by_an_older_word_comes_as_much_sooner_or_later() {
        let mut room = CapacityShare::default();
        room.told(0.0, 0.1, 1_000.0, (1.0, 40.0), NONE);
        room.sent(0.0, room.pace(0.0, 1.0, 40.0));
        // Ten seconds at a tenth of a call a second: at four tenths what is left takes a quarter.
        assert_eq!(room.told(2_000.0, 0.4, 1_000.0, (1.0, 40.0), (0.0, 10_000.0)), 4_000.0);
        // A told wait is no part of the turn.
        room.sent(2_000.0, room.pace(2_000.0, 1.0, 40.0));
        assert_eq!(room.told(2_500.0, 0.8, 1_000.0, (1.0, 40.0), (4_000.0, 6_000.0)), 5_000.0);
        room.sent(2_500.0, room.pace(2_500.0, 1.0, 40.0));
        // One that is due stays due, and one that another pace set is left alone.
        assert_eq!(room.told(5_000.0, 0.1, 1_000.0, (1.0, 40.0), (0.0, 4_000.0)), 4_000.0);
        room.sent(5_000.0, None);
        assert_eq!(room.told(6_000.0, 0.4, 1_000.0, (1.0, 40.0), (0.0, 9_000.0)), 9_000.0);
    }

    #[test]
    fn a_first_message_waits_its_turn_only_where_notes_tell_of_a_gate() {
        let mut room = CapacityShare::default();
        room.told(0.0, f64::INFINITY, 1_000.0, (1.0, 40.0), NONE);
        assert_eq!(room.first_turn(0.0, 2.0, 0.5), None);
        room.told(0.0, 2.0, 1_000.0, (1.0, 40.0), NONE);
        assert_eq!(room.first_turn(0.0, 2.0, 0.5), Some(500.0));
        room.told(0.0, 0.25, 1_000.0, (1.0, 40.0), NONE);
        assert_eq!(room.first_turn(0.0, 0.25, 0.5), Some(4_000.0));
    }

    #[test]
    fn a_refusal_halves_the_room_until_notes_tell_how_the_others_fare() {
        let mut room = CapacityShare::default();
        room.told(0.0, f64::INFINITY, 1_000.0, (4.0, 40.0), NONE);
        room.refused();
        assert_eq!(room.pace(1.0, 4.0, 40.0), Some(2.0));
        room.told(250.0, 0.9, 1_000.0, (4.0, 40.0), NONE);
        assert_eq!(room.pace(251.0, 4.0, 40.0), Some(3.6));
    }

    #[test]
    fn the_flow_follows_what_comes_within_a_second_or_two() {
        let mut arrival_rate = ArrivalRate::default();
        (0..100).for_each(|n| arrival_rate.came(f64::from(n) * 100.0));
        let steady = arrival_rate.expected(9_900.0, 1_000.0);
        assert!((steady - 10.0).abs() < 1.0, "{steady} expected of ten a second");
        assert!(arrival_rate.expected(14_000.0, 1_000.0) < 0.5);
    }

    #[test]
    fn a_call_uses_a_turn_up_and_one_that_is_told_again_stays_used() {
        let mut room = CapacityShare::default().strict();
        assert_eq!(room.opens_at(0.0), f64::INFINITY);
        let turns = [(8, 50.0, 150.0), (7, 10.0, 110.0), (9, 200.0, 300.0)];
        room.deal(0.0, &turns);
        assert_eq!(room.opens_at(0.0), 10.0);
        room.sent(60.0, None);
        assert_eq!(room.opens_at(60.0), 50.0);
        room.deal(61.0, &turns);
        room.sent(61.0, None);
        assert_eq!(room.opens_at(61.0), 200.0);
        // One that has run out is none, told again or not.
        assert_eq!(room.opens_at(300.0), f64::INFINITY);
        room.deal(300.0, &turns);
        assert_eq!(room.opens_at(300.0), f64::INFINITY);
    }
}
