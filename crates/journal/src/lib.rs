//! Write-ahead journal of accepted messages, stored in a folder from which a restarted sender recovers them.
//!
//! The journal is a sequence of append-only segment files, `journal-<number>`, of checksummed records. Written records survive
//! a kill of the process without a sync: a kill leaves at most one torn record, at the end of the last segment.
//!
//! Compaction frees disk space: the pending entries of the oldest segment are appended to the current segment, and then the
//! oldest segment is deleted. A kill between the two steps leaves duplicate records, which replay merges. Because the oldest
//! segment is deleted first, the completion of a message is never deleted before its acceptance.
//!
//! Two processes may use one folder while the second takes over from the first. The process that holds the lock owns the
//! journal. Its successor writes segments with far higher numbers, and reads the owner's segments only after the owner has
//! exited ([`Store::take_over`]). Replaying all segments in the order of their numbers restores the same state, so a crash of
//! either process, or of both, needs no special handling.
//!
//! ```
//! use rudderspindle_clock::UnixMillis;
//! use rudderspindle_journal::{Message, PossibleExecution, Status, Store};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # let folder = tempfile::tempdir()?;
//! let mut journal = Store::open(folder.path(), 3_000_000)?;
//! journal.accept(Message {
//!     message_id: "9b1f03aa".into(),
//!     class: "notice".into(),
//!     tenant: "acme".into(),
//!     destination: 7,
//!     idempotency_key: None,
//!     deadline: UnixMillis::now() + 20_000,
//!     body: "text".into(),
//!     attempts: 0,
//!     possibly_executed: None,
//!     in_flight: None,
//! });
//! // The acceptance is written: the response may be sent to the client.
//! journal.commit()?;
//! let sent_at = UnixMillis::now();
//! journal.start_attempt(&"9b1f03aa".into(), PossibleExecution { sent_at, receiver: "r1".into(), zone: "left".into() });
//! // The start of the attempt is written: its first byte may be sent.
//! journal.commit()?;
//! drop(journal);
//!
//! // The process was killed: the outcome of the attempt is unknown.
//! let mut journal = Store::open(folder.path(), 3_000_000)?;
//! let message = journal.pending_messages().next().expect("a pending message");
//! assert_eq!(message.possibly_executed.as_ref().map(|execution| execution.sent_at), Some(sent_at));
//! journal.complete(&"9b1f03aa".into(), Some(Status::Undeliverable));
//! journal.commit()?;
//! # Ok(())
//! # }
//! ```

mod entries;
mod error;
mod folder_lock;
mod message;
mod message_id;
mod outage_records;
mod record;
mod replay;
mod segments;
mod store;

pub use error::JournalError;
pub use message::{Message, PendingNotification, PossibleExecution, Status, TakenOver};
pub use message_id::MessageId;
pub use outage_records::{EndpointKey, OutageState};
pub use store::Store;

/// Maximum length of a message's body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
