//! What a message contains besides its id and its deadline.
//!
//! A client chooses the id of its message, so another client may submit a different message with the same id. Two
//! submissions are of the same message only if their contents are equal too.

use std::hash::Hash;

use bytes::Bytes;
use rudderspindle_policy::interface::DestinationId;
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::event::{ContentHash, Submission};

/// The content of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct MessageContent<'a> {
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The destination of the message.
    pub destination: DestinationId,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<&'a Bytes>,
    /// The message's payload.
    pub body: &'a Bytes,
}

impl<'a> MessageContent<'a> {
    /// The content of a submission's message.
    pub fn of(submission: &'a Submission) -> Self {
        Self {
            class: submission.class,
            tenant: submission.tenant,
            destination: submission.destination,
            idempotency_key: submission.idempotency_key.as_ref(),
            body: &submission.body,
        }
    }

    /// The hash of the content.
    pub fn hash(&self) -> ContentHash {
        let mut hasher = SipHasher13::new();
        Hash::hash(self, &mut hasher);
        let hash = hasher.finish128();
        ContentHash { high: hash.h1, low: hash.h2 }
    }
}
