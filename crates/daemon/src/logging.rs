//! The log: one line for each event on standard error, without time, level or colours.
//!
//! `RELAY_LOG` sets the levels by target in `tracing`'s syntax. The default is `info`; `info,story=debug` adds the events
//! of each message.

use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{Layer, fmt};

/// The variable that sets the levels.
const LOG: &str = "RELAY_LOG";

/// The levels in effect, and why the requested ones are not.
struct LogFilter {
    targets: Targets,
    /// Why the directives cannot be parsed; `targets` are the default then.
    error: Option<ParseError>,
}

impl LogFilter {
    /// The filter for these directives; the default for none.
    fn from_directives(directives: &str) -> Self {
        let default = Targets::new().with_default(LevelFilter::INFO);
        if directives.trim().is_empty() {
            return Self { targets: default, error: None };
        }
        match directives.parse() {
            Ok(targets) => Self { targets, error: None },
            Err(error) => Self { targets: default, error: Some(error) },
        }
    }
}

/// Directs the log to standard error. Lines that cannot be written are dropped.
pub(crate) fn init() {
    let directives = std::env::var(LOG).unwrap_or_default();
    let LogFilter { targets, error } = LogFilter::from_directives(&directives);
    let lines = fmt::layer().without_time().with_level(false).with_target(false).with_ansi(false);
    let lines = lines.with_writer(std::io::stderr).log_internal_errors(false).with_filter(targets);
    // Fails only if a subscriber is already set; this is the only place that sets one.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(lines));
    if let Some(error) = error {
        tracing::warn!(
            %error,
            directives,
            "{LOG} cannot be parsed and info is used: a level or target=level,... is expected"
        );
    }
}

#[cfg(test)]
mod tests;
