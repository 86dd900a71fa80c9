//! Validation of settings.

use super::{Class, Effect, Settings};

impl Settings {
    /// Checks that there are classes and kinds, and that all numbers are within their ranges.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first field that is invalid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.kinds.is_empty() {
            return Err(SettingsError::NoKinds);
        }
        let all_classes = |is_valid: fn(&Class) -> bool| self.classes.iter().all(is_valid);
        for (field, is_valid) in [
            ("deadline", all_classes(|class| is_positive(class.deadline))),
            ("latency_objective", all_classes(|class| is_positive(class.latency_objective))),
            ("value", all_classes(|class| is_not_negative(class.value))),
            ("late_value", all_classes(|class| (0.0..=1.0).contains(&class.late_value))),
            ("key window", all_classes(has_valid_key_window)),
            ("max_batch", self.kinds.iter().all(|kind| kind.max_batch > 0)),
            ("quota_per_s", self.tenants.iter().all(|tenant| is_not_negative(tenant.quota_per_s))),
            ("slots", self.slots > 0),
            ("max_pending", self.max_pending > 0),
            ("max_attempts", self.max_attempts > 0),
            ("peers_total", self.peers_total > 0),
            ("recovery_start_share", self.recovery_start_share > 0.0 && self.recovery_start_share <= 1.0),
            ("recovery_duration", is_not_negative(self.recovery_duration)),
            ("overload_multiple", is_positive(self.overload_multiple)),
            ("overload_duration", is_not_negative(self.overload_duration)),
            ("ordering_key_pause", is_not_negative(self.ordering_key_pause)),
            ("tick", is_not_negative(self.tick)),
        ] {
            if !is_valid {
                return Err(SettingsError::OutOfRange(field));
            }
        }
        Ok(())
    }
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn is_not_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn has_valid_key_window(class: &Class) -> bool {
    match class.effect {
        Effect::IdempotencyKey { window, .. } => is_positive(window),
        Effect::Idempotent | Effect::NotIdempotent => true,
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// The settings contain no class of message.
    NoClasses,
    /// The settings contain no kind of destination.
    NoKinds,
    /// A number is outside its range; contains the name of the field.
    OutOfRange(&'static str),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoClasses => f.write_str("classes is empty: must have at least one class of message"),
            Self::NoKinds => f.write_str("kinds is empty: must have at least one kind of destination"),
            Self::OutOfRange(field) => write!(f, "setting {field} is out of range"),
        }
    }
}

impl std::error::Error for SettingsError {}
