//! The sender's own journal in the folder that outlasts its process.
//!
//! Append-only segments, `journal-<number>`. A record is its payload's length (u32) and CRC-32 (u32), little
//! endian, then the payload: a tag and fields. What a process wrote outlasts it without a sync, so a kill
//! leaves at most one torn record at the end of the last segment.
//!
//! Room is made by writing what is still live in the oldest segment again, at the end, and deleting that
//! segment afterwards. A kill between the two leaves the same facts twice, which reading takes as once.
//! Because the oldest goes first, a message's end never disappears before its beginning.
//!
//! Two processes may use one folder while the second takes over from the first. Whoever holds the lock owns the
//! journal; the other, its successor, writes segments under far higher numbers and reads none of the older ones
//! until their owner has ended ([`Store::succeed`]). Read in the order of their numbers they tell the same to a
//! process that starts alone: a crash of either or both needs no care of its own.
//!
//! ```
//! use rudderspindle_journal::{Message, PossibleExecution, Status, Store};
//!
//! # fn main() -> std::io::Result<()> {
//! # let folder = tempfile::tempdir()?;
//! let mut journal = Store::open(folder.path(), 3_000_000)?;
//! journal.take(Message {
//!     message_id: "9b1f03aa".into(),
//!     class: "notice".into(),
//!     tenant: "acme".into(),
//!     destination: 7,
//!     key: None,
//!     deadline: rudderspindle_journal::wall_ms() + 20_000,
//!     body: "text".into(),
//!     attempts: 0,
//!     possibly_executed: None,
//!     out: None,
//! });
//! // Only now may its client hear that it is taken on.
//! journal.commit()?;
//! journal.attempt(&"9b1f03aa".into(), PossibleExecution { at: 1, receiver: "r1".into(), zone: "left".into() });
//! // Only now may its first byte go out.
//! journal.commit()?;
//! drop(journal);
//!
//! // The process was killed: what came of the attempt is not known.
//! let mut journal = Store::open(folder.path(), 3_000_000)?;
//! let message = journal.open_messages().next().expect("it is still owed its end");
//! assert_eq!(message.possibly_executed.as_ref().map(|ran| ran.at), Some(1));
//! journal.end(&"9b1f03aa".into(), Some(Status::Undeliverable));
//! journal.commit()?;
//! # Ok(())
//! # }
//! ```

mod claim;
mod memory;
mod message;
mod record;
mod replay;
mod segments;
mod store;

use std::rc::Rc;

pub use memory::{EndpointKey, OutageState};
pub use message::{Message, Notice, PossibleExecution, Status, TakenOver, wall_ms};
pub use store::Store;

/// A message's id, as its client chose it.
pub type MessageId = Rc<str>;

/// Bytes that a message's body may hold at most.
pub const MAX_BODY: usize = 64 * 1024;
