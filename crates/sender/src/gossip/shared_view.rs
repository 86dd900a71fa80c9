//! Records the engine's activity in the fleet view and converts the result to quotas and ejections.

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

/// Interval at which the view is polled for due datagrams, in milliseconds. A gossip round has several such intervals.
const VIEW_INTERVAL: u64 = 50;
/// Datagram class of reports. The cost is two datagrams, because each report has a response.
const REPORT_CLASS: DatagramClass = DatagramClass { kind: Kind::Report, rank: 0, min_interval: 0, cost: 2 };

/// This sender's view of the fleet, and the ejections last reported to the engine.
#[derive(Debug)]
pub(super) struct SharedView {
    view: FleetView,
    budget: DatagramBudget,
    /// Whether receivers are ejected in the whole zone.
    detects_outliers: bool,
    /// Fleet-wide quota of each tenant, in messages a second, indexed by tenant number; empty if quotas are not shared.
    quotas: Vec<f64>,
    /// The routes to ejected receivers, as last reported to the engine.
    ejected_routes: Vec<RouteId>,
}

impl SharedView {
    /// Creates the view that the operator's fleet file configures; `None` if neither outlier detection nor shared
    /// quotas are configured.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] if the fleet is too large.
    pub(super) fn new(
        fleet_file: &FleetFile,
        me: usize,
        senders: usize,
        quotas: &[f64],
        incarnation: Incarnation,
        now: UnixMillis,
    ) -> Result<Option<Self>, FleetViewError> {
        let sharing = fleet_file.sharing();
        if !sharing.detects_outliers() && !sharing.shares_quotas() {
            return Ok(None);
        }
        // The message counts are complete from now on only, because an earlier process may have accepted messages under
        // this number.
        let local = LocalSender {
            number: me,
            incarnation,
            complete_from: now,
            max_messages_per_second: sharing.max_messages_per_s(),
        };
        Ok(Some(Self {
            view: FleetView::new(local, fleet_file.zones(senders))?,
            budget: DatagramBudget::new(&[REPORT_CLASS]),
            detects_outliers: sharing.detects_outliers(),
            quotas: if sharing.shares_quotas() { quotas.to_vec() } else { Vec::new() },
            ejected_routes: Vec::new(),
        }))
    }

    /// The next time at which to poll the view for due datagrams.
    pub(super) fn next_poll(now: UnixMillis) -> UnixMillis {
        UnixMillis((now.0 / VIEW_INTERVAL + 1) * VIEW_INTERVAL)
    }

    /// The datagrams to send now, within the datagram budget.
    pub(super) fn due_datagrams(&mut self, now: UnixMillis) -> Vec<OutgoingDatagram> {
        self.view.due_datagrams(now, &mut self.budget)
    }

    /// Handles a datagram from another sender.
    ///
    /// # Errors
    ///
    /// [`FleetViewError`] if the datagram is rejected.
    pub(super) fn receive(
        &mut self,
        now: UnixMillis,
        from: usize,
        message: &[u8],
    ) -> Result<(), FleetViewError> {
        self.view.receive(now, from, message)
    }

    /// Records the engine's activity and returns the resulting inputs for the engine: changed ejections and quotas.
    pub(super) fn exchange(&mut self, now: UnixMillis, activity: &ActivityReport) -> Vec<Input> {
        self.record_activity(now, activity);
        let mut inputs = Vec::new();
        inputs.extend(self.update_ejections(now, &activity.listed_receivers));
        if !self.quotas.is_empty() {
            inputs.push(Input::Quotas(self.own_quotas(now)));
        }
        inputs
    }

    fn record_activity(&mut self, now: UnixMillis, activity: &ActivityReport) {
        for call in &activity.call_results {
            self.view.record_call(now, call.receiver, call.result);
        }
        for usage in &activity.accepted_messages {
            for _ in 0..usage.messages {
                self.view.record_message(now, usage.tenant);
            }
        }
    }

    /// The engine input with the routes to ejected receivers, if they have changed.
    fn update_ejections(&mut self, now: UnixMillis, listed_receivers: &[ListedReceiver]) -> Option<Input> {
        if !self.detects_outliers {
            return None;
        }
        let ejected_routes = self.ejected_routes(now, listed_receivers);
        if ejected_routes == self.ejected_routes {
            return None;
        }
        let receivers = ejected_routes.len();
        tracing::info!(target: FLEET_LOG_TARGET, receivers, "ejected receivers changed");
        self.ejected_routes.clone_from(&ejected_routes);
        Some(Input::EjectedReceivers(ejected_routes))
    }

    /// The routes to ejected receivers, sorted; receivers are ejected for each destination separately.
    fn ejected_routes(&mut self, now: UnixMillis, listed_receivers: &[ListedReceiver]) -> Vec<RouteId> {
        let mut by_destination: BTreeMap<DestinationId, Vec<ListedReceiver>> = BTreeMap::new();
        for receiver in listed_receivers {
            by_destination.entry(receiver.destination).or_default().push(*receiver);
        }
        let mut ejected_routes = Vec::new();
        for receivers in by_destination.values() {
            let ids: Vec<ReceiverId> = receivers.iter().map(|receiver| receiver.receiver).collect();
            let ejected = self.view.ejected(now, &ids);
            let ejected_receivers = receivers.iter().filter(|receiver| ejected.contains(&receiver.receiver));
            ejected_routes.extend(ejected_receivers.map(|receiver| receiver.route));
        }
        ejected_routes.sort_unstable();
        ejected_routes
    }

    /// This sender's part of each tenant's quota, in messages a second; `None` if no recent usage of other senders is
    /// known.
    fn own_quotas(&self, now: UnixMillis) -> Vec<TenantQuota> {
        let mut own_quotas = Vec::with_capacity(self.quotas.len());
        for (tenant, quota) in self.quotas.iter().enumerate() {
            let tenant_number = u16::try_from(tenant).unwrap_or(u16::MAX);
            own_quotas.push(TenantQuota {
                tenant,
                messages_per_s: self.view.own_quota(now, tenant_number, *quota),
            });
        }
        own_quotas
    }
}
