use super::*;
use proptest::prelude::*;

const T: u64 = 1_700_000_000_000;

fn receivers(n: usize) -> Vec<Receiver> {
    (0..n).map(|n| Receiver::of(1, &format!("r{n}"))).collect()
}

fn down(first: u64, last: u64) -> Word {
    Word { first, last, back: false }
}

/// Ten senders in a hall, five in another, of which this is number 0; the word of each of these judges, told by itself.
fn heard(judges: &[usize], receiver: Receiver, word: Word, now: u64) -> OutlierDetector {
    let halls = (0..15).map(|n| u16::from(n >= 10)).collect();
    let mut judgements = OutlierDetector::new(0, halls);
    judges.iter().for_each(|judge| judgements.hear(now, *judge, &[(receiver, *judge, word)]));
    judgements
}

#[test]
fn three_judges_of_the_own_hall_take_a_receiver_away_and_neither_two_nor_others_do() {
    let all = receivers(4);
    let word = down(T - 900, T - 100);
    let avoided =
        |judges: &[usize], heard_in_hall| heard(judges, all[0], word, T).avoided(T, heard_in_hall, &all);
    assert_eq!(avoided(&[1, 2, 3], 10), [all[0]]);
    assert!(avoided(&[1, 2], 10).is_empty());
    assert!(avoided(&[1, 2, 10, 11, 12, 13, 14], 10).is_empty(), "the other hall's word");
    assert_eq!(avoided(&[1, 2], 3), [all[0]], "two of three that are there");
    assert!(avoided(&[1], 1).is_empty(), "never one");
}

#[test]
fn own_failures_make_one_judge_after_two_in_a_row_and_are_told() {
    let all = receivers(2);
    let mut judgements = heard(&[1, 2], all[0], down(T - 900, T - 100), T);
    judgements.saw(T, all[0], Seen::Failed);
    assert!(judgements.avoided(T, 10, &all).is_empty() && judgements.tell(T).is_empty());
    judgements.saw(T + 100, all[0], Seen::Failed);
    assert_eq!(judgements.avoided(T + 100, 10, &all), [all[0]]);
    assert_eq!(judgements.tell(T + 100), [(all[0], down(T, T + 100))]);
    judgements.saw(T + 200, all[0], Seen::Answered);
    assert_eq!(judgements.tell(T + 200), [(all[0], Word { first: T + 200, last: T + 200, back: true })]);
    assert!(judgements.avoided(T + 200, 10, &all).is_empty(), "what it sees itself wins");
}

#[test]
fn an_own_good_answer_since_the_judgement_began_wins_and_one_before_it_does_not() {
    let all = receivers(2);
    let answered = |at| {
        let mut judgements = heard(&[1, 2, 3], all[0], down(T - 900, T - 100), T);
        judgements.saw(at, all[0], Seen::Answered);
        judgements.avoided(T, 10, &all)
    };
    assert_eq!(answered(T - 1_000), [all[0]]);
    // Though its judges go on to fail: it is they who are cut off.
    assert!(answered(T - 800).is_empty());
}

#[test]
fn a_judge_that_says_back_is_none_and_a_late_note_does_not_bring_its_judgement_back() {
    let all = receivers(2);
    let mut judgements = heard(&[1, 2, 3], all[0], down(T - 900, T - 100), T);
    let back = Word { first: T, last: T, back: true };
    judgements.hear(T + 50, 3, &[(all[0], 3, back)]);
    judgements.hear(T + 60, 3, &[(all[0], 3, down(T - 900, T - 100))]);
    assert!(judgements.avoided(T + 60, 10, &all).is_empty());
}

#[test]
fn a_judgement_expires_by_itself_and_one_that_is_repeated_for_ever_does_too() {
    let all = receivers(2);
    let mut judgements = heard(&[1, 2, 3], all[0], down(T - 900, T), T);
    assert_eq!(judgements.avoided(T + EXPIRES - 1, 10, &all), [all[0]]);
    assert!(judgements.avoided(T + EXPIRES, 10, &all).is_empty(), "not told again");
    // The judges' sight is old before the word of it is.
    let mut judgements = heard(&[1, 2, 3], all[0], down(T - 4_800, T - 4_500), T);
    assert_eq!(judgements.avoided(T + 499, 10, &all), [all[0]]);
    assert!(judgements.avoided(T + 500, 10, &all).is_empty());
    let mut judgements = heard(&[], all[0], down(T, T), T);
    let mut avoided = Vec::new();
    for now in (T..T + 20_000).step_by(500) {
        for stuck in 1..=3 {
            judgements.hear(now, stuck, &[(all[0], stuck, down(T, T))]);
        }
        if !judgements.avoided(now, 10, &all).is_empty() {
            avoided.push(now - T);
        }
    }
    assert_eq!(avoided.last(), Some(&(LOOK - 500)));
    assert!(judgements.words.is_empty(), "what is old was not taken in again");
}

#[test]
fn the_reader_looks_for_itself_after_a_while_and_goes_by_that() {
    let all = receivers(2);
    let mut judgements = heard(&[], all[0], down(T, T), T);
    let told = |judgements: &mut OutlierDetector, now: u64| {
        (1..=3).for_each(|n| judgements.hear(now, n, &[(all[0], n, down(T, now))]));
        judgements.avoided(now, 10, &all)
    };
    assert_eq!(told(&mut judgements, T), [all[0]]);
    assert_eq!(told(&mut judgements, T + LOOK - 1), [all[0]]);
    assert!(told(&mut judgements, T + LOOK).is_empty(), "its own look");
    judgements.saw(T + LOOK + 100, all[0], Seen::Failed);
    assert_eq!(told(&mut judgements, T + LOOK + 200), [all[0]]);
    judgements.saw(T + LOOK + 300, all[0], Seen::Answered);
    assert!(told(&mut judgements, T + LOOK + 400).is_empty());
}

#[test]
fn at_most_half_of_a_partners_receivers_are_taken_away_the_longest_judged_first_and_one_is_left() {
    for n in 1..=6 {
        let all = receivers(n);
        let mut judgements = heard(&[], all[0], down(T, T), T);
        for judge in 1..=4 {
            for (later, receiver) in (0..).zip(all.iter().rev()) {
                judgements.hear(T, judge, &[(*receiver, judge, down(T - 900 + later, T))]);
            }
        }
        let longest: Vec<Receiver> = all.iter().rev().take(n / 2).copied().collect();
        assert_eq!(judgements.avoided(T, 10, &all), longest, "of {n}");
    }
}

#[test]
fn a_judge_that_came_back_as_another_process_is_none_until_it_judges_again() {
    let all = receivers(2);
    let mut judgements = heard(&[1, 2, 3], all[0], down(T - 900, T), T);
    // Told by others, too.
    judgements.hear(T, 4, &[(all[0], 2, down(T - 900, T))]);
    judgements.forget(2);
    assert!(judgements.avoided(T, 10, &all).is_empty());
}

proptest! {
    /// One sender says of itself and as whoever adds up whatever it likes, while others tell the truth of two judges.
    #[test]
    fn no_single_sender_takes_a_receiver_away_whatever_it_says_of_whom(
        lies in proptest::collection::vec((0_usize..20, 0_usize..4, 0_u64..3_000, 0_u64..9_000, any::<bool>()), 0..80),
        honest in prop_oneof![Just(vec![]), Just(vec![2]), Just(vec![3])],
        heard_in_hall in 4_usize..10,
    ) {
        let all = receivers(4);
        let mut judgements = heard(&honest, all[0], down(T - 900, T), T);
        for (judge, of, run, ago, back) in lies {
            let last = (T + 1_000).saturating_sub(ago);
            let word = Word { first: last.saturating_sub(run), last, back };
            judgements.hear(T, 1, &[(all[of], judge, word)]);
            prop_assert!(judgements.words.values().all(|table| table.len() <= MOST_WORDS));
        }
        prop_assert!(judgements.avoided(T, heard_in_hall, &all).is_empty());
    }

    #[test]
    fn pairs_are_as_many_as_any_assignment_finds(
        told in proptest::collection::vec(proptest::collection::btree_set(0_usize..5, 0..4), 0..5),
    ) {
        fn best(judges: &[&BTreeSet<usize>], used: &mut Vec<usize>) -> usize {
            let Some((first, rest)) = judges.split_first() else { return 0 };
            let mut most = best(rest, used);
            for teller in first.iter().filter(|teller| !used.contains(teller)).collect::<Vec<_>>() {
                used.push(*teller);
                most = most.max(1 + best(rest, used));
                used.pop();
            }
            most
        }
        let judges: Vec<&BTreeSet<usize>> = told.iter().collect();
        prop_assert_eq!(most_pairs(&judges), best(&judges, &mut Vec::new()));
    }
}

#[test]
fn over_a_long_run_with_liars_no_table_grows_beyond_its_bound_and_all_empty() {
    let mut judgements = heard(&[], receivers(1)[0], down(T, T), T);
    for second in 0..600 {
        let now = T + second * 1_000;
        for n in 0..300_u64 {
            let name = Receiver::of(n as u16, &second.to_string());
            judgements.saw(now + n, name, Seen::Failed);
            judgements.hear(now, (n % 40) as usize, &[(name, (n % 15) as usize, down(now, now))]);
        }
        judgements.avoided(now, 10, &receivers(1));
        assert!(judgements.sights.len() <= MOST_SIGHTS && judgements.held.len() <= 1);
        assert!(judgements.words.len() <= 15 && judgements.words.values().all(|t| t.len() <= MOST_WORDS));
    }
    judgements.expire(T + 900_000);
    assert!(judgements.words.is_empty() && judgements.sights.is_empty());
}
