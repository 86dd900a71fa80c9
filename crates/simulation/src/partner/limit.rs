//! What the partner answers: its limit, and what strikes it.

use rudderspindle_policy::interface::{Millis, Outcome};

use super::draw::Draw;
use super::scene::{Limit, Outage, Scene};
use super::seen::Seen;
use super::warmth;

/// A call that is turned away, or fails at once, is known after this time.
const QUICK: Millis = 10.0;

/// What was taken of the limit: of a count in the span named first, or what is left of a rate, and when.
#[derive(Debug, Default)]
pub(super) struct Counter {
    span: (u64, f64),
}

impl Counter {
    /// After how long a call is answered, how, and with which told wait; `on` while an outage strikes its route.
    pub fn answer(
        &mut self,
        scene: &Scene,
        now: Millis,
        on: bool,
        timeout: Millis,
        draw: &mut Draw,
        seen: &mut Seen,
    ) -> (Millis, Outcome, Millis) {
        match scene.outage {
            Outage::Shut { tells } if on => {
                let wait = if draw.unit() < tells { scene.until - now } else { 0.0 };
                return (QUICK, Outcome::Rejected, wait);
            }
            Outage::Refuse if on => return (QUICK, Outcome::ConnectFailed, 0.0),
            Outage::Silent if on => return (timeout, Outcome::Timeout, 0.0),
            Outage::Errors { share } if on && draw.unit() < share => return (QUICK, Outcome::Error, 0.0),
            _ => {}
        }
        let this = (now / 1_000.0) as u64;
        let carried = match &scene.limit {
            Limit::Span { carried } => *carried,
            Limit::Rate { halved, wait, owed } => {
                // The span's second figure is what is left to take, its first one when that was reckoned.
                let rate = scene.told * if halved.contains(&now) { 0.5 } else { 1.0 } / 1_000.0;
                let left = (self.span.1 + rate * (now - self.span.0 as f64)).min(scene.told * 0.1);
                self.span = (now as u64, (left - 1.0).max(-scene.told * owed / 1_000.0));
                if left < 1.0 {
                    seen.refused += 1;
                    return (QUICK, Outcome::Rejected, *wait);
                }
                return (scene.work, Outcome::Ok, 0.0);
            }
        };
        if self.span.0 != this {
            let refused = if self.span.0 + 1 == this { (self.span.1 - scene.told).max(0.0) } else { 0.0 };
            self.span = (this, refused.min(carried * scene.told));
        }
        self.span.1 += 1.0;
        if self.span.1 > scene.told.max(1.0) {
            seen.refused += 1;
            let left = (this + 1) as f64 * 1_000.0 - now;
            return (QUICK, Outcome::Rejected, if draw.unit() < 0.3 { left } else { 0.0 });
        }
        let pace = if now >= scene.until { warmth(now - scene.until) } else { 1.0 };
        let work = (scene.work / 3.0 + draw.exponential(scene.work * 2.0 / 3.0)) / pace;
        if work > timeout { (timeout, Outcome::Timeout, 0.0) } else { (work, Outcome::Ok, 0.0) }
    }
}
