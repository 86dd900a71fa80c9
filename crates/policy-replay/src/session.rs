//! What a session consists of.

/// A session: its seed, its length and its instances.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    /// Its name, which is that of its golden file.
    pub name: &'static str,
    /// Seed of the host and the receivers.
    pub seed: u64,
    /// Number of batches.
    pub batches: u32,
    /// The settings of each instance, as JSON text.
    pub settings: &'static [&'static str],
    /// Whether it has the inputs that the simulator's wire has no record for.
    pub policy_only_inputs: bool,
    /// Whether no call starts without a permit.
    pub requires_permits: bool,
    /// Whether receivers are healthy but for calls without an answer, and most messages have one destination.
    pub steady: bool,
}
