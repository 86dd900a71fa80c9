//! Replaces values that differ from run to run by named placeholders, and panics if one has an unexpected form.

/// Replaces a known value.
///
/// # Panics
///
/// If the text does not contain it.
pub fn known(text: &str, value: &str, placeholder: &str) -> String {
    assert!(text.contains(value), "{value} is not in {text}");
    text.replace(value, placeholder)
}

/// Replaces the value between `start` and `end` in the only line that starts with `start`.
///
/// # Panics
///
/// If there is not exactly one such line, or the value does not have the expected form.
pub fn value_after(
    text: &str,
    start: &str,
    end: &str,
    has_form: fn(&str) -> bool,
    placeholder: &str,
) -> String {
    let mut lines = text.split('\n').filter(|line| line.starts_with(start));
    let (Some(line), None) = (lines.next(), lines.next()) else {
        panic!("not one line begins with {start:?} in {text}");
    };
    let value = line.strip_prefix(start).and_then(|rest| rest.strip_suffix(end));
    let value = value.unwrap_or_else(|| panic!("{line:?} does not end with {end:?}"));
    assert!(has_form(value), "{value:?} is not of the form of {placeholder} in {line:?}");
    text.replacen(&format!("{start}{value}{end}"), &format!("{start}{placeholder}{end}"), 1)
}

/// Replaces a request's remaining time, which is at most 60 s.
pub fn remaining_time(request: &str) -> String {
    value_after(request, "x-remaining: ", "\\r\\n", is_remaining_time, "SECONDS")
}

/// Replaces a response's date.
pub fn date(answer: &str) -> String {
    value_after(answer, "date: ", "\\r\\n", is_date, "DATE")
}

/// Seconds with three decimals, above 0 and at most 60.
fn is_remaining_time(text: &str) -> bool {
    let Some((seconds, decimals)) = text.split_once('.') else { return false };
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    let plain = seconds == "0" || !seconds.starts_with('0');
    let in_range = text.parse().is_ok_and(|value: f64| value > 0.0 && value <= 60.0);
    digits(seconds) && digits(decimals) && decimals.len() == 3 && plain && in_range
}

/// An HTTP date, such as `Wed, 02 Dec 2026 05:11:44 GMT`.
fn is_date(text: &str) -> bool {
    const DAYS: [&str; 7] = ["Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"];
    const MONTHS: [&str; 12] =
        ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    let shape: String = text.chars().map(|c| if c.is_ascii_digit() { '0' } else { c }).collect();
    let Some((day, rest)) = shape.split_once(", 00 ") else { return false };
    let Some((month, rest)) = rest.split_once(' ') else { return false };
    DAYS.contains(&day) && MONTHS.contains(&month) && rest == "0000 00:00:00 GMT"
}

/// A port of the loopback address.
pub fn is_loopback_address(text: &str) -> bool {
    let Some(port) = text.strip_prefix("127.0.0.1:") else { return false };
    port.parse::<u16>().is_ok_and(|number| number > 0 && number.to_string() == port)
}

/// Replaces each number outside strings by its kind.
pub fn number_kinds(json: &str) -> String {
    let (mut text, mut number, mut in_string, mut escaped) = (String::new(), String::new(), false, false);
    for c in json.chars() {
        let in_number =
            !in_string && (c.is_ascii_digit() || "+-.eE".contains(c) && !number.is_empty() || c == '-');
        if in_number {
            number.push(c);
            continue;
        }
        text.push_str(&kind(&std::mem::take(&mut number)));
        if in_string {
            in_string = escaped || c != '"';
            escaped = c == '\\' && !escaped;
        } else {
            in_string = c == '"';
        }
        text.push(c);
    }
    text + &kind(&number)
}

/// The kind of a number; empty for an empty text.
fn kind(number: &str) -> String {
    let kind = match number {
        "" => "",
        _ if number.parse::<u64>().is_ok_and(|value| value.to_string() == number) => "INTEGER",
        _ if number.parse::<f64>().is_ok() => "FRACTION",
        _ => panic!("{number:?} is not a number"),
    };
    kind.to_owned()
}

#[test]
fn a_value_of_another_form_is_not_replaced() {
    assert!(["0.001", "59.990", "60.000"].iter().all(|text| is_remaining_time(text)));
    let bad = ["", "60", "60.001", "0.000", "5.12", "05.123", "-1.000", "1.0000", "1.1e1", "+1.000"];
    assert!(bad.iter().all(|text| !is_remaining_time(text)));
    assert!(is_date("Wed, 02 Dec 2026 05:11:44 GMT"));
    let bad =
        ["Wed, 2 Dec 2026 05:11:44 GMT", "Wed, 02 Dec 2026 05:11:44", "Wod, 02 Dec 2026 05:11:44 GMT", ""];
    assert!(bad.iter().all(|text| !is_date(text)));
    assert!(is_loopback_address("127.0.0.1:9000"));
    let bad = ["127.0.0.1:0", "127.0.0.1:09", "127.0.0.1:99999", "127.0.0.2:9000", "127.0.0.1:9000 "];
    assert!(bad.iter().all(|text| !is_loopback_address(text)));
}

#[test]
fn numbers_are_replaced_by_their_kinds_outside_strings_only() {
    let json = r#"{"a1":0,"b\"2":[12,-1,0.5],"c":"3","d":{},"e":true}"#;
    let kinds = r#"{"a1":INTEGER,"b\"2":[INTEGER,FRACTION,FRACTION],"c":"3","d":{},"e":true}"#;
    assert_eq!(number_kinds(json), kinds);
    assert_eq!(number_kinds("7"), "INTEGER");
}
