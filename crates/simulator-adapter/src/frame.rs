//! The simulator's binary protocol: batches of records in, replies with actions out.
//!
//! All integers and floating-point numbers are big-endian. Nothing here decides anything: records become the
//! policy's events, and the policy's actions become bytes.

mod batch;
mod error;
mod fields;
mod record;
mod reply;

pub use batch::{Batch, read_batch};
pub use error::{MalformedFrame, ReadBatchError};
pub use record::{InstanceId, ListId, Record};
pub use reply::Reply;
