//! The identity and limits of the sender in this process.

use rudderspindle_clock::UnixMillis;

use super::epochs::{EPOCH, epoch_start};
use super::register::{Register, RegisterKey};
use crate::membership::Incarnation;

/// The sender that runs in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LocalSender {
    /// Its number, an index into the fleet's senders.
    pub number: usize,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Until when another process may accept messages under its number: epochs that began by then are partial.
    pub complete_from: UnixMillis,
    /// Maximum rate of accepted messages of a sender with all its processes, in messages a second; the same for all senders.
    pub max_messages_per_second: u32,
}

impl LocalSender {
    pub(super) fn register_key(&self) -> RegisterKey {
        RegisterKey { sender: self.number, incarnation: self.incarnation }
    }

    pub(super) fn max_messages_per_epoch(&self) -> u64 {
        u64::from(self.max_messages_per_second) * EPOCH / 1_000
    }

    /// The register of an epoch in which nothing was accepted.
    pub(super) fn empty_register(&self, epoch: u64) -> Register {
        let partial = epoch_start(epoch) <= self.complete_from;
        Register { partial, ..Register::default() }
    }
}
