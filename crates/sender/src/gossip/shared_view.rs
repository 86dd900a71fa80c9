//! Feeds the engine's activity into the fleet view and turns the result into quotas and ejections.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;
use rudderspindle_gossip::{
    DatagramBudget, DatagramClass, FleetView, FleetViewError, Incarnation, Kind, LocalSender,
    OutgoingDatagram, ReceiverId,
};
use rudderspindle_policy::interface::{DestinationId, RouteId};

use super::FLEET_LOG_TARGET;
use crate::event::{ActivityReport, Input, ListedReceiver, TenantQuota};
use crate::fleet_file::FleetFile;

/// Interval at which the view is polled for due datagrams, in milliseconds: several times within a round.
const VIEW_INTERVAL: u64 = 50;
/// Datagram class of reports; each is answered, so it costs two datagrams.
const REPORT_CLASS: DatagramClass = DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 };

/// One sender's view of the fleet, and the ejections last reported to the engine.
#[derive(Debug)]
pub(super) struct SharedView {
    view: FleetView,
    budget: DatagramBudget,
    detects_outliers: bool,
    /// Fleet-wide quota of each tenant, in messages a second; empty if quotas are not shared.
    quotas: Vec<f64>,
    /// The ejected routes last reported to the engine.
    ejected: Vec<RouteId>,
}

impl SharedView {
    /// A view as configured in the operator's file; `None` if none is.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] if the fleet is too large.
    pub(super) fn new(
        file: &FleetFile,
        me: usize,
        senders: usize,
        quotas: &[f64],
        incarnation: Incarnation,
        now: UnixMillis,
    ) -> Result<Option<Self>, FleetViewError> {
        let sharing = file.share();
        if !sharing.detects_outliers() && !sharing.shares_quotas() {
            return Ok(None);
        }
        // An earlier process may have accepted messages under this number until now.
        let local = LocalSender {
            number: me,
            incarnation,
            complete_from: now,
            max_messages_per_second: sharing.max_messages_per_s(),
        };
        Ok(Some(Self {
            view: FleetView::new(local, file.zones(senders))?,
            budget: DatagramBudget::new(&[REPORT_CLASS]),
            detects_outliers: sharing.detects_outliers(),
            quotas: if sharing.shares_quotas() { quotas.to_vec() } else { Vec::new() },
            ejected: Vec::new(),
        }))
    }

    /// When to check next whether datagrams are due.
    pub(super) fn next_poll(now: UnixMillis) -> UnixMillis {
        UnixMillis((now.0 / VIEW_INTERVAL + 1) * VIEW_INTERVAL)
    }

    /// The datagrams that are due.
    pub(super) fn due_datagrams(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        self.view.due_datagrams(now, &mut self.budget)
    }

    /// Handles a datagram of another sender.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] is why it was dropped.
    pub(super) fn receive(
        &mut self,
        now: UnixMillis,
        from: usize,
        message: &[u8],
    ) -> Result<(), FleetViewError> {
        self.view.receive(now, from, message)
    }

    /// Records the engine's activity and returns the resulting inputs for the engine.
    pub(super) fn exchange(&mut self, now: UnixMillis, activity: &ActivityReport) -> Vec<Input> {
        self.record(now, activity);
        let mut inputs = Vec::new();
        inputs.extend(self.update_ejections(now, &activity.listed_receivers));
        if !self.quotas.is_empty() {
            inputs.push(Input::Quotas(self.quota_shares(now)));
        }
        inputs
    }

    fn record(&mut self, now: UnixMillis, activity: &ActivityReport) {
        for result in &activity.call_results {
            self.view.record_call(now, result.receiver, result.result);
        }
        for usage in &activity.accepted_messages {
            for _ in 0..usage.messages {
                self.view.record_message(now, usage.tenant);
            }
        }
    }

    /// The ejected routes, if they have changed.
    fn update_ejections(&mut self, now: UnixMillis, listed: &[ListedReceiver]) -> Option<Input> {
        if !self.detects_outliers {
            return None;
        }
        let ejected = self.ejected_routes(now, listed);
        if ejected == self.ejected {
            return None;
        }
        let receivers = ejected.len();
        tracing::info!(target: FLEET_LOG_TARGET, receivers, "ejected receivers changed");
        self.ejected.clone_from(&ejected);
        Some(Input::EjectedReceivers(ejected))
    }

    /// The routes to ejected receivers, sorted; receivers are ejected for each destination separately.
    fn ejected_routes(&mut self, now: UnixMillis, listed: &[ListedReceiver]) -> Vec<RouteId> {
        let mut by_destination: BTreeMap<DestinationId, Vec<ListedReceiver>> = BTreeMap::new();
        for listed in listed {
            by_destination.entry(listed.destination).or_default().push(*listed);
        }
        let mut ejected_routes = Vec::new();
        for receivers in by_destination.values() {
            let names: Vec<ReceiverId> = receivers.iter().map(|listed| listed.receiver).collect();
            let ejected = self.view.ejected(now, &names);
            let of_ejected = receivers.iter().filter(|listed| ejected.contains(&listed.receiver));
            ejected_routes.extend(of_ejected.map(|listed| listed.route));
        }
        ejected_routes.sort_unstable();
        ejected_routes
    }

    /// This sender's share of each tenant's quota, in messages a second; `None` without recent usage of other senders.
    fn quota_shares(&self, now: UnixMillis) -> Vec<TenantQuota> {
        let mut shares = Vec::with_capacity(self.quotas.len());
        for (tenant, quota) in self.quotas.iter().enumerate() {
            let number = u16::try_from(tenant).unwrap_or(u16::MAX);
            shares.push(TenantQuota { tenant, messages_per_s: self.view.own_quota(now, number, *quota) });
        }
        shares
    }
}
