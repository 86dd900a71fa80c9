//! Error messages of invalid settings.
use crate::settings::Settings;

#[test]
fn an_invalid_setting_is_reported_with_its_valid_range() {
    let valid = Settings::default();
    assert_eq!(valid.validated(), Ok(valid));
    let invalid = [
        (
            Settings { window_ms: 10_001, ..valid },
            "window_ms = 10001: must be a multiple of 1000 between 6000 and 600000",
        ),
        (Settings { window_ms: 0, ..valid }, "window_ms = 0: must be a multiple of 1000"),
        (Settings { entries: 15, ..valid }, "entries = 15: must be between 16 and 1024"),
        (Settings { hot_fraction: f64::NAN, ..valid }, "hot_fraction = NaN: must be between 0.02 and 0.5"),
        (Settings { hot_fraction: 0.6, ..valid }, "hot_fraction = 0.6:"),
        (Settings { max_per_second: 0, ..valid }, "max_per_second = 0: must be between 1 and 1000000"),
    ];
    for (settings, expected) in invalid {
        let message = settings.validated().expect_err("the settings are invalid").to_string();
        assert!(message.starts_with(expected), "got {message:?}, expected prefix {expected:?}");
    }
}
