//! Sessions from fixed seeds that golden-file tests play against the policy, directly or through a program.
//!
//! A [`Session`] is played by a simulated host: it submits messages, carries out what the policy under test
//! returns, and reports the outcomes when they are due. A [`Recording`] holds hashes of the replies, and
//! counts of inputs and outputs, for comparison with a golden file. The types of this crate are its own:
//! those of the policy may be renamed with no change in the golden files.
#![forbid(unsafe_code)]
#![warn(clippy::disallowed_methods)]
#![warn(missing_docs)]

mod arrivals;
mod attempt;
mod host;
mod input;
mod instance;
mod limit;
mod list;
mod output;
mod policy_only;
mod random;
mod receivers;
mod recording;
mod session;
pub mod settings;

pub use attempt::{AttemptOutcome, MessageInput, PriorExecution};
pub use host::{Adapter, Reply, play};
pub use input::{Input, InstanceInput};
pub use limit::{Limit, Outage, PermitInput};
pub use list::{ListEntry, ListUpdate};
pub use output::{InstanceOutput, Output};
pub use recording::{Recording, missing_kinds};
pub use session::Session;
