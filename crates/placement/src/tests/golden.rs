//! Encoded bytes against the files in `tests/golden`, which are never regenerated.
use std::collections::{BTreeMap, BTreeSet};

use crate::halls::{HallMask, Halls};
use crate::held::{Entry, Held, Tag};
use crate::key::Key;
use crate::note::{Ask, Note, Part, Statement, Word};
use crate::quorum::{Count, Stand};
use crate::record::Record;
use crate::rules::Rules;

/// The bytes of a golden file: hexadecimal digits, lines that begin with `#` and white space are skipped.
fn bytes_of(file: &str) -> Vec<u8> {
    let digits: String =
        file.lines().filter(|line| !line.starts_with('#')).flat_map(str::split_whitespace).collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn key() -> Key {
    Key::new(*b"golden-fleet-key")
}

fn tags() -> [Tag; 4] {
    [
        Tag { revision: 6, hash: 0x0102_0304_0506_0708 },
        Tag { revision: 7, hash: 0xfedc_ba98_7654_3210 },
        Tag { revision: 300, hash: 5 },
        Tag::default(),
    ]
}

fn assert_golden(note: &Note<'_>, file: &str) {
    let golden = bytes_of(file);
    assert_eq!(hex(&note.encode()), hex(&golden));
    assert_eq!(Note::decode(&golden).as_ref(), Ok(note));
}

#[test]
fn a_statement_has_its_golden_bytes() {
    let statement = Statement {
        round: 3_400_000_123,
        at: 1_700_000_061_500,
        incarnation: 42,
        senders: 300,
        full: true,
        tags: tags(),
        stated: 0b101,
    };
    assert_golden(&Note::Statement(statement), include_str!("../../tests/golden/statement.hex"));
}

#[test]
fn a_word_has_its_golden_bytes_and_is_read_as_the_count_it_was_made_of() {
    let stands = vec![
        Stand::Unheard,
        Stand::Blank,
        Stand::Full(0b0011_0111),
        Stand::Full(0b0001_0011),
        Stand::Full(0b0011_0111),
        Stand::Full(0),
        Stand::Unheard,
        Stand::Full(0b0001_0011),
        Stand::Full(0b0011_0111),
    ];
    let count = Count { round: 3_400_000_123, tags: tags(), stands };
    let golden = bytes_of(include_str!("../../tests/golden/word.hex"));
    assert_eq!(hex(&count.encode()), hex(&golden));
    let Ok(Note::Word(word)) = Note::decode(&golden) else { panic!("not a word") };
    assert_eq!(Count::read(&word, 9), Ok(count));
    let expected = Word {
        round: 3_400_000_123,
        senders: 9,
        tags: tags(),
        stands: [0b0011_0111, 0b0001_0011, 0, 0, 0, 0],
        codes: word.codes,
    };
    assert_eq!(word, expected);
}

#[test]
fn an_ask_has_its_golden_bytes() {
    let ask = Ask { tag: tags()[1], parts: 0x8000_0305 };
    assert_golden(&Note::Ask(ask), include_str!("../../tests/golden/ask.hex"));
}

#[test]
fn a_part_has_its_golden_bytes() {
    let bytes: Vec<u8> = (0..=199).collect();
    let part = Part { tag: tags()[2], index: 2, of: 17, bytes: &bytes };
    assert_golden(&Note::Part(part), include_str!("../../tests/golden/part.hex"));
}

fn rules() -> Rules {
    let halls = Halls::new(&["hall-a", "hall-b", "hall-c"]).unwrap();
    let tenants = BTreeSet::from(["narmada-sports", "tapi-news"]);
    let rules: [(&str, &[&str]); 2] = [("tapi-news", &["hall-c", "hall-a"]), ("narmada-sports", &["hall-b"])];
    Rules::check(7, &rules, &halls, &tenants, &key()).unwrap()
}

#[test]
fn a_rule_set_has_its_golden_bytes_and_tag() {
    let golden = bytes_of(include_str!("../../tests/golden/rules.hex"));
    assert_eq!(hex(&rules().encode()), hex(&golden));
    assert_eq!(postcard::from_bytes(&golden), Ok(rules()));
    assert_eq!(rules().halls_of(key().tenant("tapi-news")), Some(HallMask(0b101)));
    assert_eq!(rules().tag(&key()), Tag { revision: 7, hash: TAG_HASH });
}

#[test]
fn a_record_has_its_golden_bytes() {
    let entry = Entry { rules: rules(), announced: Some(1_700_000_000_250) };
    let stated = Entry { rules: rules(), announced: None };
    let sets = BTreeMap::from([(Tag { revision: 6, hash: 77 }, stated), (rules().tag(&key()), entry)]);
    let outside_since = BTreeMap::from([(key().tenant("tapi-news"), 1_700_000_000_125)]);
    let record = Record { held: Held { sets, in_force: 6 }, full: true, outside_since };
    let golden = bytes_of(include_str!("../../tests/golden/record.hex"));
    assert_eq!(hex(&record.encode(&key())), hex(&golden));
    assert_eq!(Record::restore(&golden, &key()), Ok(record));
}

#[test]
fn hashes_and_draws_under_a_key_stay_as_they_are() {
    let draws: Vec<usize> = (0..8).map(|round| key().draw(round, round % 3, 300)).collect();
    assert_eq!(draws, DRAWS);
    assert_eq!(key().tenant("tapi-news").0, TENANT_HASH);
}

const TAG_HASH: u64 = 7_412_463_606_687_401_755;
const TENANT_HASH: u64 = 14_932_208_786_738_620_332;
const DRAWS: [usize; 8] = [169, 219, 297, 233, 127, 103, 34, 45];
