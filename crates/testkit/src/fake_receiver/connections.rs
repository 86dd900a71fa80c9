//! Accepts an endpoint's connections and serves each one until it ends or an outage resets it.

use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::endpoint::{ActiveOutage, Endpoint};
use super::{Shared, requests};
use crate::event_log::Event;
use crate::listen;
use crate::scenario::Outage;

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Sets the socket to send a reset when the stream is closed.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn is_of_kind(outage: Option<ActiveOutage>, kind: Outage) -> bool {
    outage.is_some_and(|active| active.outage == kind)
}

/// Accepts connections of one sender to an endpoint until the task is cancelled.
pub(super) async fn accept(
    shared: Arc<Shared>,
    endpoint: Arc<Endpoint>,
    sender: String,
    listener: TcpListener,
) {
    // Owns the connections' tasks, so that they are cancelled together with this one.
    let mut connection_tasks = JoinSet::new();
    loop {
        let stream = listen::next(&listener, &mut connection_tasks).await;
        if endpoint.has_collapsed() || endpoint.is_in_outage(Outage::RefuseConnections) {
            let (sender, endpoint) = (sender.clone(), endpoint.id.clone());
            shared.event_log.record(Event::ConnectionRefused { sender, endpoint });
            reset_on_close(&stream);
            continue;
        }
        let Ok(permit) = endpoint.connections.clone().try_acquire_owned() else {
            reset_on_close(&stream);
            continue;
        };
        let (shared, endpoint, sender) = (shared.clone(), endpoint.clone(), sender.clone());
        connection_tasks.spawn(async move {
            serve(&shared, &endpoint, &sender, stream).await;
            drop(permit);
        });
    }
}

/// Serves a connection until it ends, or until an outage resets it.
async fn serve(shared: &Arc<Shared>, endpoint: &Arc<Endpoint>, sender: &str, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut outage = endpoint.outage.subscribe();
    // An unreachable endpoint sends no response, and its open connections are reset at the end of the outage. It still
    // reads, because a call that the sender has cancelled would count as in flight otherwise.
    let mut is_unreachable = is_of_kind(*outage.borrow_and_update(), Outage::Unreachable);
    let Ok((reset_handle, stream)) = duplicate(stream) else { return };
    let activity = Arc::new(Notify::new());
    let service = service_fn(|request| {
        activity.notify_one();
        requests::handle(shared.clone(), endpoint.clone(), sender.to_owned(), request)
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let mut serving = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        tokio::select! {
            _ = serving.as_mut() => return,
            changed = outage.changed() => {
                if changed.is_err() {
                    return;
                }
                let active = *outage.borrow_and_update();
                if is_unreachable || is_of_kind(active, Outage::RefuseConnections) {
                    break;
                }
                is_unreachable = is_of_kind(active, Outage::Unreachable);
            }
            () = wait_until_idle(&activity) => return,
        }
    }
    let _ = SockRef::from(&reset_handle).set_linger(Some(Duration::ZERO));
}

/// Splits off a second handle of a stream's socket, by which the connection can be reset while it is served.
fn duplicate(stream: TcpStream) -> std::io::Result<(std::net::TcpStream, TcpStream)> {
    let stream = stream.into_std()?;
    let handle = stream.try_clone()?;
    Ok((handle, TcpStream::from_std(stream)?))
}

/// Returns when no request has arrived for [`IDLE_TIMEOUT`].
async fn wait_until_idle(activity: &Notify) {
    while tokio::time::timeout(IDLE_TIMEOUT, activity.notified()).await.is_ok() {}
}
