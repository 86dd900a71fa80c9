//! Named points at which a test can stop the program in order to kill it there; only built with the feature
//! `failpoints`.

/// Environment variable that names the point at which the program stops.
const FAILPOINT_VARIABLE: &str = "RELAY_FAILPOINT";

/// Logs `point` and blocks this thread for ever if [`FAILPOINT_VARIABLE`] names it.
pub(crate) fn reach(point: &str) {
    if std::env::var(FAILPOINT_VARIABLE).is_ok_and(|name| name == point) {
        tracing::warn!(point, "failpoint reached");
        loop {
            std::thread::park();
        }
    }
}
