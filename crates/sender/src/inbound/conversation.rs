//! Serves one client connection from its first request until the connection is closed.

use std::pin::pin;

use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::Inbound;
use super::connection::ClientConnection;
use crate::admission_state::AdmissionState;
use crate::event::Input;
use crate::graceful_close;
use crate::write_progress::{MAX_BUFFER, TrackedStream};

impl Inbound {
    /// Serves requests until the connection ends or its close is requested. Then withdraws the last submission if no
    /// byte of its response was written, and closes the connection.
    pub(super) async fn serve(&self, connection: &ClientConnection) {
        self.serve_requests(connection).await;
        // The message is withdrawn because the client has received no response and may submit it to another sender.
        if let Some(submission) = connection.unacknowledged_submission() {
            let _ = self.to_engine.send(Input::Withdrawn(submission)).await;
        }
        self.slots.borrow_mut().close_started(connection.id, self.now());
        graceful_close::finish(&connection.socket, connection.close_immediately.notified()).await;
    }

    /// Responds to requests until the connection ends or its close is requested.
    async fn serve_requests(&self, connection: &ClientConnection) {
        let mut admission_state = self.admission_state.clone();
        admission_state.mark_changed();
        let stream = TrackedStream::new(connection.socket.clone(), connection.write_progress.clone());
        let service = service_fn(|request| self.respond(request, connection));
        let mut http = pin!(http1::Builder::new().max_buf_size(MAX_BUFFER).serve_connection(stream, service));
        loop {
            tokio::select! {
                biased;
                // Polled first because a request that is read after the close was requested would be lost.
                () = connection.close_requested.notified() => return,
                // The error, if any, is ignored: the state of the last submission shows whether its response was
                // written.
                _ = http.as_mut() => return,
                // A request that is arriving is served before its connection is closed.
                Ok(()) = admission_state.changed() => {
                    let accepting = *admission_state.borrow_and_update() == AdmissionState::Accepting;
                    if !accepting && connection.is_idle() && !connection.has_unread() {
                        http.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}
