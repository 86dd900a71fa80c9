//! What the directives enable.

use tracing::Level;

use super::LogFilter;

#[test]
fn message_events_are_logged_only_on_request_and_invalid_directives_leave_the_default() {
    for (directives, message_events, valid) in
        [("", false, true), ("info,story=debug", true, true), ("story=loud", false, false)]
    {
        let filter = LogFilter::from_directives(directives);
        assert!(filter.targets.would_enable("rudderspindle_sender", &Level::INFO), "{directives}");
        assert_eq!(filter.targets.would_enable("story", &Level::DEBUG), message_events, "{directives}");
        assert_eq!(filter.error.is_none(), valid, "{directives}");
    }
}
