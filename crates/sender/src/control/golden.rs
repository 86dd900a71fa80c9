//! What operators are answered, compared with the answers of the version before the renames.

use super::*;
use crate::metrics::{EngineStatus, FinalOutcome};

const SERVING: &str = include_str!("../../tests/golden/control.serving.txt");
const STOPPING: &str = include_str!("../../tests/golden/control.stopping.txt");

/// Figures in which no two numbers are alike.
fn metrics() -> Metrics {
    let metrics = Metrics::new(&["keyed".to_owned(), "a \"b\"".to_owned(), "plain".to_owned()]);
    let ends = [
        (0, FinalOutcome::Delivered, 1),
        (0, FinalOutcome::Rejected, 2),
        (0, FinalOutcome::Failed, 3),
        (2, FinalOutcome::Delivered, 4),
    ];
    for (class, end, times) in ends {
        (0..times).for_each(|_| metrics.record_outcome(class, end));
    }
    (0..5).for_each(|_| metrics.call_written());
    metrics.client_connected();
    metrics.set_engine_status(EngineStatus { open_requests: 6, registry_entries: 7, out_of_rotation: 8 });
    metrics
}

/// An operator's side whose door stands so, and what its engine is asked.
fn operator(door: AdmissionState) -> (ControlListener, mpsc::Receiver<Input>) {
    let (host, asked) = mpsc::channel(4);
    (ControlListener { metrics: Rc::new(metrics()), door: watch::channel(door).0, host }, asked)
}

/// Each call after a `> `, and its answer.
async fn transcript(operator: &ControlListener, calls: &[&str]) -> String {
    let mut text = String::new();
    for call in calls {
        let answer = operator.answer(Call::read(call)).await;
        text.push_str(&format!("> {call}\n{answer}"));
    }
    text
}

#[tokio::test]
async fn a_sender_that_serves_answers_each_call_as_before() {
    let (operator, mut asked) = operator(AdmissionState::Accepting);
    let engine = async {
        while let Some(Input::QueryStatus(standing)) = asked.recv().await {
            let now = EngineStatus { open_requests: 60, registry_entries: 70, out_of_rotation: 80 };
            standing.send(now).expect("somebody asks");
        }
    };
    let calls = ["status", "stats", "standby", "status", "active", " status ", "", "STATUS", "stop"];
    let text = tokio::select! {
        text = transcript(&operator, &calls) => text,
        () = engine => unreachable!("the operator's side holds the other end"),
    };
    assert_eq!(text, SERVING);
}

/// The engine has ended, too: the figures are those that it told last.
#[tokio::test]
async fn a_sender_that_stops_answers_each_call_as_before() {
    for door in [AdmissionState::Stopping, AdmissionState::HandingOver] {
        let (operator, asked) = operator(door);
        drop(asked);
        let text = transcript(&operator, &["status", "stats", "standby", "active", "status"]).await;
        assert_eq!(text, STOPPING, "{door:?}");
    }
}
