//! The judge against senders that are wrong on purpose: each breaks one rule, and that one is named. The same small
//! sender without its fault is found to be clean in the same scene.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rudderspindle_testkit::checker::{Rule, Verdict, check_events};
use rudderspindle_testkit::event_log::{Class, Effect, Event, EventLog, KeyGroup, ProcessState, Rules};
use rudderspindle_testkit::fake_discovery::{Entry, FakeDiscovery};
use rudderspindle_testkit::fake_receiver::FakeReceiver;
use rudderspindle_testkit::scenario::{
    EndpointPlan, Limit, Ms, Outage, PerSecond, Phase, ReceiverPlan, RetryAfterPolicy, Share,
};
use rudderspindle_testkit::test_environment::{endpoints, record_lag};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// What is wrong with a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    ForgetsMessages,
    EndsThemLate,
    SendsSecondCopies,
    RepeatsWhatIsUnsafe,
    CrossesHalls,
    RefusesWhatMayHaveRun,
    IgnoresDrains,
    HeedsDrainsLate,
    FloodsWhoReturns,
    HammersWhoReturns,
    OvertakesWithinAKey,
    LeavesAKeyNoRest,
    IgnoresWaits,
    WaitsAtTheEndpointOnly,
}

/// The rules with figures that keep scenes short.
fn rules() -> Rules {
    Rules {
        drain_grace_ms: 200,
        overload_window_ms: 1_000,
        warm_up_ms: 3_000,
        outcome_ms: 100,
        ordering_pause_ms: 300,
        ..Rules::default()
    }
}

fn classes() -> Vec<Class> {
    let class = |name: &str, effect, ordered| Class {
        name: name.to_owned(),
        effect,
        group: KeyGroup::Zone,
        window_ms: 15_000,
        target_ms: 1_000,
        deadline_ms: 5_000,
        ordered,
    };
    vec![
        class("safe", Effect::Idempotent, false),
        class("keyed", Effect::IdempotencyKey, false),
        class("unsafe", Effect::AtMostOnce, false),
        class("ordered", Effect::Idempotent, true),
    ]
}

fn plan(per_s: f64, work_ms: u64) -> ReceiverPlan {
    let ms = |ms| Ms::try_from(ms).expect("in range");
    let endpoint = |id: &str, hall: &str| EndpointPlan { id: id.to_owned(), zone: hall.to_owned() };
    ReceiverPlan {
        number: 1,
        name: "partner".to_owned(),
        endpoints: vec![endpoint("e0", "hall-a"), endpoint("e1", "hall-b")],
        independent: false,
        per_s: PerSecond::try_from(per_s).expect("in range"),
        limit: Limit::Window { window_ms: ms(1_000) },
        counts_rejected: false,
        retry_after: RetryAfterPolicy { share: Share::try_from(1.0).expect("in range"), wait_ms: None },
        service_time_ms: ms(work_ms),
        max_queued: 1_000,
        max_connections: 1_000,
        weight: 1.0,
    }
}

#[derive(Debug)]
struct Route {
    id: String,
    addr: SocketAddr,
    hall: String,
    /// When it stopped serving.
    drained: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    routes: Vec<Route>,
    /// Until when nothing may be sent: to an endpoint, or to the partner under no name.
    waits: HashMap<String, Instant>,
    /// While the partner may be down or cold: when the next call may go.
    careful_until: Option<Instant>,
    next_call: Option<Instant>,
    ever_failed: bool,
}

/// A sender as small as can be, that keeps the rules unless its fault says otherwise.
#[derive(Debug)]
struct Small {
    fault: Fault,
    platform: SocketAddr,
    state: Mutex<State>,
    /// One message of a key at a time.
    key: tokio::sync::Mutex<()>,
}

/// What came of a call.
enum Came {
    Ok,
    Full(u64),
    Failed,
    Silent,
}

impl Small {
    fn start(fault: Fault, agent: &FakeDiscovery, partner: &FakeReceiver) -> Arc<Self> {
        let route = |e: &EndpointPlan| {
            let addr = partner.addr("n0", &e.id).expect("an address");
            Route { id: e.id.clone(), addr, hall: e.zone.clone(), drained: None }
        };
        let routes = partner.plan().endpoints.iter().map(route).collect();
        let state = Mutex::new(State { routes, ..State::default() });
        let this =
            Arc::new(Self { fault, platform: agent.addr(), state, key: tokio::sync::Mutex::default() });
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
                    Fault::HeedsDrainsLate => Duration::from_millis(900),
                    _ => Duration::ZERO,
                };
                let mut state = self.state.lock().expect("a state");
                let route = state.routes.iter_mut().find(|r| r.id == member["id"]);
                route.expect("a route").drained.get_or_insert(Instant::now() + late);
            }
        }
    }

    /// Delivers a message until its time is up, and ends it.
    async fn deliver(self: Arc<Self>, message_id: String, class: String, left: Duration) {
        let ends = Instant::now() + left;
        let ordered = class == "ordered" && self.fault != Fault::OvertakesWithinAKey;
        let _turn = if ordered { Some(self.key.lock().await) } else { None };
        let patience = if class == "ordered" { Duration::from_millis(200) } else { left };
        // Which hall it may have run in.
        let mut ran: Option<String> = None;
        let mut timed_out = false;
        let mut tries = 0;
        loop {
            let may_go_on = match class.as_str() {
                "unsafe" => ran.is_none() || (self.fault == Fault::RepeatsWhatIsUnsafe && tries < 3),
                "ordered" => tries == 0,
                _ => true,
            };
            if Instant::now() >= ends || !may_go_on {
                break;
            }
            let Some((addr, id, hall)) = self.choose(ran.as_deref(), &class) else {
                sleep_until((Instant::now() + Duration::from_millis(20)).min(ends)).await;
                continue;
            };
            tries += 1;
            let until = ends.min(Instant::now() + patience);
            let call = call(addr, &message_id, until);
            let came = if self.fault == Fault::SendsSecondCopies {
                tokio::select! {
                    came = call => came,
                    came = async {
                        sleep(Duration::from_millis(200)).await;
                        self::call(addr, &message_id, until).await
                    } => came,
                }
            } else {
                call.await
            };
            match came {
                Came::Ok => {
                    self.state.lock().expect("a state").ever_failed = false;
                    return;
                }
                Came::Full(wait) => {
                    self.told(&id, wait);
                    if self.fault == Fault::WaitsAtTheEndpointOnly {
                        // Until what goes on in answer to the refusal itself is no longer let through.
                        sleep(Duration::from_millis(150)).await;
                    }
                }
                Came::Failed | Came::Silent => {
                    timed_out |= matches!(came, Came::Silent);
                    ran.get_or_insert(hall);
                    let mut state = self.state.lock().expect("a state");
                    state.ever_failed = true;
                    state.careful_until = Some(Instant::now() + Duration::from_millis(4_000));
                }
            }
            if self.fault == Fault::ForgetsMessages {
                return;
            }
        }
        sleep_until(if class == "safe" { ends } else { Instant::now() }).await;
        if self.fault == Fault::EndsThemLate {
            sleep(Duration::from_millis(400)).await;
        }
        let refused = ran.is_none() || self.fault == Fault::RefusesWhatMayHaveRun;
        self.notice(&message_id, if refused { "deferred" } else { "undeliverable" }).await;
        // What timed out may still run: the key rests.
        if timed_out && self.fault != Fault::LeavesAKeyNoRest {
            sleep(Duration::from_millis(500)).await;
        }
    }

    fn told(&self, endpoint: &str, wait_ms: u64) {
        let mut state = self.state.lock().expect("a state");
        state.ever_failed |= wait_ms == 0;
        let gate = if self.fault == Fault::WaitsAtTheEndpointOnly { endpoint } else { "" };
        if self.fault != Fault::IgnoresWaits {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            state.waits.insert(gate.to_owned(), until);
        }
    }

    /// An endpoint that may be called now.
    fn choose(&self, ran: Option<&str>, class: &str) -> Option<(SocketAddr, String, String)> {
        let mut state = self.state.lock().expect("a state");
        let now = Instant::now();
        let rests = |id: &str, state: &State| state.waits.get(id).is_some_and(|until| *until > now);
        if rests("", &state) {
            return None;
        }
        let bold = match self.fault {
            Fault::FloodsWhoReturns => !state.ever_failed,
            Fault::HammersWhoReturns => true,
            _ => false,
        };
        if !bold && (state.careful_until.is_some_and(|until| until > now)) {
            if state.next_call.is_some_and(|at| at > now) {
                return None;
            }
            state.next_call = Some(now + Duration::from_millis(350));
        }
        let open =
            state.routes.iter().filter(|r| r.drained.is_none_or(|at| at > now) && !rests(&r.id, &state));
        let hall = ran.filter(|_| class == "keyed");
        let mut fit = open.filter(|r| match hall {
            Some(hall) if self.fault == Fault::CrossesHalls => r.hall != hall,
            Some(hall) => r.hall == hall,
            None => true,
        });
        fit.next().map(|r| (r.addr, r.id.clone(), r.hall.clone()))
    }

    async fn notice(&self, message_id: &str, status: &str) {
        let body = format!("{{\"id\":\"{message_id}\",\"status\":\"{status}\"}}\n");
        let mut stream = TcpStream::connect(self.platform).await.expect("the platform");
        let request =
            format!("POST /reports HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(request.as_bytes()).await.expect("writable");
        stream.read_exact(&mut [0; 12]).await.expect("an answer");
    }
}

async fn call(addr: SocketAddr, message_id: &str, until: Instant) -> Came {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let request = format!(
            "POST /v1/messages HTTP/1.1\r\nHost: a\r\nX-Txn: {message_id}\r\nIdempotency-Key: k-{message_id}\r\n\
             Content-Length: 4\r\n\r\ntext"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut head = String::new();
        let mut lines = BufReader::new(stream).lines();
        while let Some(line) = lines.next_line().await.ok()?.filter(|line| !line.is_empty()) {
            head += &line.to_lowercase();
            head.push('\n');
        }
        let status: u16 = head.get(9..12)?.parse().ok()?;
        let wait = head.lines().find_map(|l| l.strip_prefix("x-backoff-ms: ")?.parse().ok());
        Some((status, wait.unwrap_or(0)))
    };
    match timeout_at(until, exchange).await {
        Ok(Some((200, _))) => Came::Ok,
        Ok(Some((429 | 503, wait))) => Came::Full(wait),
        Ok(_) => Came::Failed,
        Err(_) => Came::Silent,
    }
}

/// What is handed in, and what befalls the partner.
struct Scene {
    plan: ReceiverPlan,
    /// Class, how many, how far apart in milliseconds, and for how long each may be delivered.
    messages: (&'static str, usize, u64, u64),
    outage: Option<(Outage, u64)>,
    drain_after: Option<u64>,
}

/// Plays a scene with a small sender.
async fn play(scene: &Scene, fault: Fault) -> Verdict {
    let evidence = EventLog::start(classes(), endpoints(std::slice::from_ref(&scene.plan)), rules());
    let senders = ["n0".to_owned()];
    let partner =
        FakeReceiver::start(&scene.plan, &senders, &rules(), 1, &evidence).await.expect("a partner");
    let partner = Arc::new(partner);
    let entry = |e: &EndpointPlan| Entry {
        id: e.id.clone(),
        addr: partner.addr("n0", &e.id).expect("an address"),
        zone: e.zone.clone(),
        kind: "any-size".to_owned(),
        receiver: 1,
        phase: Phase::Serving,
        per_s: scene.plan.per_s.get(),
    };
    let entries = scene.plan.endpoints.iter().map(entry).collect();
    let agent = FakeDiscovery::start("n0", entries, &evidence).await.expect("an agent");
    let sender = Small::start(fault, &agent, &partner);
    let mut clock = tokio::task::JoinSet::new();
    clock.spawn(record_lag(evidence.clone()));
    evidence.record(Event::ProcessChanged { sender: "n0".to_owned(), state: ProcessState::Ready });
    if let Some((outage, for_ms)) = scene.outage {
        let partner = partner.clone();
        tokio::spawn(async move { partner.fail(&[], outage, Duration::from_millis(for_ms)).await });
        // The outage has begun before the first message.
        while evidence.lines().len() < 3 {
            tokio::task::yield_now().await;
        }
    }
    let (class, count, apart, left) = scene.messages;
    let (start, mut open) = (Instant::now(), tokio::task::JoinSet::new());
    for n in 0..count {
        let at = apart * n as u64;
        sleep_until(start + Duration::from_millis(at)).await;
        if scene.drain_after.is_some_and(|after| at >= after)
            && n > 0
            && at - apart < scene.drain_after.unwrap_or(0)
        {
            agent.change("e0", Phase::Draining);
        }
        let message_id = format!("m{n}");
        let order = (class == "ordered").then(|| "key".to_owned());
        evidence.record(Event::Submitted {
            message_id: message_id.clone(),
            first_message_id: message_id.clone(),
            sender: "n0".to_owned(),
            class: class.to_owned(),
            tenant: String::new(),
            receiver: 1,
            time_left_ms: left,
            ordering_key: order,
        });
        evidence.record(Event::Responded { message_id: message_id.clone(), status: 202 });
        open.spawn(sender.clone().deliver(message_id, class.to_owned(), Duration::from_millis(left)));
    }
    while open.join_next().await.is_some() {}
    // Whatever is overdue by now will not come.
    sleep(Duration::from_millis(left.min(400) + 200)).await;
    check_events(&evidence.lines())
}

/// The sender without a fault is clean, and each of these breaks that rule alone.
async fn breaks(scene: Scene, rule: Rule, faults: &[Fault]) {
    // Stand-ins that this machine kept waiting prove nothing: such a play is repeated.
    let played = async |fault| {
        for _ in 0..4 {
            let verdict = play(&scene, fault).await;
            if !verdict.is_inconclusive() {
                return verdict;
            }
        }
        panic!("the stand-ins were late four times");
    };
    let verdict = timeout(Duration::from_secs(60), played(Fault::None)).await.expect("in time");
    assert!(verdict.is_clean(), "without a fault:\n{verdict}");
    assert!(verdict.accounting.delivered + verdict.accounting.failed + verdict.accounting.rejected > 0);
    for &fault in faults {
        let verdict = timeout(Duration::from_secs(60), played(fault)).await.expect("in time");
        assert_eq!(verdict.broken_rules(), BTreeSet::from([rule]), "{fault:?}:\n{verdict}");
        let breach = &verdict.violations[0];
        assert!(!breach.lines.is_empty() && !breach.what.is_empty(), "{fault:?}: {breach:?}");
    }
}

fn errors() -> Outage {
    Outage::Errors { share: Share::try_from(1.0).expect("in range") }
}

fn scene(plan: ReceiverPlan, messages: (&'static str, usize, u64, u64)) -> Scene {
    Scene { plan, messages, outage: None, drain_after: None }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_that_are_forgotten_or_ended_late_are_lost() {
    let scene = Scene { outage: Some((errors(), 900)), ..scene(plan(50.0, 10), ("safe", 3, 10, 500)) };
    breaks(scene, Rule::Loss, &[Fault::ForgetsMessages, Fault::EndsThemLate]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_copy_while_the_first_is_out_is_doubled() {
    breaks(scene(plan(50.0, 1_500), ("safe", 2, 10, 8_000)), Rule::Duplication, &[Fault::SendsSecondCopies])
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_may_have_run_is_doubled_by_a_repeat_or_a_refusal() {
    let unsafe_scene =
        || Scene { outage: Some((errors(), 400)), ..scene(plan(50.0, 10), ("unsafe", 2, 10, 900)) };
    breaks(unsafe_scene(), Rule::Duplication, &[Fault::RepeatsWhatIsUnsafe, Fault::RefusesWhatMayHaveRun])
        .await;
    let keyed = Scene { outage: Some((errors(), 400)), ..scene(plan(50.0, 10), ("keyed", 2, 10, 2_000)) };
    breaks(keyed, Rule::Duplication, &[Fault::CrossesHalls]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_that_is_ignored_or_heeded_late_is_broken() {
    let scene = Scene { drain_after: Some(100), ..scene(plan(100.0, 5), ("safe", 40, 30, 2_000)) };
    breaks(scene, Rule::Draining, &[Fault::IgnoresDrains, Fault::HeedsDrainsLate]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn who_returns_is_pushed_over_by_a_flood_or_by_hammering() {
    let scene = || Scene { outage: Some((errors(), 500)), ..scene(plan(10.0, 5), ("safe", 60, 25, 8_000)) };
    breaks(scene(), Rule::Recovery, &[Fault::FloodsWhoReturns, Fault::HammersWhoReturns]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_broken_by_overtaking_and_by_a_key_without_rest() {
    let overtaken = scene(plan(50.0, 60), ("ordered", 4, 5, 5_000));
    breaks(overtaken, Rule::Ordering, &[Fault::OvertakesWithinAKey]).await;
    let silent =
        Scene { outage: Some((Outage::Silent, 500)), ..scene(plan(50.0, 10), ("ordered", 3, 5, 5_000)) };
    breaks(silent, Rule::Ordering, &[Fault::LeavesAKeyNoRest]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wait_that_is_ignored_or_kept_at_one_endpoint_only_is_broken() {
    let faults = [Fault::IgnoresWaits, Fault::WaitsAtTheEndpointOnly];
    breaks(scene(plan(3.0, 5), ("safe", 12, 120, 6_000)), Rule::RetryAfter, &faults).await;
}
