//! Responses of the control listener.

use std::net::SocketAddr;

use rudderspindle_testkit::scripted_peers::ScriptedResponse;

use crate::common::control_response;
use crate::common::fixture::{ControlFixture, set_up_with_control};
use crate::expected::{assert_golden, printable, section};
use crate::normalise::number_kinds;

/// The response to a request in the notation of the golden files.
async fn answer(control: SocketAddr, request: &[u8]) -> String {
    printable(control_response(control, request).await.as_bytes())
}

/// The responses to commands, one after another.
async fn answers(control: SocketAddr, commands: &[&str]) -> String {
    let mut text = String::new();
    for command in commands {
        let line = format!("{command}\n");
        let title = printable(line.as_bytes()).replace('\n', "");
        text += &section(&title, &answer(control, line.as_bytes()).await);
    }
    text
}

#[tokio::test]
async fn commands_are_answered_with_these_bytes() {
    let ControlFixture {
        platform: _platform,
        receiver: _receiver,
        program: _program,
        folder: _folder,
        control,
    } = set_up_with_control(&[]).await;
    let text = answers(control, &["status", "standby", "active", "unknown", ""]).await;
    assert_golden("control_commands.txt", &text);
}

/// A call in flight delays the exit of the program.
#[tokio::test]
async fn commands_to_a_stopping_program_are_answered_with_these_bytes() {
    let ControlFixture { platform: _platform, mut receiver, mut program, folder: _folder, control } =
        set_up_with_control(&[ScriptedResponse::NoResponse]).await;
    assert_eq!(program.submit("once", "m1", "text".into()).await.status(), 202);
    receiver.next_call().await;
    program.terminate().await;
    program.wait_for_log_line("stopping").await;
    let text = answers(control, &["status", "standby", "active"]).await;
    assert_golden("control_commands_while_stopping.txt", &text);
}

#[tokio::test]
async fn metrics_have_these_keys_in_this_order() {
    let ControlFixture { platform: _platform, mut receiver, program, folder: _folder, control } =
        set_up_with_control(&[]).await;
    assert_eq!(program.submit("safe", "m1", "text".into()).await.status(), 202);
    receiver.next_call().await;
    assert_golden("control_stats.txt", &number_kinds(&answer(control, b"stats\n").await));
}
