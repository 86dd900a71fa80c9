//! Notes between senders over datagrams. What they say and mean is `rudderspindle-gossip`'s.

mod shared;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rudderspindle_gossip::{
    DemandExchange, Incarnation, Kind, LimitId, LocalDemand, MAX_MESSAGE_LEN, OutgoingDatagram, PermitLedger,
    RecoveryRamp, open,
};
use rudderspindle_journal::wall_ms;
use rudderspindle_policy::interface::*;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::config::Notes;
use crate::event::{ActivityReport, CapacityUpdate, Input, LimitDemand, LimitKey, PermitUpdate};
use crate::fleet_file::FleetFile;
use shared::{LOOK, Shared};

/// What notes say is relied on for so long, ms.
const LASTS: Millis = 1_000.0;
/// The log's target for notes that are dropped.
const LOG: &str = "notes";
/// The log's target for what senders know together.
pub(crate) const FLEET: &str = "fleet";
/// Where rights are kept each report goes in every second round: their notes have the room.
const WITH_RIGHTS: u64 = 2;

/// How often a sender tries to have the address for its notes: a process that it takes over from has it till its end.
const TRY_AGAIN: Duration = Duration::from_secs(1);

/// What the operator's file asks for, beyond sums.
#[derive(Debug, Default)]
pub(crate) struct FleetSettings {
    pub file: FleetFile,
    /// Messages a second of each tenant over all senders.
    pub quotas: Vec<f64>,
    /// This process's, where anything needs it.
    pub life: Option<Incarnation>,
}

/// One sender's place among its fellows.
#[derive(Debug)]
pub(crate) struct GossipTask {
    notes: Notes,
    fleet: DemandExchange,
    together: FleetSettings,
    permits: Option<PermitLedger>,
    shared: Option<Shared>,
    /// The gates as last told by the host, and the part of each that is believed to be open.
    gates: Vec<(LimitId, DestinationId, Option<RouteId>, f64)>,
}

impl GossipTask {
    /// A sender whose notes come and go as told, and whose partners return from an outage like that.
    pub(crate) fn new(notes: Notes, ramp: RecoveryRamp, together: FleetSettings) -> Self {
        let fleet = DemandExchange::new(notes.me, notes.peers.len(), ramp);
        Self { notes, fleet, together, permits: None, shared: None, gates: Vec::new() }
    }

    /// Tells and hears, until the host is gone.
    pub(crate) async fn run(self, host: mpsc::Sender<Input>) {
        let mut told = false;
        let socket = loop {
            match UdpSocket::bind(self.notes.listen).await {
                Ok(socket) => break socket,
                Err(_) if host.is_closed() => return,
                Err(error) if !told => {
                    tracing::warn!(
                        "notes: {}: {error}; going without them until it is free",
                        self.notes.listen
                    );
                    told = true;
                }
                Err(_) => {}
            }
            sleep(TRY_AGAIN).await;
        };
        self.converse(socket, host).await;
    }

    async fn converse(mut self, socket: UdpSocket, host: mpsc::Sender<Input>) {
        let numbers: HashMap<SocketAddr, usize> =
            self.notes.peers.iter().enumerate().map(|(number, addr)| (*addr, number)).collect();
        // Who has the address is alone with this number: an earlier process has ended.
        let (me, senders, wall) = (self.notes.me, self.notes.peers.len(), wall_ms());
        if let Some(life) = self.together.life {
            let FleetSettings { file, quotas, .. } = &self.together;
            self.permits = file.share().is_strict().then(|| PermitLedger::new(me, senders, life, wall));
            match Shared::new(file, me, senders, quotas, life, wall) {
                Ok(shared) => self.shared = shared,
                Err(error) => tracing::warn!(target: FLEET, "going without counts and judgements: {error}"),
            }
        }
        // One byte more than a note may have tells one that is too long.
        let mut buffer = [0; MAX_MESSAGE_LEN + 1];
        let (mut report_at, mut offer_at) = (self.next_report(wall), self.next_offer(wall));
        loop {
            let dealing = self.permits.as_ref().and_then(PermitLedger::next_allocation);
            let look = self.shared.as_ref().map(|_| wall_ms() / LOOK * LOOK + LOOK);
            let due = [Some(report_at), self.fleet.next_sums(), dealing, offer_at, look];
            let next = due.into_iter().flatten().min().unwrap_or(report_at);
            tokio::select! {
                heard = socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = heard else { continue };
                    let from = numbers.get(&from).copied().unwrap_or(usize::MAX);
                    if self.hear(from, &buffer[..length]) && !self.tell_turns(&host).await {
                        return;
                    }
                }
                () = sleep(Duration::from_millis(next.saturating_sub(wall_ms()))) => {
                    let mut datagrams = self.fleet.sums(wall_ms());
                    datagrams.extend(self.permits.iter_mut().flat_map(|permits| permits.allocate(wall_ms())));
                    datagrams.extend(self.shared.iter_mut().flat_map(|shared| shared.notes_due(wall_ms())));
                    if wall_ms() >= report_at {
                        let Some(report) = self.report(&host).await else { return };
                        datagrams.extend(report);
                        report_at = self.next_report(wall_ms());
                    }
                    if offer_at.is_some_and(|at| wall_ms() >= at) {
                        let Some(offer) = self.offer(&host).await else { return };
                        datagrams.extend(offer);
                        offer_at = self.next_offer(wall_ms());
                    }
                    for OutgoingDatagram { to, bytes: note } in datagrams {
                        // One that cannot go now is as good as lost on its way.
                        let _ = self.notes.peers.get(to).map(|addr| socket.try_send_to(&note, *addr));
                    }
                }
            }
        }
    }

    fn next_report(&self, wall: u64) -> u64 {
        let next = self.fleet.next_report(wall);
        let pairs = rudderspindle_gossip::ROUND * WITH_RIGHTS;
        let skipped = self.permits.is_some() && next % pairs >= rudderspindle_gossip::ROUND;
        if skipped { next + rudderspindle_gossip::ROUND } else { next }
    }

    fn next_offer(&self, wall: u64) -> Option<u64> {
        self.permits.as_ref().map(|permits| permits.next_offer(wall))
    }

    /// Takes in a datagram; whether there may be other turns now.
    fn hear(&mut self, from: usize, note: &[u8]) -> bool {
        let wall = wall_ms();
        let heard = match (open(note).map(|(kind, _)| kind), &mut self.permits, &mut self.shared) {
            (Ok(Kind::PermitOffer | Kind::PermitGrant), Some(permits), _) => {
                permits.receive(wall, from, note).map_err(|error| error.to_string())
            }
            (Ok(Kind::Report | Kind::Summary), _, Some(shared)) => {
                shared.hear(wall, from, note).map(|()| false).map_err(|error| error.to_string())
            }
            // Of another kind, or damaged: it says which, where it does not know it.
            _ => self.fleet.receive(wall, from, note).map(|()| false).map_err(|error| error.to_string()),
        };
        heard.unwrap_or_else(|error| {
            tracing::debug!(target: LOG, from, "dropped: {error}");
            false
        })
    }

    /// What the host wants and does; what others make of that goes back to it.
    async fn demands(&mut self, host: &mpsc::Sender<Input>) -> Option<(Vec<LimitDemand>, Vec<LocalDemand>)> {
        let (asker, activity) = oneshot::channel();
        host.send(Input::ReportActivity(asker)).await.ok()?;
        let activity: ActivityReport = activity.await.ok()?;
        let told = self.shared.as_mut().map(|shared| shared.exchange(wall_ms(), &activity));
        for input in told.into_iter().flatten() {
            host.send(input).await.ok()?;
        }
        let demands = activity.demands;
        let own = demands.iter().map(|LimitDemand { limit: limit_id, demand }| {
            let Demand { limit, wanted, called, refused, failed, .. } = *demand;
            LocalDemand {
                limit_id: *limit_id,
                limit,
                demand: wanted,
                calls: called,
                rejected: refused,
                failed,
            }
        });
        let own = own.collect();
        Some((demands, own))
    }

    /// What to tell of this sender; its host hears what there is for it. Nothing once that is gone.
    async fn report(&mut self, host: &mpsc::Sender<Input>) -> Option<Vec<OutgoingDatagram>> {
        let (demands, own) = self.demands(host).await?;
        let datagrams = self.fleet.report(wall_ms(), &own);
        let rooms = self.fleet.capacities(wall_ms());
        let open =
            |gate, limit| if rooms.is_some() { self.fleet.available_fraction(gate, limit) } else { 1.0 };
        let of = |LimitDemand { limit: gate, demand: want }: &LimitDemand| {
            (*gate, want.destination, want.route, open(*gate, want.limit))
        };
        self.gates = demands.iter().map(of).collect();
        let Some(rooms) = rooms else { return Some(datagrams) };
        let near: HashMap<_, _> =
            rooms.iter().map(|capacity| (capacity.limit_id, capacity.rate_per_demand)).collect();
        let share = |LimitDemand { limit: gate, demand: want }: &LimitDemand| CapacityUpdate {
            limit: LimitKey { destination: want.destination, route: want.route },
            calls: near.get(gate).copied().unwrap_or(f64::INFINITY),
            fleet_demand: self.fleet.fleet_demand(*gate),
        };
        let shares = demands.iter().map(share).collect();
        host.send(Input::CapacityShares { shares, valid_for: LASTS }).await.ok()?;
        Some(datagrams)
    }

    /// What to offer of this sender's rights; its host hears its turns first. Nothing once that is gone.
    async fn offer(&mut self, host: &mpsc::Sender<Input>) -> Option<Option<OutgoingDatagram>> {
        let (_, own) = self.demands(host).await?;
        let datagram = self.permits.as_mut().and_then(|permits| permits.offer(wall_ms(), &own));
        self.tell_turns(host).await.then_some(datagram)
    }

    /// The host hears the turns that it may use; `false` once it is gone.
    async fn tell_turns(&self, host: &mpsc::Sender<Input>) -> bool {
        let Some(permits) = &self.permits else { return true };
        let wall = wall_ms();
        let update = |&(gate, destination, route, open): &_| PermitUpdate {
            limit: LimitKey { destination, route },
            permits: permits.permits(wall, gate, open),
        };
        host.send(Input::Permits(self.gates.iter().map(update).collect())).await.is_ok()
    }
}
