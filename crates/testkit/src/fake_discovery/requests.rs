//! Responds to a sender's requests: for the endpoint list, for watches, and with notifications.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::list::EndpointPhase;
use super::watch_lines::WatchLines;
use super::{NotificationMode, Shared};
use crate::event_log::Event;
use crate::line_body::LineBody;
use crate::listen;

/// Maximum length of the body of a notification request, in bytes.
const MAX_NOTIFICATIONS_LEN: usize = 4 << 20;

type Reply = Response<BoxBody<Bytes, Infallible>>;

fn reply(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::from(text).boxed());
    *reply.status_mut() = status;
    reply
}

/// Serves a listener's connections until the task is cancelled. `connection_tasks` owns a task for each connection.
pub(super) async fn serve(shared: Arc<Shared>, listener: &TcpListener, connection_tasks: &mut JoinSet<()>) {
    loop {
        let stream = listen::next(listener, connection_tasks).await;
        let shared = shared.clone();
        connection_tasks.spawn(async move {
            let service = service_fn(|request| answer(shared.clone(), request));
            let builder = hyper::server::conn::http1::Builder::new();
            // Ignored, because the sender may end a connection in any way.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Reply, std::io::Error> {
    if request.uri().path() == "/reports" {
        // Notifications get a response also while discovery is silent.
        let body = Limited::new(request.into_body(), MAX_NOTIFICATIONS_LEN).collect().await;
        let body = body.map_err(|_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        return accept_notifications(&shared, &body.to_bytes()).await;
    }
    let _ = shared.silent.subscribe().wait_for(|silent| !silent).await;
    let query = request.uri().query().unwrap_or_default();
    Ok(if query.contains("watch=1") { begin_watch(shared, revision(query)) } else { send_list(&shared) })
}

/// The revision after which a query requests changes; `None` if it has no valid `from`.
fn revision(query: &str) -> Option<u64> {
    query.split('&').find_map(|pair| pair.strip_prefix("from=")).and_then(|from| from.parse().ok())
}

fn send_list(shared: &Shared) -> Reply {
    let mut state = shared.state();
    for EndpointPhase { endpoint, phase } in state.changes_since(None) {
        shared.announce(&mut state, &endpoint, phase);
    }
    reply(StatusCode::OK, state.complete_list().to_string())
}

fn begin_watch(shared: Arc<Shared>, from: Option<u64>) -> Reply {
    let watch = {
        let mut state = shared.state();
        for EndpointPhase { endpoint, phase } in state.changes_since(from) {
            shared.announce(&mut state, &endpoint, phase);
        }
        state.watch(from)
    };
    Response::new(LineBody(WatchLines::new(watch, shared)).boxed())
}

async fn accept_notifications(shared: &Shared, body: &[u8]) -> Result<Reply, std::io::Error> {
    let lines = body.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let lines: Result<Vec<Value>, _> = lines.map(serde_json::from_slice).collect();
    let Ok(lines) = lines else { return Ok(reply(StatusCode::BAD_REQUEST, "invalid JSON line".to_owned())) };
    let mode = shared.state().notification_mode;
    for line in &lines {
        let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
        shared.event_log.record(Event::Notified {
            sender: shared.sender.clone(),
            message_id: text("id"),
            status: text("status"),
            acknowledged: mode == NotificationMode::Acknowledge,
        });
    }
    match mode {
        NotificationMode::Acknowledge => Ok(reply(StatusCode::NO_CONTENT, String::new())),
        NotificationMode::Reject => Ok(reply(StatusCode::INTERNAL_SERVER_ERROR, String::new())),
        NotificationMode::Ignore => std::future::pending().await,
    }
}
