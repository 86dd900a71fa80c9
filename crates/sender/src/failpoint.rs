//! Named points at which a test stops the program, to kill it just there. None of this is built without the feature
//! `failpoints`, which only tests ask for.

/// Names the point at which the program stops.
const VARIABLE: &str = "RELAY_FAILPOINT";

/// Stops for good at the point that the variable names, and says so in the log.
pub(crate) fn reach(point: &str) {
    if std::env::var(VARIABLE).is_ok_and(|wanted| wanted == point) {
        tracing::warn!("failpoint reached: {point}");
        loop {
            std::thread::park();
        }
    }
}
