//! Starts the fault proxies between senders and endpoints, and builds the endpoint lists with the proxies' addresses.

use std::sync::Arc;

use super::configuration::sender_name;
use crate::event_log::{Event, EventLog};
use crate::fake_discovery::Entry;
use crate::fake_receiver::FakeReceiver;
use crate::fault_proxy::{Fault, FaultProxy};
use crate::scenario::{LinkFault, Phase, Scenario, ScheduledEvent};

/// Longest delay of a link that the tolerance of the checker's rules covers, in milliseconds.
const MAX_TOLERATED_DELAY_MS: u64 = 20;

/// A proxy between a sender and an endpoint of a receiver.
#[derive(Debug)]
pub(crate) struct ProxiedLink {
    /// Index of the sender.
    pub(super) sender: usize,
    /// Number of the receiver.
    pub(super) receiver: u16,
    /// Id of the endpoint.
    endpoint: String,
    proxy: FaultProxy,
}

impl ProxiedLink {
    /// Begins or ends a fault of the link, and records the change in the event log.
    pub(super) fn set_fault(&self, fault: LinkFault, on: bool, event_log: &EventLog) {
        event_log.record(Event::LinkFault {
            sender: sender_name(self.sender),
            endpoint: self.endpoint.clone(),
            kind: fault_kind(fault).to_owned(),
            hides_responses: hides_responses(fault),
            on,
        });
        self.proxy.set(if on { fault.into() } else { Fault::default() });
        if on && fault == LinkFault::Reset {
            self.proxy.reset();
        }
    }
}

/// The kind of the fault, as the event log names it.
fn fault_kind(fault: LinkFault) -> &'static str {
    match fault {
        LinkFault::Delay { .. } => "delay",
        LinkFault::LoseResponses => "lose_back",
        LinkFault::BlackHole => "black_hole",
        LinkFault::CutAfter { .. } => "cut_after",
        LinkFault::HalfCloseAfter { .. } => "half_close_after",
        LinkFault::Trickle { .. } => "trickle",
        LinkFault::Reset => "reset",
    }
}

/// Whether the fault may lose responses, or delay them beyond the tolerance of the rules, without an error.
fn hides_responses(fault: LinkFault) -> bool {
    match fault {
        LinkFault::Delay { ms } => ms.get() > MAX_TOLERATED_DELAY_MS,
        LinkFault::LoseResponses | LinkFault::BlackHole | LinkFault::Trickle { .. } => true,
        LinkFault::CutAfter { .. } | LinkFault::HalfCloseAfter { .. } | LinkFault::Reset => false,
    }
}

/// Starts a proxy for each link that has a fault in the scenario.
///
/// # Errors
///
/// An error of the sockets.
pub(super) async fn start_proxies(
    scenario: &Scenario,
    receivers: &[Arc<FakeReceiver>],
    sender_names: &[String],
) -> std::io::Result<Vec<Arc<ProxiedLink>>> {
    let mut links: Vec<Arc<ProxiedLink>> = Vec::new();
    for event in &scenario.events {
        let &ScheduledEvent::LinkFault { sender, receiver: number, .. } = event else { continue };
        let Some(receiver) = receivers.iter().find(|receiver| receiver.plan().number == number) else {
            continue;
        };
        for endpoint in &receiver.plan().endpoints {
            let has_proxy = links.iter().any(|link| link.sender == sender && link.endpoint == endpoint.id);
            let addr = receiver.addr(&sender_names[sender], &endpoint.id);
            let Some(addr) = addr.filter(|_| !has_proxy) else { continue };
            let proxy = FaultProxy::start(addr).await?;
            let endpoint = endpoint.id.clone();
            links.push(Arc::new(ProxiedLink { sender, receiver: number, endpoint, proxy }));
        }
    }
    Ok(links)
}

/// The endpoint list of the sender with this index at the start of a test. A link with a proxy has the proxy's address.
pub(crate) fn list_entries(
    receivers: &[Arc<FakeReceiver>],
    links: &[Arc<ProxiedLink>],
    sender: usize,
) -> Vec<Entry> {
    let sender_name = sender_name(sender);
    let mut entries = Vec::new();
    for receiver in receivers {
        let plan = receiver.plan();
        for endpoint in &plan.endpoints {
            let Some(direct_addr) = receiver.addr(&sender_name, &endpoint.id) else { continue };
            let link = links.iter().find(|link| link.sender == sender && link.endpoint == endpoint.id);
            entries.push(Entry {
                id: endpoint.id.clone(),
                addr: link.map_or(direct_addr, |link| link.proxy.addr()),
                zone: endpoint.zone.clone(),
                kind: if plan.independent { "big-platform" } else { "any-size" }.to_owned(),
                receiver: plan.number,
                phase: Phase::Serving,
                per_s: plan.per_s.get(),
            });
        }
    }
    entries
}
