use super::*;

mod cancels;
mod deadline;

/// An engine with one receiver for destination 7, and its inputs' other end.
pub(super) fn engine(state: &std::path::Path) -> (Engine, mpsc::Sender<Input>) {
    let json = serde_json::json!({
        "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
        "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
    let settings = rudderspindle_policy::settings::read(&json).expect("settings");
    let names = rudderspindle_policy::settings::names(&json).expect("names");
    let (to_engine, inputs) = mpsc::channel(16);
    let metrics = Rc::new(Metrics::new(&names.classes));
    let peer_process = Rc::new(PeerProcess::default());
    let outbound =
        Rc::new(Outbound::new(&settings, 8, metrics.clone(), peer_process.clone(), to_engine.clone()));
    let store = Store::open(state, 3_000_000).expect("a journal");
    let reports = Rc::default();
    let parts = EngineDependencies {
        settings,
        names,
        seed: 1,
        store,
        outbound,
        reports,
        metrics,
        peer_process,
        shared_door: false,
        notes: false,
        permits: false,
        views: false,
        inputs,
    };
    let member = serde_json::json!({"id": "r1", "host_port": "127.0.0.1:1", "cell": 7, "phase": "SERVING"});
    let list = serde_json::json!({"revision": 1, "complete": true, "members": [member]});
    let list = serde_json::from_value(list).expect("a list");
    (Engine::new(parts, &list, None).expect("an engine"), to_engine)
}

pub(super) fn submission(number: u64, message_id: &str) -> (Input, oneshot::Receiver<Answer>) {
    let (answer, answered) = oneshot::channel();
    let (message_id, body) = (message_id.into(), Bytes::from_static(b"text"));
    let (ends_at, destination) = (Instant::now() + Duration::from_secs(9), DestinationId(7));
    let s =
        Submission { number, message_id, class: 0, tenant: 0, destination, key: None, body, ends_at, answer };
    (Input::Submitted(s), answered)
}

/// A client that knows an open message's id could end it by going away, though another had its 202.
#[tokio::test]
async fn a_message_is_withdrawn_only_when_none_of_its_clients_was_heard() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, _inputs) = engine(folder.path());
        for number in 1..=MAX_SUBMISSIONS as u64 + 1 {
            let (input, answered) = submission(number, "m1");
            engine.batch(vec![input]);
            let more = number > MAX_SUBMISSIONS as u64;
            let expected = if more { Answer::REFUSED } else { Answer::Accepted };
            assert_eq!(answered.await, Ok(expected));
        }
        for number in 2..=MAX_SUBMISSIONS as u64 + 1 {
            engine.batch(vec![Input::Withdrawn(number)]);
            assert!(engine.held.len() == 1 && engine.store.knows(&"m1".into()), "ended by {number}");
        }
        engine.batch(vec![Input::Withdrawn(1)]);
        assert!(engine.held.is_empty() && engine.submissions.is_empty() && !engine.store.knows(&"m1".into()));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Receivers are replaced all day by others under new ids, and messages are ever new.
#[tokio::test(start_paused = true)]
async fn what_is_remembered_stays_bounded_while_receivers_and_messages_change() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let (mut engine, mut _inputs) = engine(folder.path());
        let mut after = Vec::new();
        for n in 0..1_200u64 {
            let entry = |n: u64, phase| {
                let port = 1 + n % 50;
                serde_json::json!({"id": format!("r{n}"), "host_port": format!("127.0.0.1:{port}"),
                    "locality": format!("zone-{n}"), "cell": 7 + n % 3, "phase": phase})
            };
            let members = if n < 3 {
                vec![entry(n, "SERVING")]
            } else {
                vec![entry(n, "SERVING"), entry(n - 3, "DELETED")]
            };
            let list = serde_json::json!({"revision": n, "complete": false, "members": members});
            engine.batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
            let (input, _answered) = submission(n, &format!("m{n}"));
            engine.batch(vec![input, Input::Withdrawn(n)]);
            tokio::time::advance(Duration::from_millis(500)).await;
            engine.batch(Vec::new());
            let maps = engine.routes.len() + engine.destinations.len() + engine.held.len() + engine.ids.len();
            let maps = maps + engine.submissions.len() + engine.calls.len() + engine.wakes.len();
            after.push(maps + engine.outbound.remembered() + engine.sender.remembered());
        }
        let (half, end) = (after[599], after[1_199]);
        assert!(end <= half + 10 && end < 600, "{half} half-way, {end} at the end");
        assert!(engine.zones.len() <= usize::from(u8::MAX));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
