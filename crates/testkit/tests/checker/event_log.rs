//! Reading logs, and logs of fakes that lagged.

use rudderspindle_testkit::event_log::{Event, read, write};

use crate::log_builder::Log;

#[test]
fn a_lag_of_the_fakes_makes_a_run_inconclusive() {
    let mut log = Log::new();
    log.at(5, Event::Lagged { who: "clients".to_owned(), lag_us: 60_000 });
    assert!(log.verdict().is_inconclusive() && log.verdict().is_clean());
}

#[test]
fn an_unreadable_log_is_reported_with_its_line() {
    let mut log = Log::new();
    log.accept(0, "m", "safe");
    let mut bytes = Vec::new();
    write(&log.0, &mut bytes).expect("written");
    assert_eq!(read(&bytes[..]).expect("readable"), log.0);
    let text = String::from_utf8(bytes).expect("text");
    let torn = text.replace("\"ev\":\"heard\"", "\"ev\":\"herd\"");
    let error = read(torn.as_bytes()).expect_err("no such event").to_string();
    assert!(error.starts_with("line 3: ") && error.contains("herd"), "{error}");
    let future = text.replacen("\"v\":1", "\"v\":2", 1);
    assert!(read(future.as_bytes()).expect_err("another version").to_string().contains("version 1"));
}
