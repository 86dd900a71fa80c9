//! The exchange of datagrams with the other senders: sending on timers, and dispatching received datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{Kind, MAX_MESSAGE_LEN, OutgoingDatagram, PermitLedger, ROUND, open};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::engine::EngineClosed;
use super::receive_error::ReceiveError;
use super::shared_view::SharedView;
use super::{FLEET_LOG_TARGET, FleetSettings, GossipTask, LOG_TARGET};
use crate::event::Input;

/// A report is sent only every second round while permits are in use, because the datagrams of permits use the same
/// bandwidth.
const ROUNDS_PER_REPORT_WITH_PERMITS: u64 = 2;

/// When the engine's demand is queried next.
#[derive(Debug)]
struct Schedule {
    /// Time of the next report.
    report_at: UnixMillis,
    /// Time of the next permit offer; `None` if permits are not in use.
    offer_at: Option<UnixMillis>,
}

/// The effect of a received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    /// The datagram may have granted permits.
    Permits,
    /// The datagram was dropped or has another effect.
    Other,
}

impl GossipTask {
    /// Sends and receives datagrams until the engine has stopped.
    pub(super) async fn exchange(mut self, socket: UdpSocket, engine: mpsc::Sender<Input>) {
        let number_by_addr = self.sender_numbers();
        let now = UnixMillis::now();
        self.begin_incarnation(now);
        let mut schedule = Schedule { report_at: self.next_report(now), offer_at: self.next_offer(now) };
        // One byte longer than the maximum, so that longer datagrams are detected.
        let mut buffer = [0; MAX_MESSAGE_LEN + 1];
        loop {
            let wake_at = self.next_wake(&schedule);
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = received else { continue };
                    let from = number_by_addr.get(&from).copied().unwrap_or(usize::MAX);
                    if self.receive(from, &buffer[..length]) == Received::Permits
                        && self.update_permits(&engine).await.is_err()
                    {
                        return;
                    }
                }
                () = sleep(Duration::from_millis(wake_at.millis_since(UnixMillis::now()))) => {
                    let Ok(datagrams) = self.due_datagrams(&mut schedule, &engine).await else { return };
                    self.send(&socket, &datagrams);
                }
            }
        }
    }

    /// The number of each sender of the fleet, by its gossip address.
    fn sender_numbers(&self) -> HashMap<SocketAddr, usize> {
        self.config.peers.iter().enumerate().map(|(number, addr)| (*addr, number)).collect()
    }

    /// Starts permits and the fleet view if they are configured. No earlier process with the same sender number is
    /// running, because this process has bound the listening address.
    fn begin_incarnation(&mut self, now: UnixMillis) {
        let (me, senders) = (self.config.me, self.config.peers.len());
        let FleetSettings { fleet_file, tenant_quotas, incarnation } = &self.settings;
        let Some(incarnation) = *incarnation else { return };
        if fleet_file.sharing().is_strict() {
            self.permits = Some(PermitLedger::new(me, senders, incarnation, now));
        }
        match SharedView::new(fleet_file, me, senders, tenant_quotas, incarnation, now) {
            Ok(shared_view) => self.shared_view = shared_view,
            Err(error) => {
                tracing::warn!(target: FLEET_LOG_TARGET, %error, "fleet view disabled");
            }
        }
    }

    /// The time at which the next timer expires.
    fn next_wake(&self, schedule: &Schedule) -> UnixMillis {
        let allocation_at = self.permits.as_ref().and_then(PermitLedger::next_allocation);
        let view_at = self.shared_view.as_ref().map(|_| SharedView::next_poll(UnixMillis::now()));
        let other_timers = [self.demand_exchange.next_sums(), allocation_at, schedule.offer_at, view_at];
        other_timers.into_iter().flatten().fold(schedule.report_at, UnixMillis::min)
    }

    fn next_report(&self, now: UnixMillis) -> UnixMillis {
        let next = self.demand_exchange.next_report(now);
        let cycle = ROUND * ROUNDS_PER_REPORT_WITH_PERMITS;
        let is_skipped = self.permits.is_some() && next.0 % cycle >= ROUND;
        if is_skipped { next + ROUND } else { next }
    }

    fn next_offer(&self, now: UnixMillis) -> Option<UnixMillis> {
        self.permits.as_ref().map(|permits| permits.next_offer(now))
    }

    /// The datagrams to send now. Queries the engine's demand if a report or a permit offer is due.
    async fn due_datagrams(
        &mut self,
        schedule: &mut Schedule,
        engine: &mpsc::Sender<Input>,
    ) -> Result<Vec<OutgoingDatagram>, EngineClosed> {
        let mut datagrams = self.demand_exchange.sums(UnixMillis::now());
        if let Some(permits) = &mut self.permits {
            datagrams.extend(permits.allocate(UnixMillis::now()));
        }
        if let Some(shared_view) = &mut self.shared_view {
            datagrams.extend(shared_view.due_datagrams(UnixMillis::now()));
        }
        if UnixMillis::now() >= schedule.report_at {
            datagrams.extend(self.report(engine).await?);
            schedule.report_at = self.next_report(UnixMillis::now());
        }
        if schedule.offer_at.is_some_and(|at| UnixMillis::now() >= at) {
            datagrams.extend(self.offer(engine).await?);
            schedule.offer_at = self.next_offer(UnixMillis::now());
        }
        Ok(datagrams)
    }

    fn send(&self, socket: &UdpSocket, datagrams: &[OutgoingDatagram]) {
        for OutgoingDatagram { to, bytes } in datagrams {
            if let Some(addr) = self.config.peers.get(*to) {
                // A datagram that cannot be sent immediately is dropped, like one lost on the network.
                let _ = socket.try_send_to(bytes, *addr);
            }
        }
    }

    /// Handles a received datagram. A malformed, late or unexpected one is logged and dropped.
    fn receive(&mut self, from: usize, message: &[u8]) -> Received {
        self.dispatch(from, message).unwrap_or_else(|error| {
            tracing::debug!(target: LOG_TARGET, from, %error, "datagram dropped");
            Received::Other
        })
    }

    /// Dispatches a datagram to the protocol of its kind.
    fn dispatch(&mut self, from: usize, message: &[u8]) -> Result<Received, ReceiveError> {
        let now = UnixMillis::now();
        let kind = open(message).map(|envelope| envelope.kind);
        match (kind, &mut self.permits, &mut self.shared_view) {
            (Ok(Kind::PermitOffer | Kind::PermitGrant), Some(permits), _) => {
                let may_be_granted = permits.receive(now, from, message)?;
                Ok(if may_be_granted { Received::Permits } else { Received::Other })
            }
            (Ok(Kind::Report | Kind::Summary), _, Some(shared_view)) => {
                shared_view.receive(now, from, message)?;
                Ok(Received::Other)
            }
            // Also handles datagrams of an unknown kind and damaged ones, for which the error names the cause.
            _ => {
                self.demand_exchange.receive(now, from, message)?;
                Ok(Received::Other)
            }
        }
    }
}
