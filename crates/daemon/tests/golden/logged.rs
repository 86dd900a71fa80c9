//! A running program whose whole log is kept.

use std::path::Path;
use std::process::ExitStatus;

use rudderspindle_testkit::scripted_peers::with_timeout;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr};

use crate::common::program::{signal, spawn};
use crate::normalise::{is_loopback_address, value_after};

/// The program, and the lines that it has logged so far.
pub struct Logged {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    seen: Vec<String>,
}

/// A program that has exited.
pub struct Exit {
    /// Its whole log, with its addresses replaced.
    pub log: String,
    pub status: ExitStatus,
}

impl Logged {
    /// Starts it and waits until it listens.
    pub async fn start(config: &Value, state: &Path) -> Self {
        let mut child = spawn(config, state);
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let mut logged = Self { child, log, seen: Vec::new() };
        logged.until("listening on ").await;
        logged
    }

    /// Reads until a line starts with `start`, and returns the rest of that line.
    pub async fn until(&mut self, start: &str) -> String {
        loop {
            let line = with_timeout(start, self.log.next_line()).await.expect("a log").expect("it goes on");
            self.seen.push(line.clone());
            if let Some(rest) = line.strip_prefix(start) {
                return rest.to_owned();
            }
        }
    }

    /// The address in a line that has been read and starts with `start`.
    pub fn address_after(&self, start: &str) -> &str {
        self.seen.iter().find_map(|line| line.strip_prefix(start)).expect("an address")
    }

    /// Sends a signal, as `kill` names it.
    pub async fn signal(&self, name: &str) {
        signal(&self.child, name).await;
    }

    /// Kills it.
    pub async fn kill(mut self) {
        self.child.kill().await.expect("it can be killed");
    }

    /// Waits until the program exits.
    pub async fn wait_for_exit(mut self) -> Exit {
        while let Some(line) = with_timeout("the log's end", self.log.next_line()).await.expect("a log") {
            self.seen.push(line);
        }
        let status = with_timeout("the end", self.child.wait()).await.expect("a status");
        let mut text = self.seen.join("\n") + "\n";
        for start in ["operators: listening on ", "listening on "] {
            if text.lines().any(|line| line.starts_with(start)) {
                text = value_after(&text, start, "", is_loopback_address, "ADDRESS");
            }
        }
        Exit { log: text, status }
    }
}
