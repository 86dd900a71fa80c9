//! Plays messages, an outage and a drain against a faulty sender, and checks the event log.

use std::sync::Arc;
use std::time::Duration;

use rudderspindle_testkit::checker::{Verdict, check_events};
use rudderspindle_testkit::event_log::{Class, Effect, Event, EventLog, KeyGroup, ProcessState, Rules};
use rudderspindle_testkit::fake_discovery::{Entry, FakeDiscovery};
use rudderspindle_testkit::fake_receiver::FakeReceiver;
use rudderspindle_testkit::scenario::{
    EndpointPlan, Limit, Ms, Outage, PerSecond, Phase, ReceiverPlan, RetryAfterPolicy, Share,
};
use rudderspindle_testkit::test_environment::{endpoints, record_lag};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::faulty_sender::{Fault, FaultySender};

/// Rules with limits that keep the test runs short.
fn rules() -> Rules {
    Rules {
        drain_grace_ms: 200,
        overload_window_ms: 1_000,
        warm_up_ms: 3_000,
        outcome_grace_ms: 100,
        ordering_pause_ms: 300,
        ..Rules::default()
    }
}

fn classes() -> Vec<Class> {
    let class = |name: &str, effect, ordered| Class {
        name: name.to_owned(),
        effect,
        key_group: KeyGroup::Zone,
        key_window_ms: 15_000,
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

pub fn plan(per_s: f64, service_time_ms: u64) -> ReceiverPlan {
    let ms = |ms| Ms::try_from(ms).expect("in range");
    let endpoint = |id: &str, zone: &str| EndpointPlan { id: id.to_owned(), zone: zone.to_owned() };
    ReceiverPlan {
        number: 1,
        name: "receiver".to_owned(),
        endpoints: vec![endpoint("e0", "hall-a"), endpoint("e1", "hall-b")],
        independent: false,
        per_s: PerSecond::try_from(per_s).expect("in range"),
        limit: Limit::Window { window_ms: ms(1_000) },
        counts_rejected: false,
        retry_after: RetryAfterPolicy { share: Share::try_from(1.0).expect("in range"), wait_ms: None },
        service_time_ms: ms(service_time_ms),
        max_queued: 1_000,
        max_connections: 1_000,
        weight: 1.0,
    }
}

/// The messages that are submitted.
#[derive(Clone, Copy)]
pub struct Messages {
    pub class: &'static str,
    pub count: usize,
    /// Interval between submissions, in milliseconds.
    pub interval_ms: u64,
    /// Time in which each may be delivered, in milliseconds.
    pub lifetime_ms: u64,
}

/// An outage of all endpoints from the start of the run.
#[derive(Clone, Copy)]
pub struct TimedOutage {
    pub outage: Outage,
    pub duration_ms: u64,
}

/// The receiver and its faults, and the messages that are submitted.
pub struct TestRun {
    pub plan: ReceiverPlan,
    pub messages: Messages,
    pub outage: Option<TimedOutage>,
    /// Time after which an endpoint drains, in milliseconds.
    pub drain_after: Option<u64>,
}

/// Plays a test run with a faulty sender, and checks its log.
pub async fn play(test_run: &TestRun, fault: Fault) -> Verdict {
    let event_log = EventLog::start(classes(), endpoints(std::slice::from_ref(&test_run.plan)), rules());
    let senders = ["n0".to_owned()];
    let receiver =
        FakeReceiver::start(&test_run.plan, &senders, &rules(), 1, &event_log).await.expect("a receiver");
    let receiver = Arc::new(receiver);
    let entry = |e: &EndpointPlan| Entry {
        id: e.id.clone(),
        addr: receiver.addr("n0", &e.id).expect("an address"),
        zone: e.zone.clone(),
        kind: "any-size".to_owned(),
        receiver: 1,
        phase: Phase::Serving,
        per_s: test_run.plan.per_s.get(),
    };
    let entries = test_run.plan.endpoints.iter().map(entry).collect();
    let discovery = FakeDiscovery::start("n0", entries, &event_log).await.expect("a discovery service");
    let sender = FaultySender::start(fault, &discovery, &receiver);
    let mut clock = JoinSet::new();
    clock.spawn(record_lag(event_log.clone()));
    event_log.record(Event::ProcessChanged { sender: "n0".to_owned(), state: ProcessState::Ready });
    if let Some(TimedOutage { outage, duration_ms }) = test_run.outage {
        let receiver = receiver.clone();
        tokio::spawn(async move { receiver.fail(&[], outage, Duration::from_millis(duration_ms)).await });
        // The outage has begun before the first message.
        while event_log.lines().len() < 3 {
            tokio::task::yield_now().await;
        }
    }
    let mut open = submit_all(test_run, &event_log, &discovery, &sender).await;
    while open.join_next().await.is_some() {}
    // An outcome that is missing by now is overdue.
    sleep(Duration::from_millis(test_run.messages.lifetime_ms.min(400) + 200)).await;
    check_events(&event_log.lines())
}

/// Submits the messages at their times, and drains an endpoint between two of them if the run has a drain. Returns the
/// tasks that deliver them.
async fn submit_all(
    test_run: &TestRun,
    event_log: &EventLog,
    discovery: &FakeDiscovery,
    sender: &Arc<FaultySender>,
) -> JoinSet<()> {
    let Messages { class, count, interval_ms, lifetime_ms } = test_run.messages;
    let (start, mut open) = (Instant::now(), JoinSet::new());
    for n in 0..count {
        let at = interval_ms * n as u64;
        sleep_until(start + Duration::from_millis(at)).await;
        if test_run.drain_after.is_some_and(|after| at >= after)
            && n > 0
            && at - interval_ms < test_run.drain_after.unwrap_or(0)
        {
            discovery.change("e0", Phase::Draining);
        }
        let message_id = format!("m{n}");
        let order = (class == "ordered").then(|| "key".to_owned());
        event_log.record(Event::Submitted {
            message_id: message_id.clone(),
            first_message_id: message_id.clone(),
            sender: "n0".to_owned(),
            class: class.to_owned(),
            tenant: String::new(),
            receiver: 1,
            time_left_ms: lifetime_ms,
            ordering_key: order,
        });
        event_log.record(Event::Responded { message_id: message_id.clone(), status: 202 });
        open.spawn(sender.clone().deliver(message_id, class.to_owned(), Duration::from_millis(lifetime_ms)));
    }
    open
}
