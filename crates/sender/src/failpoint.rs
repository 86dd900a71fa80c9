//! Named points at which a test stops the program, to kill it there; only built with the feature `failpoints`.

/// Environment variable with the name of the point at which the program stops.
const FAILPOINT_VARIABLE: &str = "RELAY_FAILPOINT";

/// Logs and blocks this thread for good if the environment names this point.
pub(crate) fn reach(point: &str) {
    if std::env::var(FAILPOINT_VARIABLE).is_ok_and(|wanted| wanted == point) {
        tracing::warn!(point, "failpoint reached");
        loop {
            std::thread::park();
        }
    }
}
