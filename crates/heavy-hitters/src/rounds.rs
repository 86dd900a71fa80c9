//! When senders tell, and who adds up.
//!
//! Invariant: all senders draw the same adders for a term, whatever they have heard.

use crate::PANES;
use crate::streams::mix;

/// Length of a round, ms: a note and its answer are on their way within one.
pub const ROUND_MS: u64 = 200;
/// From here on in a round senders tell, ms: answers of its beginning have come, and nobody asks for them again.
pub(crate) const TELLING_FROM_MS: u64 = 50;
/// Each sender tells at a moment of its own in so much of a round, ms: the rest is for the way.
pub(crate) const TELLING_MS: u64 = 70;
/// In these rounds of a pane all that have told in it are answered, later only who tells again: by then each has told
/// three times. Where one note of five is lost, less than 1 digest of a hundred is missing, and 4 senders of a hundred
/// hear neither answer.
pub(crate) const CLOSES: [u64; 2] = [3, 4];
/// Whoever adds up does so for so many panes: a minute at a window of 10 s. Its successor has to be told a whole window
/// again, and nothing is sharp for a second; a longer term costs more where the one drawn is gone for some.
const TERM: u64 = 6 * PANES;
/// Adders that are drawn for a term: whoever does not answer is followed by the next.
const DRAWN: usize = 3;

/// Who adds up while this pane is open: the first that answers.
#[must_use]
pub fn adders(pane: u64, senders: usize) -> Vec<usize> {
    let term = mix(pane / TERM);
    let mut order: Vec<(u64, usize)> = (0..senders).map(|n| (mix(term ^ n as u64), n)).collect();
    let most = DRAWN.min(order.len());
    if most > 0 {
        order.select_nth_unstable(most - 1);
    }
    order.truncate(most);
    order.sort_unstable();
    order.into_iter().map(|(_, n)| n).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn three_distinct_senders_are_drawn_for_a_term_and_each_has_its_turn() {
        assert_eq!(adders(0, 300), adders(TERM - 1, 300));
        let mut first = [0_u32; 300];
        for term in 0..30_000 {
            let drawn = adders(term * TERM, 300);
            assert!(drawn.len() == 3 && drawn[0] != drawn[1] && drawn[1] != drawn[2] && drawn[0] != drawn[2]);
            first[drawn[0]] += 1;
        }
        // A hundred each; five times the error of chance either way.
        assert!(first.iter().all(|n| (50..=150).contains(n)), "{first:?}");
        assert_eq!(adders(7, 1), [0]);
        assert!(adders(7, 0).is_empty());
    }
}
