//! Encodes each figure of a load in one byte. Integers up to 16 are encoded exactly; above that, each code stands for a
//! figure that is larger by a twenty-fourth than that of the previous code.

use crate::load_totals::Load;

/// Largest figure that is encoded exactly; above it, each code stands for the previous code's figure times [`STEP`].
const MAX_EXACT: f64 = 16.0;
/// Factor between the figures of two consecutive codes above [`MAX_EXACT`].
const STEP: f64 = 25.0 / 24.0;

/// The code nearest to a figure. Negative figures and NaN are encoded as 0, and figures that are too large as the highest
/// code.
pub(super) fn encode_figure(figure: f64) -> u8 {
    let steps = if figure <= MAX_EXACT { figure } else { MAX_EXACT + (figure / MAX_EXACT).ln() / STEP.ln() };
    steps.round() as u8
}

/// The figure that a code stands for.
pub(super) fn decode_figure(code: u8) -> f64 {
    let code = f64::from(code);
    if code <= MAX_EXACT { code } else { MAX_EXACT * STEP.powf(code - MAX_EXACT) }
}

/// Whether all figures of a load are encoded as 0, so that its limit need not be reported.
pub(crate) fn is_zero_when_encoded(load: &Load) -> bool {
    [load.demand, load.calls, load.rejected, load.failed].iter().all(|&figure| encode_figure(figure) == 0)
}
