//! Parameters of a session.

/// Parameters of a session; the same parameters give the same session.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    /// Name of the session and of its golden file, without the extension.
    pub name: &'static str,
    /// Seed of the random numbers of the host and the receivers.
    pub seed: u64,
    /// Number of batches of inputs.
    pub batches: u32,
    /// Settings of each policy instance, as JSON text.
    pub settings: &'static [&'static str],
    /// Whether the session has inputs for which the simulator's wire protocol has no record.
    pub policy_only_inputs: bool,
    /// Whether no call starts without a permit.
    pub requires_permits: bool,
    /// Whether receivers answer all but a few calls, which hang, and about half of the messages have the same
    /// destination.
    pub steady: bool,
}
