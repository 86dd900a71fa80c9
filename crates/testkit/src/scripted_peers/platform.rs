//! A scripted platform: discovery, and the place for notifications.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response};
use serde_json::Value;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::http_server::{Reply, listen, reply, serve};
use super::soon;

/// A platform whose responses the test gives.
#[derive(Debug)]
pub struct FakePlatform {
    /// Its address.
    pub addr: SocketAddr,
    /// Each watch: its query, and where its lines go. Dropping that ends the watch.
    pub watches: UnboundedReceiver<(String, UnboundedSender<String>)>,
    /// Each request with notifications, and the status of its response.
    pub reports: UnboundedReceiver<(Vec<Value>, u16)>,
    statuses: Arc<Mutex<VecDeque<u16>>>,
    /// The whole list, for requests without a query.
    pub list: Arc<Mutex<Option<Value>>>,
}

/// The server's side of a platform.
#[derive(Clone)]
struct Server {
    watch_to: UnboundedSender<(String, UnboundedSender<String>)>,
    report_to: UnboundedSender<(Vec<Value>, u16)>,
    statuses: Arc<Mutex<VecDeque<u16>>>,
    list: Arc<Mutex<Option<Value>>>,
}

impl Server {
    async fn answer(self, request: Request<Incoming>) -> Option<Reply> {
        if request.uri().path() == "/reports" {
            return self.accept_report(request).await;
        }
        let Some(query) = request.uri().query() else {
            let list = self.list.lock().expect("a list").clone();
            let text = list.map_or(String::new(), |list| list.to_string());
            return Some(Response::new(Full::from(text).boxed()));
        };
        let (lines, body) = unbounded_channel();
        self.watch_to.send((query.to_owned(), lines)).ok()?;
        Some(Response::new(LinesBody(body).boxed()))
    }

    async fn accept_report(self, request: Request<Incoming>) -> Option<Reply> {
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let lines = body.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
        let notifications = lines.map(|line| serde_json::from_slice(line).expect("JSON")).collect();
        let status = self.statuses.lock().expect("the statuses").pop_front().unwrap_or(204);
        self.report_to.send((notifications, status)).ok()?;
        Some(reply(status))
    }
}

/// A response body of lines that come over a channel.
struct LinesBody(UnboundedReceiver<String>);

impl Body for LinesBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(Bytes::from(line + "\n")))))
    }
}

impl FakePlatform {
    /// Starts a platform that has no list yet.
    pub async fn start() -> Self {
        let (listener, addr) = listen().await;
        let (watch_to, watches) = unbounded_channel();
        let (report_to, reports) = unbounded_channel();
        let statuses = Arc::new(Mutex::new(VecDeque::new()));
        let list = Arc::new(Mutex::new(None::<Value>));
        let server = Server { watch_to, report_to, statuses: statuses.clone(), list: list.clone() };
        serve(listener, move |request| server.clone().answer(request));
        Self { addr, watches, reports, statuses, list }
    }

    /// Sets the statuses of the next responses to notifications; after these it is 204.
    pub fn answer_reports(&self, statuses: &[u16]) {
        self.statuses.lock().expect("the statuses").extend(statuses);
    }

    /// The next watch: its query, and where its lines go.
    pub async fn watch(&mut self) -> (String, UnboundedSender<String>) {
        soon("a watch", self.watches.recv()).await.expect("a platform")
    }

    /// The next request with notifications: their ids and states, and the status of its response.
    pub async fn report(&mut self) -> (Vec<(String, String)>, u16) {
        let (notifications, status) = soon("a notice", self.reports.recv()).await.expect("a platform");
        let text = |value: &Value, key: &str| value[key].as_str().unwrap_or_default().to_owned();
        (notifications.iter().map(|line| (text(line, "id"), text(line, "status"))).collect(), status)
    }

    /// Whether no further notification has come.
    pub fn nothing_reported(&mut self) -> bool {
        self.reports.try_recv().is_err()
    }
}
