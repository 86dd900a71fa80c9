//! The simulator's binary protocol: batches of records in, replies with actions out.
//!
//! All integers and floating-point numbers are big-endian. This module only translates: it decodes records into the
//! policy's events and encodes the policy's actions.

mod batch;
mod error;
mod fields;
mod record;
mod reply;

pub use batch::{Batch, read_batch};
pub use error::{MalformedFrame, ReadBatchError};
pub use record::{InstanceId, ListId, Record};
pub use reply::Reply;
