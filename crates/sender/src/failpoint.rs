//! Named points at which a test stops and kills the program; only built with the feature `failpoints`.

/// Environment variable with the name of the point at which the program stops.
const FAILPOINT_VARIABLE: &str = "RELAY_FAILPOINT";

/// Logs and blocks this thread if the environment names this point.
pub(crate) fn reach(point: &str) {
    if std::env::var(FAILPOINT_VARIABLE).is_ok_and(|name| name == point) {
        tracing::warn!(point, "failpoint reached");
        loop {
            std::thread::park();
        }
    }
}
