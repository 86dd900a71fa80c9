//! Encoding of the messages between senders.
//!
//! Invariant: an encoded message has at most [`MAX_BODY_LEN`] bytes, and decoding allocates no memory for
//! declared lengths that exceed the received bytes.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::error::DatagramError;
use crate::packing::MAX_BODY_LEN;
use crate::window_summary::WindowSummary;

/// A message between senders; the first encoded byte is the number of the variant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipMessage {
    /// One sender's digest of a slice, sent to an aggregator.
    Digest(Digest),
    /// The summary over all senders that an aggregator sends to a publisher.
    Summary(WindowSummary),
}

impl GossipMessage {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Encoding into memory cannot fail because messages have no maps and no sequences of unknown length.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes `bytes`, which must be exactly one message.
    ///
    /// # Errors
    ///
    /// [`DatagramError::TooLong`] and [`DatagramError::Malformed`].
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        if bytes.len() > MAX_BODY_LEN {
            return Err(DatagramError::TooLong);
        }
        let (message, trailing_bytes) =
            postcard::take_from_bytes::<Self>(bytes).map_err(|_| DatagramError::Malformed)?;
        let is_consistent = match &message {
            Self::Digest(digest) => digest.is_consistent(),
            Self::Summary(summary) => summary.is_consistent(),
        };
        if trailing_bytes.is_empty() && is_consistent { Ok(message) } else { Err(DatagramError::Malformed) }
    }
}
