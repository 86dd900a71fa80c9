//! Messages about invalid settings.
use crate::settings::Settings;

#[test]
fn each_invalid_setting_is_named_with_what_would_be_right() {
    let good = Settings::default();
    assert_eq!(good.validated(), Ok(good));
    let invalid = [
        (Settings { window_ms: 10_001, ..good }, "window_ms = 10001: a multiple of 1000 from 6000 to 600000"),
        (Settings { window_ms: 0, ..good }, "window_ms = 0: a multiple of 1000"),
        (Settings { entries: 15, ..good }, "entries = 15: a number from 16 to 1024"),
        (Settings { hot_fraction: f64::NAN, ..good }, "hot_fraction = NaN: a number from 0.02 to 0.5"),
        (Settings { hot_fraction: 0.6, ..good }, "hot_fraction = 0.6:"),
        (Settings { max_per_second: 0, ..good }, "max_per_second = 0: a number from 1 to 1000000"),
    ];
    for (settings, expected) in invalid {
        let message = settings.validated().expect_err("it is invalid").to_string();
        assert!(message.starts_with(expected), "{message:?} instead of {expected:?}");
    }
}
