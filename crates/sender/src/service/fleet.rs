//! Starts the gossip with the other senders of the fleet if it is configured.

use std::path::Path;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{Incarnation, RecoveryRamp};
use rudderspindle_policy::interface::{Millis, Settings};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::config::{Config, GossipConfig, StartError};
use crate::engine::LimitSharing;
use crate::event::Input;
use crate::fleet_file::FleetFile;
use crate::gossip::{FLEET_LOG_TARGET, FleetSettings, GossipTask};
use crate::incarnation;

/// Time after the start of a recovery ramp at which the ramp is sampled, in milliseconds. It is one second, so that the
/// growth since the start is the growth per second.
const RAMP_SAMPLE_TIME: Millis = 1_000.0;

/// The configured gossip with other senders, before its task is spawned.
#[derive(Debug)]
pub(super) struct FleetGossip {
    config: GossipConfig,
    file: FleetFile,
    recovery_ramp: RecoveryRamp,
    /// Quota of each tenant over all senders, in messages per second, by index in the settings.
    tenant_quotas: Vec<f64>,
}

impl FleetGossip {
    /// Creates the gossip from its configuration; `None` if no gossip is configured or the fleet has too few senders
    /// for it.
    pub fn new(config: &Config, settings: &Settings, file: FleetFile) -> Option<Self> {
        let config = config.gossip().filter(|gossip| gossip.peers.len() >= file.sharing().min_senders())?;
        let initial_fraction = settings.ramp(0.0);
        let recovery_ramp = RecoveryRamp {
            initial_fraction,
            growth_per_s: settings.ramp(RAMP_SAMPLE_TIME) - initial_fraction,
        };
        let tenant_quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
        Some(Self { config, file, recovery_ramp, tenant_quotas })
    }

    /// How the senders share the limits of receivers.
    pub fn limit_sharing(&self) -> LimitSharing {
        if self.file.sharing().is_strict() { LimitSharing::Permits } else { LimitSharing::Demand }
    }

    /// Whether the senders share a view of the receivers' health or of the tenants' usage.
    pub fn has_fleet_view(&self) -> bool {
        self.file.sharing().detects_outliers() || self.file.sharing().shares_quotas()
    }

    /// Spawns the gossip task, which ends when the engine ends.
    ///
    /// # Errors
    ///
    /// [`StartError::State`] if the incarnation number cannot be stored.
    pub fn spawn(self, state: &Path, to_engine: mpsc::Sender<Input>) -> Result<(), StartError> {
        let incarnation = self.start_incarnation(state)?;
        let strict = self.limit_sharing() == LimitSharing::Permits;
        let Self { config, file, recovery_ramp, tenant_quotas } = self;
        tracing::info!(target: FLEET_LOG_TARGET, senders = config.peers.len(), strict, "limits are shared with other senders");
        let settings = FleetSettings { fleet_file: file, tenant_quotas, incarnation };
        spawn_local(GossipTask::new(config, recovery_ramp, settings).run(to_engine));
        Ok(())
    }

    /// Starts an incarnation, that is, stores a new incarnation number, if permits or the fleet view require one;
    /// otherwise returns `None`.
    fn start_incarnation(&self, state: &Path) -> Result<Option<Incarnation>, StartError> {
        if self.limit_sharing() != LimitSharing::Permits && !self.has_fleet_view() {
            return Ok(None);
        }
        let started = incarnation::start(state, UnixMillis::now());
        started.map(Some).map_err(|error| StartError::State { path: state.to_owned(), error })
    }
}
