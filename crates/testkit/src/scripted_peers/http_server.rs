//! An HTTP/1.1 server whose responses are returned by a function.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

pub(super) type Reply = Response<BoxBody<Bytes, std::convert::Infallible>>;

/// A response with a status and an empty body.
pub(super) fn reply(status: u16) -> Reply {
    let mut reply = Response::new(Full::default().boxed());
    *reply.status_mut() = StatusCode::from_u16(status).expect("a status");
    reply
}

/// Listens on a free port of loopback; returns the listener and its address.
pub(super) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Serves all connections with the responses of `answer`; `None` closes the connection without a response. The task ends
/// with the runtime.
pub(super) fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Option<Reply>> + Send + 'static,
{
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answer = answer(request);
                    async move { answer.await.ok_or("no response") }
                });
                let server = hyper::server::conn::http1::Builder::new();
                let _ = server.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
}
