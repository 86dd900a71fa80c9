//! Control listener: reads one command line on each connection and sends one response.
//!
//! | command | response |
//! | --- | --- |
//! | `status` | `done` if this process can serve, else `error` |
//! | `stats` | the metrics as one line of JSON, then the line `end` |
//! | `standby` | `done`: clients are drained, and accepted messages are still delivered |
//! | `active` | `done`: clients are accepted again |

mod command;
mod connections;
mod response;

#[cfg(test)]
mod golden;

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::accept::Acceptor;
use crate::admission_state::AdmissionState;
use crate::event::Input;
use crate::graceful_close;
use crate::metrics::Metrics;
use command::{Command, UnknownCommand};
use connections::{ConnectionGuard, OpenConnections};
use response::Response;

/// Maximum length of a command line, in bytes.
const MAX_LINE_LEN: u64 = 256;
/// Maximum time for reading a command, executing it and sending the response.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of the query for the engine's status, after which the last known status is reported. It is short because the
/// clients of this listener time out after 1 s.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves the commands of operators.
#[derive(Debug)]
pub struct ControlListener {
    /// The metrics that `stats` reports.
    pub metrics: Rc<Metrics>,
    /// Whether requests of clients are accepted; changed by `standby` and `active`.
    pub admission_state: watch::Sender<AdmissionState>,
    /// Sends queries for the status to the engine.
    pub engine: mpsc::Sender<Input>,
}

impl ControlListener {
    /// Accepts connections until the task is cancelled. Each connection is served by a task of its own. The task ends
    /// after [`COMMAND_TIMEOUT`] at the latest, and earlier if the connection is closed because too many are open.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let open_connections = Rc::new(OpenConnections::default());
        let mut acceptor = Acceptor::new(listener, "control");
        for number in 0.. {
            let accepted = acceptor.accept(|| ()).await;
            spawn_local(self.clone().serve_connection(accepted.stream, open_connections.add(number)));
        }
    }

    /// Serves one command, and closes the connection without resetting it.
    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream, guard: ConnectionGuard) {
        tokio::select! {
            biased;
            () = guard.close_requested() => {}
            // The timeout disconnects a client that sends no command or does not read the response.
            _ = timeout(COMMAND_TIMEOUT, self.serve_command(&mut stream)) => {}
        }
        graceful_close::finish(&Rc::new(RefCell::new(stream)), guard.close_requested()).await;
    }

    async fn serve_command(&self, stream: &mut TcpStream) -> io::Result<()> {
        let (reader, mut writer) = stream.split();
        let mut line = Vec::new();
        BufReader::new(reader.take(MAX_LINE_LEN)).read_until(b'\n', &mut line).await?;
        if line.is_empty() {
            return Ok(());
        }
        let response = self.respond(Command::parse(&line)).await;
        writer.write_all(response.to_string().as_bytes()).await?;
        writer.shutdown().await
    }

    /// Executes a command and returns its response.
    async fn respond(&self, command: Result<Command, UnknownCommand>) -> Response {
        match command {
            Ok(Command::Status) if self.admission_state.borrow().is_stopping() => Response::Stopping,
            Ok(Command::Status) => Response::Done,
            Ok(Command::Stats) => {
                self.update_engine_status().await;
                Response::Stats(self.metrics.to_json())
            }
            Ok(Command::SetAdmission(requested)) => self.set_admission(requested),
            Err(error) => Response::Unknown(error),
        }
    }

    /// Changes the admission state, unless the process is stopping.
    fn set_admission(&self, requested: AdmissionState) -> Response {
        // Copied, because `send_replace` must not be called while the state is borrowed.
        let from = *self.admission_state.borrow();
        let to = from.after_request(requested);
        if self.admission_state.send_replace(to) != to {
            tracing::info!(?from, ?to, "admission state changed");
        }
        if to == requested { Response::Done } else { Response::Stopping }
    }

    /// Queries the engine for its status. The metrics keep the last known status if the engine does not respond within
    /// [`STATUS_TIMEOUT`].
    async fn update_engine_status(&self) {
        let (reply, status) = oneshot::channel();
        if self.engine.try_send(Input::QueryStatus(reply)).is_ok()
            && let Ok(Ok(status)) = timeout(STATUS_TIMEOUT, status).await
        {
            self.metrics.set_engine_status(status);
        }
    }
}
