//! The parts that an engine is created from.

use std::rc::Rc;

use rudderspindle_journal::Store;
use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{Settings, SettingsError};
use rudderspindle_policy::settings::Names;
use tokio::sync::mpsc;

use crate::event::Input;
use crate::handover::PeerProcess;
use crate::metrics::Metrics;
use crate::notifications::Notifications;
use crate::outbound::Outbound;

/// The parts that an engine is created from.
pub struct EngineDependencies {
    /// The options of the policy.
    pub policy: PolicyOptions,
    /// The journal.
    pub store: Store,
    /// The tasks that the engine works with.
    pub io: EngineIo,
    /// Whether a successor can accept clients from the same listening socket.
    pub shared_listener: bool,
    /// Whether activity is recorded for the gossip.
    pub record_activity: bool,
}

/// The options of a policy.
pub struct PolicyOptions {
    /// The settings.
    pub settings: Settings,
    /// The names of classes, tenants, kinds and zones, by index.
    pub names: Names,
    /// Seed of its random numbers.
    pub seed: u64,
    /// How the limits are shared with other senders.
    pub limit_sharing: LimitSharing,
}

/// How the limits of receivers are shared with the other senders of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSharing {
    /// Each sender assumes an equal share.
    Equal,
    /// By the demand that the senders report to each other.
    Demand,
    /// By demand, and each call needs a permit.
    Permits,
}

/// The engine's connections to the tasks around it.
pub struct EngineIo {
    /// The calls to receivers.
    pub outbound: Rc<Outbound>,
    /// The notifications to the platform.
    pub notifications: Rc<Notifications>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// The other process of this sender during a takeover.
    pub peer_process: Rc<PeerProcess>,
    /// The engine's inputs.
    pub inputs: mpsc::Receiver<Input>,
}

impl PolicyOptions {
    /// Builds the policy.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings contradict each other.
    pub(super) fn build(&self) -> Result<Policy, SettingsError> {
        let mut policy = Policy::new(self.settings.clone(), self.seed)?;
        match self.limit_sharing {
            LimitSharing::Equal => {}
            LimitSharing::Demand => policy.expect_capacity_reports(),
            LimitSharing::Permits => {
                policy.expect_capacity_reports();
                policy.require_permits();
            }
        }
        Ok(policy)
    }
}
