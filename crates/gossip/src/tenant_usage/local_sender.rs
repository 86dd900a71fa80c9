//! The identity and limits of the sender in this process.

use rudderspindle_clock::UnixMillis;

use super::epochs::{EPOCH_LENGTH, epoch_start};
use super::register::{Register, RegisterKey};
use crate::membership::Incarnation;

/// The sender that runs in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LocalSender {
    /// The sender number, an index into the fleet's senders.
    pub number: usize,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The last time at which another process may have accepted messages under the same sender number. This sender's usage
    /// of the epochs that began at or before this time is partial.
    pub complete_from: UnixMillis,
    /// Maximum rate at which all processes of one sender together accept messages, in messages per second; the same for all
    /// senders.
    pub max_messages_per_second: u32,
}

impl LocalSender {
    pub(super) fn register_key(&self) -> RegisterKey {
        RegisterKey { sender: self.number, incarnation: self.incarnation }
    }

    pub(super) fn max_messages_per_epoch(&self) -> u64 {
        u64::from(self.max_messages_per_second) * EPOCH_LENGTH / 1_000
    }

    /// The register of an epoch in which this process accepted no messages.
    pub(super) fn empty_register(&self, epoch: u64) -> Register {
        let partial = epoch_start(epoch) <= self.complete_from;
        Register { partial, ..Register::default() }
    }
}
