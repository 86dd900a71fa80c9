//! A scripted platform: serves the endpoint list and watches, and receives notifications.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::Value;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::http_server::{Reply, listen, reply, serve};
use super::notification::{Notification, NotificationRequest};
use super::with_timeout;
use crate::line_body::LineBody;

/// A watch of the endpoint list that a sender has begun.
#[derive(Debug)]
pub struct Watch {
    /// Query of the request, such as `watch=1&from=7`.
    pub query: String,
    /// Lines to send on the watch, which ends when this is dropped.
    pub lines: UnboundedSender<String>,
}

/// A platform with scripted responses.
#[derive(Debug)]
pub struct FakePlatform {
    /// Address at which senders reach the platform.
    pub addr: SocketAddr,
    watches: UnboundedReceiver<Watch>,
    notifications: UnboundedReceiver<NotificationRequest>,
    statuses: Arc<Mutex<VecDeque<u16>>>,
    /// The complete endpoint list, for requests without a query; the response is empty while it is `None`.
    list: Arc<Mutex<Option<Value>>>,
}

/// State of a platform that its HTTP server uses.
#[derive(Clone)]
struct Server {
    watches: UnboundedSender<Watch>,
    notifications: UnboundedSender<NotificationRequest>,
    statuses: Arc<Mutex<VecDeque<u16>>>,
    list: Arc<Mutex<Option<Value>>>,
}

impl Server {
    async fn answer(self, request: Request<Incoming>) -> Option<Reply> {
        if request.uri().path() == "/reports" {
            return self.accept_notifications(request).await;
        }
        let Some(query) = request.uri().query() else {
            let list = self.list.lock().expect("a list").clone();
            let text = list.map_or(String::new(), |list| list.to_string());
            return Some(Response::new(Full::from(text).boxed()));
        };
        let (lines, body) = unbounded_channel();
        self.watches.send(Watch { query: query.to_owned(), lines }).ok()?;
        Some(Response::new(LineBody(body).boxed()))
    }

    async fn accept_notifications(self, request: Request<Incoming>) -> Option<Reply> {
        let body = request.into_body().collect().await.ok()?.to_bytes();
        let lines = body.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
        let parsed = lines.map(|line| serde_json::from_slice::<Value>(line).expect("JSON"));
        let notifications = parsed.map(|line| Notification::from(&line)).collect();
        let status = self.statuses.lock().expect("the statuses").pop_front().unwrap_or(204);
        self.notifications.send(NotificationRequest { notifications, status }).ok()?;
        Some(reply(status))
    }
}

impl FakePlatform {
    /// Starts a platform that has no list yet.
    pub async fn start() -> Self {
        let (listener, addr) = listen().await;
        let (watch_sender, watches) = unbounded_channel();
        let (notification_sender, notifications) = unbounded_channel();
        let statuses = Arc::new(Mutex::new(VecDeque::new()));
        let list = Arc::new(Mutex::new(None::<Value>));
        let server = Server {
            watches: watch_sender,
            notifications: notification_sender,
            statuses: statuses.clone(),
            list: list.clone(),
        };
        serve(listener, move |request| server.clone().answer(request));
        Self { addr, watches, notifications, statuses, list }
    }

    /// Adds statuses of the next responses to notifications. Responses after the last one have 204.
    pub fn script_statuses(&self, statuses: &[u16]) {
        self.statuses.lock().expect("the statuses").extend(statuses);
    }

    /// Sets the complete endpoint list.
    pub fn set_list(&self, list: Value) {
        *self.list.lock().expect("a list") = Some(list);
    }

    /// Waits for the next watch.
    pub async fn next_watch(&mut self) -> Watch {
        with_timeout("a watch", self.watches.recv()).await.expect("a platform")
    }

    /// Waits for the next request with notifications.
    pub async fn next_notifications(&mut self) -> NotificationRequest {
        with_timeout("a notification", self.notifications.recv()).await.expect("a platform")
    }

    /// Whether all requests with notifications that have arrived were returned by [`Self::next_notifications`].
    pub fn has_no_notifications(&mut self) -> bool {
        self.notifications.try_recv().is_err()
    }
}
