use std::time::{Duration, SystemTime};

use super::parse_retry_after;

#[test]
fn retry_after_is_a_number_of_seconds_or_a_date() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_445_412_400);
    let seconds = |text: &str| parse_retry_after(text.as_bytes(), now).map(|delay| delay.as_secs());
    assert_eq!(seconds("7"), Some(7));
    assert_eq!(seconds(" 120 "), Some(120));
    assert_eq!(seconds("Wed, 21 Oct 2015 07:28:00 GMT"), Some(80));
    assert_eq!(seconds("Wed, 21 Oct 2015 07:00:00 GMT"), Some(0));
    assert_eq!(seconds("99999999999999999999999"), Some(u64::MAX));
    for unparsable in ["", "soon", "-3", "1.5", "7s"] {
        assert_eq!(seconds(unparsable), None, "{unparsable:?}");
    }
    assert_eq!(parse_retry_after(&[0xff], now), None);
}
