//! Errors of reading a batch.

use std::io;

use thiserror::Error;

/// A violation of the simulator's protocol.
#[derive(Debug, Error, PartialEq)]
pub enum MalformedFrame {
    /// The input ended within a batch's header.
    #[error("malformed frame: input ends inside a header")]
    TruncatedHeader,
    /// The input ended before as many bytes as the header announced.
    #[error("malformed frame: input ends inside a batch")]
    TruncatedBatch,
    /// The header announced more bytes than any batch may have.
    #[error("malformed frame: a batch of {length} bytes")]
    BatchTooLong {
        /// Announced length of the body, in bytes.
        length: usize,
    },
    /// A header, batch or record ended within a field.
    #[error("malformed frame: {section} is cut short")]
    TruncatedField {
        /// What was being read.
        section: &'static str,
    },
    /// A floating-point field was infinite or not a number.
    #[error("malformed frame: {section} holds a time that is no number")]
    NonFiniteNumber {
        /// What was being read.
        section: &'static str,
    },
    /// Bytes were left over after the last field.
    #[error("malformed frame: {section} has {count} bytes too many")]
    TrailingBytes {
        /// What was being read.
        section: &'static str,
        /// Bytes left over.
        count: usize,
    },
    /// A record's code is not part of the protocol.
    #[error("malformed frame: unknown record code {0}")]
    UnknownRecordCode(u8),
    /// A list entry's condition is not part of the protocol.
    #[error("malformed frame: unknown condition {0}")]
    UnknownListing(u8),
    /// An attempt's outcome is not part of the protocol.
    #[error("malformed frame: unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A destination's number is not an integer from 0 to 65535.
    #[error("malformed frame: {0} names no destination")]
    InvalidDestination(f32),
    /// A list update's kind is not part of the protocol.
    #[error("malformed frame: unknown list kind {0}")]
    UnknownListUpdate(u8),
    /// A list update refers to a list that no earlier record defined.
    #[error("malformed frame: list {0} was never sent")]
    UndefinedList(u32),
}

/// Why the next batch could not be read.
#[derive(Debug, Error)]
pub enum ReadBatchError {
    /// The input could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input violates the protocol.
    #[error(transparent)]
    Malformed(#[from] MalformedFrame),
}
