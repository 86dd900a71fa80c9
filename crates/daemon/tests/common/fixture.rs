//! A sender with its peers.

use std::net::SocketAddr;

use rudderspindle_testkit::scripted_peers::{FakePlatform, Receiver, ScriptedResponse, config, member};
use serde_json::{Value, json};

use super::DEADLINE_MS;
use super::folder::{Folder, persistent_folder};
use super::program::Program;

/// The peers, state folder and configuration of a sender.
pub struct Site {
    pub platform: FakePlatform,
    /// The only receiver of destination 7, `r1`.
    pub receiver: Receiver,
    pub folder: Folder,
    pub config: Value,
}

impl Site {
    /// Starts the peers of a sender; `deadline_ms` is the deadline of its messages.
    pub async fn new(responses: &[ScriptedResponse], deadline_ms: f64) -> Self {
        let (platform, receiver) = (FakePlatform::start().await, Receiver::start(responses).await);
        let config = config(platform.addr, &[member("r1", receiver.addr, 7, "SERVING")], deadline_ms);
        platform.set_list(config["known"].clone());
        Self { platform, receiver, folder: persistent_folder(), config }
    }

    /// Starts a sender.
    pub async fn start(&self) -> Program {
        Program::start(&self.config, &self.folder.state).await
    }
}

/// A running sender with its peers.
pub struct Fixture {
    pub platform: FakePlatform,
    pub receiver: Receiver,
    pub program: Program,
    pub folder: Folder,
    pub config: Value,
}

/// Starts a sender and its peers; `deadline_ms` is the deadline of its messages.
pub async fn set_up(responses: &[ScriptedResponse], deadline_ms: f64) -> Fixture {
    let site = Site::new(responses, deadline_ms).await;
    let program = site.start().await;
    let Site { platform, receiver, folder, config } = site;
    Fixture { platform, receiver, program, folder, config }
}

/// A running sender that has a control listener.
pub struct ControlFixture {
    pub platform: FakePlatform,
    pub receiver: Receiver,
    pub program: Program,
    pub folder: Folder,
    /// Address of the control listener.
    pub control: SocketAddr,
}

/// Starts a sender with a control listener, and its peers.
pub async fn set_up_with_control(responses: &[ScriptedResponse]) -> ControlFixture {
    let mut site = Site::new(responses, DEADLINE_MS).await;
    site.config["control"] = json!("127.0.0.1:0");
    let program = site.start().await;
    let control = program.control.expect("the address of the control listener");
    let Site { platform, receiver, folder, .. } = site;
    ControlFixture { platform, receiver, program, folder, control }
}
