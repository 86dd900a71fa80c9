//! One session of the watch: fetches the full list if no revision is known, then receives changes on one connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::LOG_TARGET;
use super::client::{fetch_full_list, open_watch};
use super::decoder::{Decoder, WatchEvent};
use super::error::WatchError;
use crate::event::{EndpointList, Input};
use crate::platform::HttpError;

/// Maximum time between two events of a watch; discovery sends a heartbeat every 2 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum timeout of a request for the full list.
const MIN_FULL_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// The progress of the watch over all sessions.
#[derive(Debug)]
pub(super) struct WatchProgress {
    /// Revision of the last received list; `None` if the full list has to be fetched.
    pub(super) revision: Option<u64>,
    /// When the last request began or, on a watch, when the last event arrived.
    pub(super) last_activity: Instant,
    /// Whether an event arrived in the current session.
    pub(super) received_event: bool,
}

/// One session of the watch.
#[derive(Debug)]
pub(super) struct Session<'a> {
    /// The address of discovery.
    pub(super) addr: SocketAddr,
    /// Maximum time from a request until its response begins.
    pub(super) response_timeout: Duration,
    pub(super) progress: &'a mut WatchProgress,
    /// Sends the lists to the engine.
    pub(super) engine: &'a mpsc::Sender<Input>,
}

impl Session<'_> {
    /// Sends lists to the engine until the session ends; returns the reason.
    pub(super) async fn run(&mut self) -> WatchError {
        match self.watch().await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn watch(&mut self) -> Result<Infallible, WatchError> {
        self.progress.last_activity = Instant::now();
        let from = match self.progress.revision {
            Some(revision) => revision,
            None => self.deliver_full_list().await?,
        };
        tracing::debug!(target: LOG_TARGET, addr = %self.addr, from, "requesting changes");
        let response = open_watch(self.addr, from, self.response_timeout).await?;
        self.progress.last_activity = Instant::now();
        let mut body = response.body;
        let mut decoder = Decoder::default();
        loop {
            self.receive_frame(&mut body, &mut decoder).await?;
            while let Some(event) = decoder.next()? {
                self.handle_event(event).await?;
            }
        }
    }

    /// Fetches the full list and sends it to the engine; returns its revision.
    async fn deliver_full_list(&mut self) -> Result<u64, WatchError> {
        tracing::debug!(target: LOG_TARGET, addr = %self.addr, "requesting the full list");
        let list_timeout = self.response_timeout.max(MIN_FULL_LIST_TIMEOUT);
        let list = timeout(list_timeout, fetch_full_list(self.addr, self.response_timeout))
            .await
            .map_err(|_| HttpError::TimedOut)??;
        let revision = list.revision;
        self.deliver(list).await?;
        self.progress.last_activity = Instant::now();
        Ok(revision)
    }

    /// Feeds the next frame of the body to the decoder. The idle timeout runs from the last complete event; bytes of an
    /// incomplete event do not restart it.
    async fn receive_frame(&self, body: &mut Incoming, decoder: &mut Decoder) -> Result<(), WatchError> {
        let idle_at = self.progress.last_activity + WATCH_IDLE_TIMEOUT;
        let frame = timeout_at(idle_at, body.frame()).await.map_err(|_| HttpError::TimedOut)?;
        let frame = frame.ok_or(WatchError::Ended)?.map_err(HttpError::from)?;
        if let Some(data) = frame.data_ref() {
            decoder.feed(data);
        }
        Ok(())
    }

    async fn handle_event(&mut self, event: WatchEvent) -> Result<(), WatchError> {
        self.progress.received_event = true;
        self.progress.last_activity = Instant::now();
        let WatchEvent::List(list) = event else { return Ok(()) };
        let (members, complete) = (list.members.len(), list.complete);
        tracing::debug!(target: LOG_TARGET, revision = list.revision, members, complete, "list received");
        self.deliver(list).await
    }

    /// Sends a list to the engine; later sessions start at its revision.
    async fn deliver(&mut self, list: EndpointList) -> Result<(), WatchError> {
        self.progress.revision = Some(list.revision);
        self.engine.send(Input::List(list)).await.map_err(|_| WatchError::EngineClosed)
    }
}
