//! A receiver that processes a limited number of calls at once, over either protocol.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rudderspindle_testkit::scenario::SeededRng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use super::{Http2Arguments, Protocol, current_thread_runtime};

/// Maximum number of open streams of an HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 100;

/// A receiver that runs in its own thread until it is stopped.
pub(super) struct ReceiverThread {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<io::Result<()>>,
}

impl ReceiverThread {
    /// Starts a receiver on a free port.
    pub fn start(protocol: Protocol, seed: u64, arguments: &Http2Arguments) -> io::Result<Self> {
        let (addr_sender, addr) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let workers = usize::from(arguments.workers);
        let mean_service_time = f64::from(arguments.work_ms) / 1_000.0;
        let thread = thread::spawn(move || {
            let runtime = current_thread_runtime()?;
            LocalSet::new().block_on(&runtime, async {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let _ = addr_sender.send(listener.local_addr()?);
                let receiver = Rc::new(Receiver::new(workers, mean_service_time, seed));
                tokio::select! {
                    served = receiver.serve(listener, protocol) => served,
                    _ = stopped => Ok(()),
                }
            })
        });
        let addr = addr.recv().map_err(|_| io::Error::other("the receiver did not start"))?;
        Ok(Self { addr, stop, thread })
    }

    /// Stops the receiver and its connections.
    pub fn stop(self) -> io::Result<()> {
        drop(self.stop);
        self.thread.join().map_err(|_| io::Error::other("the receiver panicked"))?
    }
}

struct Receiver {
    workers: Semaphore,
    /// Mean service time of a call, s.
    mean_service_time: f64,
    rng: RefCell<SeededRng>,
}

impl Receiver {
    fn new(workers: usize, mean_service_time: f64, seed: u64) -> Self {
        Self { workers: Semaphore::new(workers), mean_service_time, rng: RefCell::new(SeededRng::new(seed)) }
    }

    async fn serve(self: Rc<Self>, listener: TcpListener, protocol: Protocol) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let this = self.clone();
            // The task ends with its connection, at the latest with the thread's `LocalSet`. A failed
            // connection is counted in the outcomes of its calls.
            match protocol {
                Protocol::Http2 => spawn_local(async move {
                    let _ = this.serve_http2(stream).await;
                }),
                Protocol::Http1 => spawn_local(async move {
                    let service = service_fn(|request: Request<Incoming>| this.answer(request));
                    let server = hyper::server::conn::http1::Builder::new();
                    let _ = server.serve_connection(TokioIo::new(stream), service).await;
                }),
            };
        }
    }

    /// Waits for a free worker, then for a service time that is uniform from 0.2 to 1.8 times the mean.
    async fn process(&self) {
        let _worker = self.workers.acquire().await;
        let factor = 0.2 + 1.6 * self.rng.borrow_mut().unit();
        sleep(Duration::from_secs_f64(self.mean_service_time * factor)).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let complete = request.into_body().collect().await.is_ok();
        self.process().await;
        let mut response = Response::new(Full::default());
        *response.status_mut() = if complete { StatusCode::CREATED } else { StatusCode::BAD_REQUEST };
        Ok(response)
    }

    async fn serve_http2(self: Rc<Self>, stream: TcpStream) -> Result<(), h2::Error> {
        let mut server = h2::server::Builder::new();
        server.max_concurrent_streams(MAX_CONCURRENT_STREAMS);
        let mut connection = server.handshake::<_, Bytes>(stream).await?;
        while let Some(request) = connection.accept().await {
            let (request, mut respond) = request?;
            let this = self.clone();
            // The task ends with its stream.
            spawn_local(async move {
                let mut body = request.into_body();
                while let Some(Ok(data)) = body.data().await {
                    let _ = body.flow_control().release_capacity(data.len());
                }
                this.process().await;
                let response = Response::builder().status(StatusCode::CREATED).body(()).expect("a response");
                let _ = respond.send_response(response, true);
            });
        }
        Ok(())
    }
}
