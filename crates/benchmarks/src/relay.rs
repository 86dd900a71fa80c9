//! The baseline of `load`: a relay on the same HTTP library, without a journal or a policy.
//!
//! It answers a complete message with 202, and posts it to its destination on a pooled connection.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

use crate::http1_pool::Http1Pool;

/// Relays to these destinations until the process is killed; prints its address.
///
/// # Errors
///
/// If it cannot listen, or accepting a connection fails.
pub fn run(addrs: &[SocketAddr]) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let destinations: Rc<[Rc<Http1Pool>]> =
            addrs.iter().map(|addr| Rc::new(Http1Pool::new(*addr))).collect();
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let destinations = destinations.clone();
            // The task ends with its connection.
            spawn_local(async move {
                let service = service_fn(|request| accept(request, destinations.clone()));
                let server = hyper::server::conn::http1::Builder::new();
                let _ = server.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn accept(
    request: Request<Incoming>,
    destinations: Rc<[Rc<Http1Pool>]>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let destination = destination_index(&head).and_then(|index| destinations.get(index).cloned());
    let message_id = header(&head, "x-txn").unwrap_or_default().to_owned();
    let (status, text) = match (destination, body.collect().await) {
        (Some(destination), Ok(body)) => {
            // The task ends with its call; a failed one loses the message, as the baseline has no journal.
            spawn_local(async move {
                let _ = post(&destination, &message_id, body.to_bytes()).await;
            });
            (StatusCode::ACCEPTED, "accepted")
        }
        _ => (StatusCode::BAD_REQUEST, "bad request"),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    Ok(response)
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn destination_index(head: &Parts) -> Option<usize> {
    header(head, "x-route-to")?.strip_prefix("dest=")?.parse().ok()
}

/// Posts a message to its destination.
async fn post(destination: &Http1Pool, message_id: &str, body: Bytes) -> Result<(), Box<dyn Error>> {
    let request = Request::post("/v1/messages")
        .header("host", destination.addr().to_string())
        .header("x-txn", message_id)
        .body(Full::new(body))?;
    destination.send(request).await?;
    Ok(())
}
