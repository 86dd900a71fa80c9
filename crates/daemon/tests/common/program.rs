//! The built program as a child process: its start, its log, its signals and requests to it.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::{ExitStatus, Stdio};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rudderspindle_testkit::scripted_peers::with_timeout;
use serde_json::Value;
use socket2::Socket;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};

/// The built program, killed when dropped.
pub struct Program {
    /// Address of the listener for clients.
    pub addr: SocketAddr,
    /// Address of the control listener, if it has one.
    pub control: Option<SocketAddr>,
    pub child: Child,
    log: Lines<BufReader<ChildStderr>>,
}

pub fn spawn(config: &Value, state: &Path) -> Child {
    spawn_with_listener(None, config, state)
}

/// Spawns the program, which inherits the listener for clients if there is one.
fn spawn_with_listener(listener: Option<&Socket>, config: &Value, state: &Path) -> Child {
    command(listener, config, state).spawn().expect("the program starts")
}

fn command(listener: Option<&Socket>, config: &Value, state: &Path) -> Command {
    let path = state.with_extension("json");
    std::fs::write(&path, config.to_string()).expect("a configuration file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_rudderspindle"));
    if let Some(listener) = listener {
        program.env("RELAY_ACCEPT_FD", listener.as_raw_fd().to_string());
    }
    program.env("RELAY_CONFIG", path).env("RELAY_STATE", state);
    program.stderr(Stdio::piped()).kill_on_drop(true);
    program
}

impl Program {
    pub async fn start(config: &Value, state: &Path) -> Self {
        Self::begin(spawn(config, state)).await
    }

    /// Starts the program with a listener for clients that it inherits.
    pub async fn start_with_listener(listener: &Socket, config: &Value, state: &Path) -> Self {
        Self::begin(spawn_with_listener(Some(listener), config, state)).await
    }

    /// Starts the program with a failpoint: it logs that it has reached the point, and stops there.
    pub async fn start_with_failpoint(point: &str, config: &Value, state: &Path) -> Self {
        let mut program = command(None, config, state);
        Self::begin(program.env("RELAY_FAILPOINT", point).spawn().expect("the program starts")).await
    }

    async fn begin(mut child: Child) -> Self {
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let mut control = None;
        let addr = loop {
            let line =
                with_timeout("the address", log.next_line()).await.expect("a log").expect("a further line");
            if let Some(addr) = line.strip_prefix("operators: listening on ") {
                control = Some(addr.parse().expect("an address"));
            }
            if let Some(addr) = line.strip_prefix("listening on ") {
                break addr.parse().expect("an address");
            }
        };
        Self { addr, control, child, log }
    }

    /// Waits for a line of the log that contains `text`.
    pub async fn wait_for_log_line(&mut self, text: &str) {
        let found = async {
            while let Ok(Some(line)) = self.log.next_line().await {
                if line.contains(text) {
                    return true;
                }
            }
            false
        };
        assert!(with_timeout(text, found).await, "the log ended without {text:?}");
    }

    /// The remaining lines of the log, until the program ends.
    pub async fn rest_of_log(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(line) = with_timeout("the end of the log", self.log.next_line()).await.expect("a log")
        {
            lines.push(line);
        }
        lines
    }

    pub async fn kill(mut self) {
        self.child.kill().await.expect("it can be killed");
    }

    pub async fn terminate(&self) {
        self.signal("-TERM").await;
    }

    /// Replaces the configuration file by a text and sends SIGHUP.
    pub async fn configure(&self, config: &str, state: &Path) {
        std::fs::write(state.with_extension("json"), config).expect("a configuration file");
        self.signal("-HUP").await;
    }

    /// Sends a signal, as `kill` names it.
    pub async fn signal(&self, name: &str) {
        signal(&self.child, name).await;
    }

    /// Connects as a client and writes raw bytes.
    pub async fn raw(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).await.expect("a connection");
        stream.write_all(bytes).await.expect("writable");
        stream
    }

    /// Waits until it has exited.
    pub async fn exit(&mut self) -> ExitStatus {
        with_timeout("the exit", self.child.wait()).await.expect("a status")
    }

    /// The status of a readiness check.
    pub async fn readiness(&self) -> u16 {
        let ready = Request::get("/-/ready").body(Full::default()).expect("a request");
        self.request(ready).await.expect("a response").status().as_u16()
    }

    /// Submits a message for destination 7 on a connection of its own.
    pub async fn submit(&self, class: &str, message_id: &str, body: Bytes) -> Response<Incoming> {
        self.submit_with_time_left(class, message_id, body, "60").await
    }

    pub async fn submit_with_time_left(
        &self,
        class: &str,
        message_id: &str,
        body: Bytes,
        left: &str,
    ) -> Response<Incoming> {
        let request = Request::post(format!("/{class}"))
            .header("x-txn", message_id)
            .header("x-org", "acme")
            .header("x-remaining", left)
            .header("x-route-to", "dest=7")
            .header("idempotency-key", format!("key-{message_id}"));
        self.request(request.body(Full::new(body)).expect("a request")).await.expect("a response")
    }

    pub async fn request(&self, mut request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        let stream = TcpStream::connect(self.addr).await.expect("a connection");
        request.headers_mut().insert("host", "app.svc".parse().expect("a value"));
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        with_timeout("a response", sender.send_request(request)).await
    }
}

/// Sends a program a signal, as `kill` names it.
pub async fn signal(program: &Child, name: &str) {
    let pid = program.id().expect("it runs").to_string();
    let sent = Command::new("kill").args([name, &pid]).status().await.expect("kill runs");
    assert!(sent.success());
}
