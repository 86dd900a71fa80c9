//! Counts and judgements of the fleet: what the host saw and took on goes into notes, and what comes of them goes back.

use std::collections::BTreeMap;

use rudderspindle_gossip::{
    DatagramBudget, DatagramClass, FleetView, FleetViewError, Incarnation, Kind, LocalSender,
    OutgoingDatagram, Receiver,
};
use rudderspindle_policy::interface::{DestinationId, RouteId};

use super::FLEET;
use crate::event::{ActivityReport, Input, ListedReceiver, ReceiverResult, TenantQuota, TenantUsage};
use crate::fleet_file::FleetFile;

/// How often it is looked whether notes are due, ms: a few times in the part of a round in which they go.
pub(crate) const LOOK: u64 = 50;
/// Reports are answered, so each costs two.
const REPORTS: DatagramClass = DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 };

/// One sender's views, and what of them its host has been told.
#[derive(Debug)]
pub(crate) struct Shared {
    views: FleetView,
    post: DatagramBudget,
    judges: bool,
    /// Messages a second of each tenant over all senders; empty where quotas stay each sender's own.
    quotas: Vec<f64>,
    avoided: Vec<RouteId>,
}

impl Shared {
    /// What the operator's file asks for; nothing if that is nothing. `quotas` are those of the settings, `wall` is now.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] for a tier that is too large.
    pub fn new(
        file: &FleetFile,
        me: usize,
        senders: usize,
        quotas: &[f64],
        life: Incarnation,
        wall: u64,
    ) -> Result<Option<Self>, FleetViewError> {
        let share = file.share();
        if !share.judges() && !share.counts() {
            return Ok(None);
        }
        // An earlier process has taken on under this number until now.
        let local = LocalSender {
            number: me,
            incarnation: life,
            complete_from: wall,
            max_messages_per_second: share.most_per_s(),
        };
        let views = FleetView::new(local, file.halls(senders))?;
        let quotas = if share.counts() { quotas.to_vec() } else { Vec::new() };
        let post = DatagramBudget::new(&[REPORTS]);
        Ok(Some(Self { views, post, judges: share.judges(), quotas, avoided: Vec::new() }))
    }

    /// The notes that are due.
    pub fn notes_due(&mut self, wall: u64) -> Vec<OutgoingDatagram> {
        self.views.notes_due(wall, &mut self.post)
    }

    /// Takes in a datagram of another sender.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] says why it was dropped.
    pub fn hear(&mut self, wall: u64, from: usize, note: &[u8]) -> Result<(), FleetViewError> {
        self.views.hear(wall, from, note)
    }

    /// Takes in what the host did, and says what it is to be told.
    pub fn exchange(&mut self, wall: u64, activity: &ActivityReport) -> Vec<Input> {
        for &ReceiverResult { receiver, seen } in &activity.results {
            self.views.judgements().record_call(wall, receiver, seen);
        }
        for &TenantUsage { tenant, messages } in &activity.accepted {
            (0..messages).for_each(|_| self.views.counts().record_message(wall, tenant));
        }
        let mut told = Vec::new();
        if self.judges {
            let avoided = self.judged(wall, &activity.listed);
            if avoided != self.avoided {
                tracing::info!(target: FLEET, receivers = avoided.len(), "receivers that others judge to be down");
                self.avoided.clone_from(&avoided);
                told.push(Input::EjectedReceivers(avoided));
            }
        }
        if !self.quotas.is_empty() {
            let of = |(tenant, quota): (usize, &f64)| TenantQuota {
                tenant,
                messages_per_s: self.views.room(wall, u16::try_from(tenant).unwrap_or(u16::MAX), *quota),
            };
            told.push(Input::Quotas(self.quotas.iter().enumerate().map(of).collect()));
        }
        told
    }

    /// The routes to receivers that several others of this hall see fail, by partner.
    fn judged(&mut self, wall: u64, listed: &[ListedReceiver]) -> Vec<RouteId> {
        let mut partners: BTreeMap<DestinationId, Vec<(Receiver, RouteId)>> = BTreeMap::new();
        for &ListedReceiver { destination, route, receiver } in listed {
            partners.entry(destination).or_default().push((receiver, route));
        }
        let mut avoided = Vec::new();
        for receivers in partners.values() {
            let names: Vec<Receiver> = receivers.iter().map(|(name, _)| *name).collect();
            let judged = self.views.avoided(wall, &names);
            avoided
                .extend(receivers.iter().filter(|(name, _)| judged.contains(name)).map(|(_, route)| *route));
        }
        avoided.sort_unstable();
        avoided
    }
}
