//! The median.

/// The median of these values; the upper of the two in the middle where their number is even.
///
/// # Panics
///
/// If there is no value.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
