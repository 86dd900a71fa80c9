//! The floor that the HTTP library sets: a relay without journal and decisions. It answers 202 once a message is
//! whole, and posts it to its destination on a kept connection.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

type Kept = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;

/// Relays to these addresses until it is killed; prints where it listens.
pub fn run(to: &[SocketAddr]) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        println!("{}", listener.local_addr()?);
        let kept: Rc<Vec<(SocketAddr, Kept)>> =
            Rc::new(to.iter().map(|addr| (*addr, Kept::default())).collect());
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let kept = kept.clone();
            spawn_local(async move {
                let service = service_fn(|request| take(request, kept.clone()));
                let builder = hyper::server::conn::http1::Builder::new();
                let _ = builder.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn take(
    request: Request<Incoming>,
    kept: Rc<Vec<(SocketAddr, Kept)>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let to: Option<usize> = text("x-route-to").and_then(|v| v.strip_prefix("dest=")?.parse().ok());
    let txn = text("x-txn").unwrap_or_default().to_owned();
    let (status, answer) = match (to.filter(|to| *to < kept.len()), body.collect().await) {
        (Some(to), Ok(body)) => {
            spawn_local(async move {
                let (addr, kept) = &kept[to];
                let _ = post(*addr, kept, &txn, body.to_bytes()).await;
            });
            (StatusCode::ACCEPTED, "taken on")
        }
        _ => (StatusCode::BAD_REQUEST, "no"),
    };
    let mut reply = Response::new(Full::from(answer));
    *reply.status_mut() = status;
    Ok(reply)
}

async fn post(
    addr: SocketAddr,
    kept: &Kept,
    txn: &str,
    body: Bytes,
) -> Result<(), Box<dyn std::error::Error>> {
    let free = kept.borrow_mut().pop();
    let mut sender = match free {
        Some(sender) if !sender.is_closed() => sender,
        _ => {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            spawn_local(connection);
            sender
        }
    };
    let request = Request::post("/v1/messages").header("host", addr.to_string()).header("x-txn", txn);
    let response = sender.send_request(request.body(Full::new(body))?).await?;
    response.into_body().collect().await?;
    sender.ready().await?;
    kept.borrow_mut().push(sender);
    Ok(())
}
