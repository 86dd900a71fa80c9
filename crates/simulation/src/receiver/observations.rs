//! The counts of a simulation.

use rudderspindle_policy::interface::Millis;

use super::recovery_load::{RecoveryLoad, WindowLoad};
use super::settings::{CLASSES, delivered_value, full_value};
use super::{RECOVERY_DURATION, Scenario};

/// The counts of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Peak load during the recovery: calls within the overload duration of 3 s over the receiver's capacity.
    pub peak_recovery_ratio: f64,
    /// The load during the recovery with the highest [`RecoveryLoad::ratio`].
    pub peak_load: RecoveryLoad,
    /// The load during the recovery with the highest [`RecoveryLoad::informed_ratio`].
    pub informed_peak_load: RecoveryLoad,
    /// Messages delivered during the recovery ramp.
    pub delivered_during_ramp: usize,
    /// Messages submitted.
    pub submitted: usize,
    /// Messages delivered.
    pub delivered: usize,
    /// Value of the submitted messages, by class.
    pub submitted_value: [f64; CLASSES],
    /// Value of the delivered messages at their delivery, by class.
    pub delivered_value: [f64; CLASSES],
    /// Calls rejected above the limit.
    pub rejected: usize,
    /// Bytes of gossip that was delivered.
    pub gossip_bytes: usize,
    /// When each call started, ms.
    pub call_starts: Vec<Millis>,
}

impl Observations {
    /// The maximum number of calls that started within any `span` ms.
    pub fn max_calls_within(&self, span: Millis) -> usize {
        let starts = &self.call_starts;
        let before = |n: usize| starts.partition_point(|at| *at <= starts[n] - span);
        (0..starts.len()).map(|n| n + 1 - before(n)).max().unwrap_or(0)
    }

    /// The maximum number of calls that started within any second.
    pub fn max_calls_in_second(&self) -> usize {
        self.max_calls_within(1_000.0)
    }

    /// The maximum number of calls that started between two whole seconds, as the receiver counts them.
    pub fn max_calls_in_whole_second(&self) -> usize {
        let same_second = |a: &Millis, b: &Millis| (a / 1_000.0).floor() == (b / 1_000.0).floor();
        self.call_starts.chunk_by(same_second).map(<[Millis]>::len).max().unwrap_or(0)
    }

    /// Counts a submitted message.
    pub(super) fn count_submission(&mut self, class: usize) {
        self.submitted += 1;
        self.submitted_value[class] += full_value(class);
    }

    /// Counts a message delivered at `now`.
    pub(super) fn count_delivery(
        &mut self,
        scenario: &Scenario,
        class: usize,
        now: Millis,
        submitted_at: Millis,
    ) {
        let ramp = scenario.outage_end..scenario.outage_end + RECOVERY_DURATION;
        self.delivered += 1;
        self.delivered_during_ramp += usize::from(ramp.contains(&now));
        self.delivered_value[class] += delivered_value(class, now - submitted_at);
    }

    /// Counts the load after a call during the recovery ramp.
    pub(super) fn count_recovery_load(&mut self, load: &WindowLoad) {
        self.peak_recovery_ratio = self.peak_recovery_ratio.max(load.capacity_ratio);
        let load = load.by_knowledge;
        if load.ratio() > self.peak_load.ratio() {
            self.peak_load = load;
        }
        if is_first(&self.informed_peak_load)
            || load.informed_ratio() > self.informed_peak_load.informed_ratio()
        {
            self.informed_peak_load = load;
        }
    }
}

/// Whether no load was recorded yet.
fn is_first(load: &RecoveryLoad) -> bool {
    load.overload_calls == 0.0
}
