//! Replays seeded sessions against the policy, either in process or through a program, for golden-file tests.
//!
//! A simulated host plays each [`Session`]: it submits messages, executes the outputs of the policy under
//! test, and reports the outcome of each attempt when it is due. A [`Recording`] holds hashes of the replies
//! and counts of inputs and outputs, which are compared with a golden file. This crate does not use the types
//! of the policy, so that a rename in the policy does not change the golden files.
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
