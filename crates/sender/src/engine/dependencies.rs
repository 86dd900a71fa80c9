//! The journal, the options and the connections to other tasks that an engine is created from.

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

/// Arguments of [`Engine::new`](super::Engine::new).
pub struct EngineDependencies {
    /// The options of the policy.
    pub policy: PolicyOptions,
    /// The journal.
    pub store: Store,
    /// Maximum size of the messages that are accepted and not complete, in bytes; `None` if it is not limited. Recovered
    /// messages may exceed it.
    pub max_pending_bytes: Option<u64>,
    /// The connections to the tasks around the engine.
    pub io: EngineIo,
    /// Whether a successor can accept clients from the same listening socket.
    pub shared_listener: bool,
    /// Whether the engine collects activity for the gossip task.
    pub collect_activity: bool,
}

/// The options of a policy.
pub struct PolicyOptions {
    /// The settings of the policy and of the engine.
    pub settings: Settings,
    /// The names of classes, tenants, kinds and zones, by index.
    pub names: Names,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// How the limits are shared with other senders.
    pub limit_sharing: LimitSharing,
}

/// How the limits of receivers are shared with the other senders of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSharing {
    /// Each sender assumes that its share of each limit is equal to that of every other sender; no gossip is needed.
    Equal,
    /// The shares are computed from the demand that the senders report to each other by gossip.
    Demand,
    /// The shares are computed from the demand, and each call also needs a permit.
    Permits,
}

/// The engine's connections to the tasks around it.
pub struct EngineIo {
    /// Starts calls to receivers and health checks.
    pub outbound: Rc<Outbound>,
    /// Queue of the notifications for the platform.
    pub notifications: Rc<Notifications>,
    /// The counters of this process.
    pub metrics: Rc<Metrics>,
    /// The connection to the peer process, that is, the other process of this sender during a takeover.
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
