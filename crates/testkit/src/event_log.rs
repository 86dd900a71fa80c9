//! The event log that fakes and clients write and the checker reads: JSON lines whose times are on one monotonic clock.
//!
//! The first line is the header and carries the version of the format. Every line has `t`, microseconds since the log
//! began. Stored logs are checked again by later releases: within a version of the format, fields may be added, but no
//! field changes its meaning. The names of fields and events in JSON are fixed; where the code uses other names, serde
//! attributes map them. `docs/operate/checker.md` lists the events.

mod codec;
mod event;
mod header;
mod recorder;

use serde::{Deserialize, Serialize};

pub use codec::{ReadError, read, write};
pub use event::{Event, ProcessState};
pub use header::{Class, Effect, Endpoint, KeyGroup, Rules};
pub use recorder::EventLog;

/// Version of the log's format.
pub const VERSION: u32 = 1;

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the log began, in microseconds.
    pub t: u64,
    /// The event, whose fields stand beside `t`.
    #[serde(flatten)]
    pub event: Event,
}
