//! Errors that occur while a batch is read.

use std::io;

use thiserror::Error;

/// A violation of the simulator's protocol in the input.
#[derive(Debug, Error, PartialEq)]
pub enum MalformedFrame {
    /// The input ended within a batch's header, which has 20 bytes.
    #[error("malformed frame: input ends inside the 20 bytes of a header")]
    TruncatedHeader,
    /// The input ended before the body had the length that its header states.
    #[error("malformed frame: input ends before the body has the length in its header")]
    TruncatedBody,
    /// The length in the header is above the maximum length of a body.
    #[error("malformed frame: body length is {length}: must be at most 1073741824 bytes")]
    BodyTooLong {
        /// Length of the body according to the header, in bytes.
        length: usize,
    },
    /// A header, body or record ended within a field.
    #[error("malformed frame: {section} ends inside a field")]
    TruncatedField {
        /// Section that was being read: `header`, `body` or `record`.
        section: &'static str,
    },
    /// A floating-point field was infinite or not a number.
    #[error("malformed frame: {section} contains an infinite or NaN value: must be finite")]
    NonFiniteNumber {
        /// Section that was being read: `header`, `body` or `record`.
        section: &'static str,
    },
    /// A section was longer than its fields.
    #[error("malformed frame: {section} has {count} bytes after its last field")]
    TrailingBytes {
        /// Section that was being read: `header`, `body` or `record`.
        section: &'static str,
        /// Number of bytes after the last field.
        count: usize,
    },
    /// A record's code is not part of the protocol.
    #[error("malformed frame: record code is {0}: must be from 16 to 26")]
    UnknownRecordCode(u8),
    /// The listing code of a list entry is not part of the protocol.
    #[error("malformed frame: listing code is {0}: must be 0, 1 or 2")]
    UnknownListing(u8),
    /// The outcome code of an attempt or health check is not part of the protocol.
    #[error("malformed frame: outcome code is {0}: must be 200, 410, 499, 500, 502, 503, 504 or 598")]
    UnknownOutcome(u16),
    /// The number of a destination is not an integer from 0 to 65535.
    #[error("malformed frame: destination is {0}: must be an integer from 0 to 65535")]
    InvalidDestination(f32),
    /// The kind of a list update is not part of the protocol.
    #[error("malformed frame: kind of list update is {0}: must be 0, 1, 2 or 4")]
    UnknownListUpdateKind(u8),
    /// A list update refers to a list that no earlier record defined.
    #[error("malformed frame: list update refers to list {0}, which no earlier record defined")]
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
