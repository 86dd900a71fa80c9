//! The responses of the control protocol, compared with recorded ones.

use std::rc::Rc;

use tokio::sync::{mpsc, watch};

use super::ControlListener;
use crate::admission_state::AdmissionState;
use crate::event::Input;
use crate::metrics::{EngineStatus, FinalOutcome, Metrics};

const SERVING: &str = include_str!("../../tests/golden/control.serving.txt");
const STOPPING: &str = include_str!("../../tests/golden/control.stopping.txt");

/// Metrics whose non-zero numbers all differ.
fn metrics() -> Metrics {
    let metrics = Metrics::new(&["keyed".to_owned(), "a \"b\"".to_owned(), "plain".to_owned()]);
    let outcomes = [
        (0, FinalOutcome::Delivered, 1),
        (0, FinalOutcome::Rejected, 2),
        (0, FinalOutcome::Failed, 3),
        (2, FinalOutcome::Delivered, 4),
    ];
    for (class, outcome, times) in outcomes {
        (0..times).for_each(|_| metrics.count_outcome(class, outcome));
    }
    (0..5).for_each(|_| metrics.call_written());
    metrics.client_connected();
    metrics.set_engine_status(EngineStatus { open_requests: 6, registry_entries: 7, out_of_rotation: 8 });
    metrics
}

/// A control listener with this admission state, and the queries that it sends to the engine.
fn control(state: AdmissionState) -> (ControlListener, mpsc::Receiver<Input>) {
    let (engine, queries) = mpsc::channel(4);
    let admission_state = watch::channel(state).0;
    (ControlListener { metrics: Rc::new(metrics()), admission_state, engine }, queries)
}

/// Each command on a line that begins with `> `, followed by its response.
async fn transcript(control: &ControlListener, commands: &[&str]) -> String {
    let mut text = String::new();
    for command in commands {
        let response = control.respond(command.parse()).await;
        text.push_str(&format!("> {command}\n{response}"));
    }
    text
}

#[tokio::test]
async fn a_serving_sender_responds_to_each_command_as_recorded() {
    let (control, mut queries) = control(AdmissionState::Accepting);
    let engine = async {
        while let Some(Input::QueryStatus(reply)) = queries.recv().await {
            let current = EngineStatus { open_requests: 60, registry_entries: 70, out_of_rotation: 80 };
            reply.send(current).expect("a waiting query");
        }
    };
    let commands = ["status", "stats", "standby", "status", "active", " status ", "", "STATUS", "stop"];
    let text = tokio::select! {
        text = transcript(&control, &commands) => text,
        () = engine => unreachable!("the control listener keeps the channel open"),
    };
    assert_eq!(text, SERVING);
}

/// The engine has ended, so the metrics contain the last status that it reported.
#[tokio::test]
async fn a_stopping_sender_responds_to_each_command_as_recorded() {
    for state in [AdmissionState::Stopping, AdmissionState::HandingOver] {
        let (control, queries) = control(state);
        drop(queries);
        let text = transcript(&control, &["status", "stats", "standby", "active", "status"]).await;
        assert_eq!(text, STOPPING, "{state:?}");
    }
}
