//! A minimal sender that keeps the rules, apart from its fault.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rudderspindle_testkit::fake_discovery::FakeDiscovery;
use rudderspindle_testkit::fake_receiver::FakeReceiver;
use rudderspindle_testkit::scenario::EndpointPlan;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

use crate::backoffs::Backoffs;
use crate::call::{self, CallResult};

/// What is wrong with a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    ForgetsMessages,
    CompletesLate,
    SendsConcurrentAttempts,
    RepeatsPossibleExecutions,
    CrossesZones,
    RejectsPossibleExecutions,
    IgnoresDrains,
    ReactsToDrainsLate,
    FloodsRecoveringReceivers,
    IgnoresRecovery,
    ReordersWithinKey,
    SkipsOrderingPause,
    IgnoresRetryAfter,
    ScopesRetryAfterToEndpoint,
}

#[derive(Debug)]
struct Route {
    id: String,
    addr: SocketAddr,
    zone: String,
    /// When the sender stops using it.
    drained_at: Option<Instant>,
}

/// An endpoint that is called next.
struct ChosenEndpoint {
    addr: SocketAddr,
    id: String,
    zone: String,
}

#[derive(Debug, Default)]
struct State {
    routes: Vec<Route>,
    /// The Retry-Afters by endpoint; the receiver's own under the empty name.
    backoffs: Backoffs,
    /// End of the time in which the receiver may be down or warming up, which limits the rate of calls.
    recovering_until: Option<Instant>,
    next_call: Option<Instant>,
    ever_failed: bool,
}

/// A minimal sender with one fault, or none.
#[derive(Debug)]
pub struct FaultySender {
    fault: Fault,
    platform: SocketAddr,
    state: Mutex<State>,
    /// Held while a message of the ordering key is delivered.
    key: tokio::sync::Mutex<()>,
}

impl FaultySender {
    pub fn start(fault: Fault, discovery: &FakeDiscovery, receiver: &FakeReceiver) -> Arc<Self> {
        let route = |e: &EndpointPlan| {
            let addr = receiver.addr("n0", &e.id).expect("an address");
            Route { id: e.id.clone(), addr, zone: e.zone.clone(), drained_at: None }
        };
        let routes = receiver.plan().endpoints.iter().map(route).collect();
        let state = Mutex::new(State { routes, ..State::default() });
        let this =
            Arc::new(Self { fault, platform: discovery.addr(), state, key: tokio::sync::Mutex::default() });
        tokio::spawn(this.clone().watch());
        this
    }

    async fn watch(self: Arc<Self>) {
        let mut stream = TcpStream::connect(self.platform).await.expect("the platform");
        let request = b"GET /api/targets?watch=1&from=1 HTTP/1.1\r\nHost: a\r\n\r\n";
        stream.write_all(request).await.expect("writable");
        let mut lines = BufReader::new(stream).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Ok(list) = serde_json::from_str::<serde_json::Value>(&line) else { continue };
            for member in list["members"].as_array().into_iter().flatten() {
                if member["phase"] == "SERVING" {
                    continue;
                }
                let late = match self.fault {
                    Fault::IgnoresDrains => continue,
                    Fault::ReactsToDrainsLate => Duration::from_millis(900),
                    _ => Duration::ZERO,
                };
                let mut state = self.state.lock().expect("a state");
                let route = state.routes.iter_mut().find(|r| r.id == member["id"]);
                route.expect("a route").drained_at.get_or_insert(Instant::now() + late);
            }
        }
    }

    /// Delivers a message, or notifies the platform when its time is up.
    pub async fn deliver(self: Arc<Self>, message_id: String, class: String, left: Duration) {
        let deadline = Instant::now() + left;
        let ordered = class == "ordered" && self.fault != Fault::ReordersWithinKey;
        let _permit = if ordered { Some(self.key.lock().await) } else { None };
        let attempt_timeout = if class == "ordered" { Duration::from_millis(200) } else { left };
        // The zone of its first possible execution.
        let mut executed_in: Option<String> = None;
        let mut timed_out = false;
        let mut attempts = 0;
        loop {
            let may_continue = self.may_continue(&class, executed_in.is_some(), attempts);
            if Instant::now() >= deadline || !may_continue {
                break;
            }
            let Some(ChosenEndpoint { addr, id, zone }) = self.choose(executed_in.as_deref(), &class) else {
                sleep_until((Instant::now() + Duration::from_millis(20)).min(deadline)).await;
                continue;
            };
            attempts += 1;
            let until = deadline.min(Instant::now() + attempt_timeout);
            let result = self.attempt(addr, &message_id, until).await;
            match result {
                CallResult::Delivered => {
                    self.state.lock().expect("a state").ever_failed = false;
                    return;
                }
                CallResult::Rejected(wait) => {
                    self.back_off(&id, wait);
                    if self.fault == Fault::ScopesRetryAfterToEndpoint {
                        // Beyond the grace period of the rule.
                        sleep(Duration::from_millis(150)).await;
                    }
                }
                CallResult::Failed | CallResult::TimedOut => {
                    timed_out |= matches!(result, CallResult::TimedOut);
                    executed_in.get_or_insert(zone);
                    self.record_failure();
                }
            }
            if self.fault == Fault::ForgetsMessages {
                return;
            }
        }
        sleep_until(if class == "safe" { deadline } else { Instant::now() }).await;
        if self.fault == Fault::CompletesLate {
            sleep(Duration::from_millis(400)).await;
        }
        let is_rejected = executed_in.is_none() || self.fault == Fault::RejectsPossibleExecutions;
        self.notify(&message_id, if is_rejected { "deferred" } else { "undeliverable" }).await;
        // An attempt that timed out may still be executing: the key is paused.
        if timed_out && self.fault != Fault::SkipsOrderingPause {
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// Whether a message may be sent again after these attempts.
    fn may_continue(&self, class: &str, possibly_executed: bool, attempts: u32) -> bool {
        match class {
            "unsafe" => {
                !possibly_executed || (self.fault == Fault::RepeatsPossibleExecutions && attempts < 3)
            }
            "ordered" => attempts == 0,
            _ => true,
        }
    }

    /// Limits the rate of calls for a time.
    fn record_failure(&self) {
        let mut state = self.state.lock().expect("a state");
        state.ever_failed = true;
        state.recovering_until = Some(Instant::now() + Duration::from_millis(4_000));
    }

    /// One attempt, or two concurrent ones if that is the fault.
    async fn attempt(&self, addr: SocketAddr, message_id: &str, until: Instant) -> CallResult {
        let first = call::call(addr, message_id, until);
        if self.fault != Fault::SendsConcurrentAttempts {
            return first.await;
        }
        let second = async {
            sleep(Duration::from_millis(200)).await;
            call::call(addr, message_id, until).await
        };
        tokio::select! {
            result = first => result,
            result = second => result,
        }
    }

    fn back_off(&self, endpoint: &str, wait_ms: u64) {
        let mut state = self.state.lock().expect("a state");
        state.ever_failed |= wait_ms == 0;
        let scope = if self.fault == Fault::ScopesRetryAfterToEndpoint { endpoint } else { "" };
        if self.fault != Fault::IgnoresRetryAfter {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            state.backoffs.record(scope, until);
        }
    }

    /// Chooses an endpoint that may be called now.
    fn choose(&self, executed_in: Option<&str>, class: &str) -> Option<ChosenEndpoint> {
        let mut state = self.state.lock().expect("a state");
        let now = Instant::now();
        if state.backoffs.is_active("", now) {
            return None;
        }
        let is_careless = match self.fault {
            Fault::FloodsRecoveringReceivers => !state.ever_failed,
            Fault::IgnoresRecovery => true,
            _ => false,
        };
        if !is_careless && (state.recovering_until.is_some_and(|until| until > now)) {
            if state.next_call.is_some_and(|at| at > now) {
                return None;
            }
            state.next_call = Some(now + Duration::from_millis(350));
        }
        let open = state
            .routes
            .iter()
            .filter(|r| r.drained_at.is_none_or(|at| at > now) && !state.backoffs.is_active(&r.id, now));
        let zone = executed_in.filter(|_| class == "keyed");
        let mut fit = open.filter(|r| match zone {
            Some(zone) if self.fault == Fault::CrossesZones => r.zone != zone,
            Some(zone) => r.zone == zone,
            None => true,
        });
        fit.next().map(|r| ChosenEndpoint { addr: r.addr, id: r.id.clone(), zone: r.zone.clone() })
    }

    async fn notify(&self, message_id: &str, status: &str) {
        let body = format!("{{\"id\":\"{message_id}\",\"status\":\"{status}\"}}\n");
        let mut stream = TcpStream::connect(self.platform).await.expect("the platform");
        let request =
            format!("POST /reports HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(request.as_bytes()).await.expect("writable");
        stream.read_exact(&mut [0; 12]).await.expect("an answer");
    }
}
