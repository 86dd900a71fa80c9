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

/// Log target of dropped datagrams.
const LOG_TARGET: &str = "notes";
/// Log target of the state that the fleet shares.
pub(crate) const FLEET_LOG_TARGET: &str = "fleet";
/// Interval between attempts to bind the listening address, which an earlier process may use until it exits.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of what the senders share besides capacity.
#[derive(Debug, Default)]
pub(crate) struct FleetSettings {
    /// The operator's file.
    pub fleet_file: FleetFile,
    /// Quota of each tenant over all senders, in messages a second.
    pub tenant_quotas: Vec<f64>,
    /// This process's incarnation, if permits or the fleet view need it.
    pub incarnation: Option<Incarnation>,
}

/// A limit as last reported by the engine.
#[derive(Clone, Copy, Debug)]
struct ReportedLimit {
    id: LimitId,
    scope: LimitScope,
    /// Estimated fraction of the limit that the destination accepts, from 0 to 1.
    available_fraction: f64,
}

/// Exchanges gossip with the other senders of the fleet.
#[derive(Debug)]
pub(crate) struct GossipTask {
    config: GossipConfig,
    demand_exchange: DemandExchange,
    settings: FleetSettings,
    permits: Option<PermitLedger>,
    shared_view: Option<SharedView>,
    limits: Vec<ReportedLimit>,
}

impl GossipTask {
    /// A task for the sender and its peers in `config`; destinations recover from an outage along `ramp`.
    pub(crate) fn new(config: GossipConfig, ramp: RecoveryRamp, settings: FleetSettings) -> Self {
        let demand_exchange = DemandExchange::new(config.me, config.peers.len(), ramp);
        Self { config, demand_exchange, settings, permits: None, shared_view: None, limits: Vec::new() }
    }

    /// Runs until the engine stops.
    pub(crate) async fn run(self, engine: mpsc::Sender<Input>) {
        if let Some(socket) = self.bind(&engine).await {
            self.exchange(socket, engine).await;
        }
    }

    /// Binds the listening address as soon as it is free; `None` if the engine has stopped before.
    async fn bind(&self, engine: &mpsc::Sender<Input>) -> Option<UdpSocket> {
        let mut is_reported = false;
        loop {
            match UdpSocket::bind(self.config.listen).await {
                Ok(socket) => return Some(socket),
                Err(_) if engine.is_closed() => return None,
                Err(error) if !is_reported => {
                    let listen = self.config.listen;
                    tracing::warn!(%listen, %error, "gossip address unavailable; retrying");
                    is_reported = true;
                }
                Err(_) => {}
            }
            sleep(BIND_RETRY_INTERVAL).await;
        }
    }
}
