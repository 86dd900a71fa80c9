//! Whether settings can work. No decision.

use super::{Class, Effect, Settings};

impl Settings {
    /// Checks that the settings can work.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names what cannot.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let s = self;
        if s.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if s.kinds.is_empty() {
            return Err(SettingsError::NoKinds);
        }
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let natural = |x: f64| x.is_finite() && x >= 0.0;
        let classes = |f: &dyn Fn(&Class) -> bool| s.classes.iter().all(f);
        let windows =
            classes(&|c| !matches!(c.effect, Effect::IdempotencyKey { window, .. } if !positive(window)));
        for (name, fits) in [
            ("deadline", classes(&|c| positive(c.deadline))),
            ("aim", classes(&|c| positive(c.latency_objective))),
            ("worth", classes(&|c| natural(c.value))),
            ("late_worth", classes(&|c| (0.0..=1.0).contains(&c.late_value))),
            ("key window", windows),
            ("bundle_max", s.kinds.iter().all(|k| k.bundle_max > 0)),
            ("quota_per_s", s.tenants.iter().all(|t| natural(t.quota_per_s))),
            ("slots", s.slots > 0),
            ("most_held", s.max_pending > 0),
            ("max_attempts", s.max_attempts > 0),
            ("peers_total", s.peers_total > 0),
            ("cold_from", s.recovery_start_share > 0.0 && s.recovery_start_share <= 1.0),
            ("warm_within", natural(s.recovery_duration)),
            ("fall_multiple", positive(s.overload_multiple)),
            ("tip_after", natural(s.overload_duration)),
            ("turn_gap", natural(s.ordering_key_pause)),
            ("tick", natural(s.tick)),
        ] {
            if !fits {
                return Err(SettingsError::OutOfRange(name));
            }
        }
        Ok(())
    }
}

/// Settings that cannot work.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no class of message.
    NoClasses,
    /// There is no kind of destination.
    NoKinds,
    /// A figure that must be positive (or a fraction, or not negative) is not; its name.
    OutOfRange(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => f.write_str("settings name no class of message"),
            Self::NoKinds => f.write_str("settings name no kind of destination"),
            Self::OutOfRange(name) => write!(f, "setting {name} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}
