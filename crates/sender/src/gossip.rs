//! Gossip between the senders of a fleet over UDP; the protocols are in `rudderspindle-gossip`.

mod engine;
mod exchange;
mod receive_error;
mod shared_view;
#[cfg(test)]
mod tests;

use std::time::Duration;

use rudderspindle_gossip::{DemandExchange, Incarnation, LimitId, PermitLedger, RecoveryRamp};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::config::GossipConfig;
use crate::event::Input;
use crate::fleet_file::FleetFile;
use rudderspindle_policy::interface::LimitScope;
use shared_view::SharedView;

/// Log target of the reasons for which received datagrams were dropped.
const LOG_TARGET: &str = "notes";
/// Log target of the state that the senders of the fleet share.
pub(crate) const FLEET_LOG_TARGET: &str = "fleet";
/// Interval between attempts to bind the listening address, which an earlier process may hold until it exits.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the state that the senders share in addition to the demand exchange.
#[derive(Debug, Default)]
pub(crate) struct FleetSettings {
    /// The operator's fleet file.
    pub fleet_file: FleetFile,
    /// Quota of each tenant over all senders, in messages a second, indexed by tenant number.
    pub tenant_quotas: Vec<f64>,
    /// This process's incarnation; `None` if neither permits nor the fleet view are in use.
    pub incarnation: Option<Incarnation>,
}

/// A limit from the last activity report of the engine.
#[derive(Clone, Copy, Debug)]
struct ReportedLimit {
    id: LimitId,
    scope: LimitScope,
    /// Estimated fraction of the limit that the destination accepts at present, from 0 to 1.
    available_fraction: f64,
}

/// Exchanges gossip with the other senders of the fleet.
#[derive(Debug)]
pub(crate) struct GossipTask {
    config: GossipConfig,
    demand_exchange: DemandExchange,
    settings: FleetSettings,
    /// `None` if permits are not in use.
    permits: Option<PermitLedger>,
    /// `None` if the fleet view is not in use.
    shared_view: Option<SharedView>,
    /// The limits in the last activity report of the engine.
    limits: Vec<ReportedLimit>,
}

impl GossipTask {
    /// Creates the task for this sender and the other senders of the fleet, which `config` lists as `peers`. `ramp` is
    /// the capacity over time of a destination that recovers from an outage.
    pub(crate) fn new(config: GossipConfig, ramp: RecoveryRamp, settings: FleetSettings) -> Self {
        let demand_exchange = DemandExchange::new(config.me, config.peers.len(), ramp);
        Self { config, demand_exchange, settings, permits: None, shared_view: None, limits: Vec::new() }
    }

    /// Exchanges gossip until the engine has stopped.
    pub(crate) async fn run(self, engine: mpsc::Sender<Input>) {
        if let Some(socket) = self.bind(&engine).await {
            self.exchange(socket, engine).await;
        }
    }

    /// Binds the listening address, and retries until it is free; `None` if the engine has stopped before that.
    async fn bind(&self, engine: &mpsc::Sender<Input>) -> Option<UdpSocket> {
        let mut is_logged = false;
        loop {
            match UdpSocket::bind(self.config.listen).await {
                Ok(socket) => return Some(socket),
                Err(_) if engine.is_closed() => return None,
                Err(error) if !is_logged => {
                    let listen = self.config.listen;
                    tracing::warn!(%listen, %error, "gossip address unavailable; retrying");
                    is_logged = true;
                }
                Err(_) => {}
            }
            sleep(BIND_RETRY_INTERVAL).await;
        }
    }
}
