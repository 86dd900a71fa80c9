//! What befalls notes on their way from one sender to another. No sockets and no clock.
//!
//! Invariant: every note takes the same number of draws, whatever the weather, and every way has draws of its own; so
//! what befalls the n-th note of a way depends on the seed and on that way's weather at that moment alone.

use std::ops::Range;
use std::time::Duration;

use crate::scenario::SeededRng;

/// A note that is held back is late by so much more: a round of notes, 250 ms, and a little, so that the next of its
/// way overtakes it.
pub const HELD_BACK: Duration = Duration::from_millis(300);

/// How notes fare on a way. Shares are from 0 (never, as by default) to 1 (always).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Share that is lost.
    pub drop: f64,
    /// How late each is: evenly between the two; by the first, if the second is not above it.
    pub delay: Range<Duration>,
    /// Share that comes twice, each copy with a delay of its own.
    pub duplicate: f64,
    /// Share that is held back by [`HELD_BACK`].
    pub reorder: f64,
    /// Share that comes with one of its bytes changed, all copies alike.
    pub damage: f64,
    /// Each that is not lost comes once more so much later.
    pub replay_after: Option<Duration>,
}

/// A way from one sender to another, with chance of its own.
///
/// ```
/// # use rudderspindle_testkit::fault_schedule::{Way, LinkFaults};
/// let mut way = Way::new(7, 0, 1);
/// let foul = LinkFaults { duplicate: 1.0, ..LinkFaults::default() };
/// // Both copies at once.
/// assert_eq!(way.carry(b"note", &foul), [(Default::default(), b"note".to_vec()), (Default::default(), b"note".to_vec())]);
/// ```
#[derive(Debug)]
pub struct Way(SeededRng);

impl Way {
    /// From one sender to another, by their numbers.
    pub fn new(seed: u64, from: usize, to: usize) -> Self {
        // An odd multiplier keeps seeds apart; numbers of senders are far under 2^16.
        Self(SeededRng::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((from as u64) << 16 | to as u64)))
    }

    /// What comes out at the other end for a note that goes in, and how much later; nothing, if it is lost.
    pub fn carry(&mut self, note: &[u8], weather: &LinkFaults) -> Vec<(Duration, Vec<u8>)> {
        let draw = &mut self.0;
        let lost = draw.chance(weather.drop);
        let span = weather.delay.end.saturating_sub(weather.delay.start);
        let mut late = || weather.delay.start + span.mul_f64(draw.unit());
        let (first, second) = (late(), late());
        let doubled = draw.chance(weather.duplicate);
        let held = if draw.chance(weather.reorder) { HELD_BACK } else { Duration::ZERO };
        let damaged = draw.chance(weather.damage);
        let (place, change) = (draw.integer(0, note.len().max(1) as u64), draw.integer(1, 256) as u8);
        if lost {
            return Vec::new();
        }
        let mut note = note.to_vec();
        if let Some(byte) = note.get_mut(place as usize).filter(|_| damaged) {
            *byte ^= change;
        }
        let mut copies = vec![(first + held, note.clone())];
        copies.extend(doubled.then(|| (second + held, note.clone())));
        copies.extend(weather.replay_after.map(|after| (first + held + after, note)));
        copies
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    type Copies = Vec<(Duration, Vec<u8>)>;

    #[test]
    fn each_trouble_befalls_its_share_of_the_notes_and_no_others() {
        let outcomes = |weather: &LinkFaults| {
            let mut way = Way::new(1, 2, 3);
            (0..4_000).map(|_| way.carry(b"a note", weather)).collect::<Vec<Copies>>()
        };
        let whole = (Duration::ZERO, b"a note".to_vec());
        let one_in_four = |weather: LinkFaults, befallen: fn(&Copies) -> bool| {
            let (hit, spared): (Vec<Copies>, Vec<Copies>) =
                outcomes(&weather).into_iter().partition(befallen);
            assert!(spared.iter().all(|copies| copies[..] == [whole.clone()]), "{weather:?}");
            assert!((900..1_100).contains(&hit.len()), "{} of 4000: {weather:?}", hit.len());
        };
        let calm = LinkFaults::default;
        one_in_four(LinkFaults { drop: 0.25, ..calm() }, Vec::is_empty);
        one_in_four(LinkFaults { duplicate: 0.25, ..calm() }, |o| o.len() == 2 && o[0] == o[1]);
        one_in_four(LinkFaults { reorder: 0.25, ..calm() }, |o| o.len() == 1 && o[0].0 == HELD_BACK);
        one_in_four(LinkFaults { damage: 0.25, ..calm() }, |o| {
            o[0].1.len() == 6 && o[0].1.iter().zip(b"a note").filter(|(a, b)| a != b).count() == 1
        });
        let late = outcomes(&LinkFaults { delay: 10 * MS..30 * MS, ..calm() });
        assert!(late.iter().all(|o| o.len() == 1 && (10 * MS..30 * MS).contains(&o[0].0)));
        assert!(late.iter().any(|o| o[0].0 < 12 * MS) && late.iter().any(|o| o[0].0 > 28 * MS));
        let again = outcomes(&LinkFaults { replay_after: Some(60_000 * MS), ..calm() });
        assert!(again.iter().all(|o| o[..] == [whole.clone(), (60_000 * MS, whole.1.clone())]));
    }

    #[test]
    fn what_befalls_a_note_hangs_on_its_way_and_its_number_and_not_on_what_the_weather_was() {
        let foul =
            LinkFaults { drop: 0.5, damage: 0.5, delay: Duration::ZERO..99 * MS, ..LinkFaults::default() };
        let after = |before: &LinkFaults, (from, to)| {
            let mut way = Way::new(9, from, to);
            (0..50).for_each(|_| drop(way.carry(b"another", before)));
            (0..50).map(|_| way.carry(b"a note", &foul)).collect::<Vec<_>>()
        };
        let wild = LinkFaults { duplicate: 0.7, drop: 1.0, reorder: 0.2, ..LinkFaults::default() };
        assert_eq!(after(&LinkFaults::default(), (1, 2)), after(&wild, (1, 2)));
        assert_ne!(after(&wild, (1, 2)), after(&wild, (2, 1)));
        // Nothing to change in it, and nothing breaks.
        let damage = LinkFaults { damage: 1.0, ..LinkFaults::default() };
        assert_eq!(Way::new(0, 0, 0).carry(b"", &damage), [(Duration::ZERO, Vec::new())]);
    }
}
