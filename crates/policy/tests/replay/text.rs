//! Text form of the policy's actions and metrics. Golden files contain hashes of this text, so its words must
//! not change when names in the policy are renamed.

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{Action, LimitScope, OutageState};

/// The bits of the NaN that x86-64 computes, for instance for 0 / 0. Its sign differs between processors: arm64 computes it
/// without the sign.
const COMPUTED_NAN: u64 = 0xfff8_0000_0000_0000;

/// Returns all bits of a number in hexadecimal, of a NaN those of [`COMPUTED_NAN`].
fn bits(number: f64) -> String {
    let bits = if number.is_nan() { COMPUTED_NAN } else { number.to_bits() };
    format!("{bits:016x}")
}

fn scope_text(scope: LimitScope) -> String {
    let LimitScope { destination, route } = scope;
    route.map_or_else(|| format!("{} all", destination.0), |route| format!("{} {}", destination.0, route.0))
}

/// Returns the text of an action.
pub fn action_text(action: &Action) -> String {
    match *action {
        Action::Send { id, route, timeout, start_within } => {
            format!("send {} {} {} {}", id.0, route.0, bits(timeout), bits(start_within))
        }
        Action::Refuse { id, retry_after } => format!("refuse {} {}", id.0, bits(retry_after)),
        Action::Fail { id } => format!("fail {}", id.0),
        Action::Wake { delay, token } => format!("wake {} {token}", bits(delay)),
        Action::Cancel { id, attempt } => format!("cancel {} {attempt}", id.0),
        Action::HealthCheck { route } => format!("probe {}", route.0),
        Action::Subscribe => "subscribe".to_owned(),
        Action::PersistOutage { scope, outage } => {
            let limit = scope_text(scope);
            match outage {
                OutageState::Healthy => format!("remember {limit} nothing"),
                OutageState::Down { retry_after_remaining } => {
                    format!("remember {limit} down {}", bits(retry_after_remaining))
                }
                OutageState::WarmingUp { since_recovery, ramp_share } => {
                    format!("remember {limit} cold {} {}", bits(since_recovery), bits(ramp_share))
                }
            }
        }
    }
}

/// Returns the text of the metrics that a host can read from a policy.
pub fn metrics_text(policy: &Policy) -> String {
    let mut text = format!(
        "figures {} {} {}\n",
        policy.state_entry_count(),
        policy.free_capacity(),
        policy.routes_out_of_rotation()
    );
    for demand in policy.demands() {
        let (limit, calls_wanted) = (bits(demand.limit), bits(demand.calls_wanted));
        let counts = format!("{} {} {}", demand.calls_made, demand.rejected, demand.failed);
        text += &format!("want {} {limit} {calls_wanted} {counts}\n", scope_text(demand.scope));
    }
    text
}
