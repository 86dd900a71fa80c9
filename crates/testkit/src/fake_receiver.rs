//! A fake receiver: its endpoints are in zones, accept, reject and execute calls, and can be put into outages.
//!
//! Each endpoint has one address per sender, so that the address of a call identifies the sender.

mod connections;
mod endpoint;
mod key_memory;
mod limit_state;
mod rate_limiter;
mod requests;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;

use endpoint::{ActiveOutage, Endpoint, locked};
pub use key_memory::KEY_LIFETIME;
use key_memory::KeyMemory;
use limit_state::LimitState;
pub use rate_limiter::{LimitExceeded, RateLimiter};

use crate::event_log::{Event, EventLog, Rules};
use crate::scenario::{Outage, ReceiverPlan};

/// A receiver that runs until this value is dropped.
#[derive(Debug)]
pub struct FakeReceiver {
    shared: Arc<Shared>,
    endpoints: Vec<Arc<Endpoint>>,
    /// Addresses by the names of sender and endpoint.
    addrs: HashMap<(String, String), SocketAddr>,
    /// Owns the tasks that accept connections; they are cancelled when this value is dropped.
    tasks: JoinSet<()>,
}

/// State that all tasks of a receiver share.
#[derive(Debug)]
struct Shared {
    plan: ReceiverPlan,
    rules: Rules,
    event_log: EventLog,
    /// Idempotency keys of executed calls, by zone.
    keys: Mutex<HashMap<String, KeyMemory>>,
}

fn new_limit(plan: &ReceiverPlan, endpoint_count: usize) -> Arc<Mutex<LimitState>> {
    let per_s = plan.per_s.get();
    let limiter = RateLimiter::new(plan.limit, per_s, plan.counts_rejected);
    Arc::new(Mutex::new(LimitState::new(limiter, per_s, endpoint_count)))
}

impl FakeReceiver {
    /// Starts a receiver with one address per endpoint and sender. `seed` determines the random choices.
    ///
    /// # Errors
    ///
    /// An error of the sockets.
    pub async fn start(
        plan: &ReceiverPlan,
        senders: &[String],
        rules: &Rules,
        seed: u64,
        event_log: &EventLog,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            plan: plan.clone(),
            rules: rules.clone(),
            event_log: event_log.clone(),
            keys: Mutex::default(),
        });
        let addrs = HashMap::new();
        let mut receiver = Self { shared, endpoints: Vec::new(), addrs, tasks: JoinSet::new() };
        let shared_limit = new_limit(plan, plan.endpoints.len());
        for (index, endpoint) in plan.endpoints.iter().enumerate() {
            let seed = seed ^ (u64::from(plan.number) << 32) ^ index as u64;
            let limit = if plan.independent { new_limit(plan, 1) } else { shared_limit.clone() };
            let endpoint = Arc::new(Endpoint::new(plan, endpoint, seed, limit));
            for sender in senders {
                receiver.listen(&endpoint, sender).await?;
            }
            receiver.endpoints.push(endpoint);
        }
        Ok(receiver)
    }

    /// Opens an endpoint's address for a sender.
    async fn listen(&mut self, endpoint: &Arc<Endpoint>, sender: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.addrs.insert((sender.to_owned(), endpoint.id.clone()), listener.local_addr()?);
        let (shared, endpoint) = (self.shared.clone(), endpoint.clone());
        self.tasks.spawn(connections::accept(shared, endpoint, sender.to_owned(), listener));
        Ok(())
    }

    /// The address at which a sender reaches an endpoint.
    pub fn addr(&self, sender: &str, endpoint: &str) -> Option<SocketAddr> {
        self.addrs.get(&(sender.to_owned(), endpoint.to_owned())).copied()
    }

    /// The plan that the receiver was started with.
    pub fn plan(&self) -> &ReceiverPlan {
        &self.shared.plan
    }

    /// Puts the named endpoints, or all if `endpoints` is empty, into an outage. Returns when the outage is over.
    pub async fn fail(&self, endpoints: &[String], outage: Outage, duration: Duration) {
        let begin = Instant::now();
        let active = ActiveOutage { outage, begin, end: begin + duration };
        let is_affected =
            |endpoint: &&Arc<Endpoint>| endpoints.is_empty() || endpoints.contains(&endpoint.id);
        let affected: Vec<&Arc<Endpoint>> = self.endpoints.iter().filter(is_affected).collect();
        for endpoint in &affected {
            endpoint.outage.send_replace(Some(active));
            if outage.needs_warm_up() {
                self.record_outage(endpoint, outage, true);
                locked(&endpoint.limit).begin_outage(&endpoint.id);
            }
        }
        sleep(duration).await;
        for endpoint in &affected {
            if outage.needs_warm_up() {
                locked(&endpoint.limit).end_outage(&endpoint.id, self.shared.event_log.now());
                self.record_outage(endpoint, outage, false);
            }
            endpoint.outage.send_replace(None);
        }
    }

    fn record_outage(&self, endpoint: &Endpoint, outage: Outage, on: bool) {
        let (endpoint, kind) = (endpoint.id.clone(), outage.kind().to_owned());
        self.shared.event_log.record(Event::Outage { endpoint, kind, on });
    }

    /// Whether an endpoint has collapsed under overload during a warm-up.
    pub fn has_collapsed(&self) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.has_collapsed())
    }
}
