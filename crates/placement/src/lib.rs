//! In which halls a tenant's data may be.
//!
//! Invariant: no sender takes on or sends for a ruled tenant outside the halls of a revision that has been in force for
//! longer than its lease, twice the clocks' error and one call.
//!
//! An operator's file says in which halls a tenant's messages may be taken on, kept and sent to: [`Rules`]. Senders tell
//! one another by notes which rules they hold, and hand them on. A revision is in force once more than half of the
//! senders hold it; a sender acts for ruled tenants only under a lease that word of more than half renews, so whoever
//! renews has heard of every revision in force, and whoever hears nothing stops. `docs/design/placement.md` has the
//! argument and what it costs.
//!
//! No I/O and no clock: [`Placement`] is given the time and the bodies of datagrams, and says which to send. Nothing here
//! knows messages, partners or the journal.
#![forbid(unsafe_code)]

mod body;
mod change;
mod halls;
mod held;
mod key;
mod lease;
mod note;
mod placement;
mod quorum;
mod record;
mod rounds;
mod rules;
mod settings;
mod spread;
mod start;
mod state;

#[cfg(test)]
mod tests;

pub use body::{AtRest, Body};
pub use change::Change;
pub use halls::{HallMask, Halls, HallsError, MOST_HALLS};
pub use held::{MOST_HELD, Tag};
pub use key::{Key, TenantId};
pub use lease::ROUND_MS;
pub use note::{LONGEST_BODY, NoteError};
pub use placement::{Closed, Open, Refused};
pub use record::{Record, RecordError};
pub use rules::{MOST_TENANTS, Rules, RulesError};
pub use settings::{MOST_SENDERS, Settings, SettingsError};
pub use start::{ReloadError, StartError};
pub use state::{Letter, Placement, Snapshot};
