//! Write-ahead journal of accepted messages, in a folder that outlasts its process.
//!
//! The journal is a sequence of append-only segments, `journal-<number>`, of checksummed records. Written records survive the
//! process without a sync: a kill leaves at most one torn record, at the end of the last segment.
//!
//! Compaction frees space: the pending entries of the oldest segment are written again at the end, and the segment is deleted
//! afterwards. A kill between the two leaves duplicate records, which replay merges. As the oldest segment is deleted first,
//! the completion of a message is never deleted before its acceptance.
//!
//! Two processes may use one folder while the second takes over from the first. The holder of the lock owns the journal; its
//! successor writes segments with far higher numbers, and reads no older ones until the owner has exited
//! ([`Store::take_over`]). Replaying all segments in the order of their numbers restores the same state, so a crash of either
//! process, or of both, needs no special handling.
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
//! // The client may be answered from now on.
//! journal.commit()?;
//! let at = UnixMillis::now();
//! journal.start_attempt(&"9b1f03aa".into(), PossibleExecution { at, receiver: "r1".into(), zone: "left".into() });
//! // The first byte of the attempt may be sent from now on.
//! journal.commit()?;
//! drop(journal);
//!
//! // The process was killed: the outcome of the attempt is unknown.
//! let mut journal = Store::open(folder.path(), 3_000_000)?;
//! let message = journal.pending_messages().next().expect("it is not complete");
//! assert_eq!(message.possibly_executed.as_ref().map(|execution| execution.at), Some(at));
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
