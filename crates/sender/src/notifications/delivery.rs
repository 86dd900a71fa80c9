//! Sends notifications to the platform and handles the responses.
//!
//! A request without a response is repeated on another connection, because a notification may be received twice but
//! must not be late. A late response to an earlier request still acknowledges its notifications.

use std::net::SocketAddr;
use std::time::Duration;

use rudderspindle_journal::MessageId;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::request::{Connection, post};
use super::{Notifications, QueuedNotification};
use crate::event::Input;
use crate::platform::HttpError;

/// Time from the first request to the second. The interval is doubled after each request, up to [`MAX_RETRY_INTERVAL`].
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time from a request to the next one.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a response. A newer request does not shorten the timeout of an earlier one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of notifications in one request.
const MAX_BATCH_LEN: usize = 200;

/// Sends pending notifications until they are acknowledged.
#[derive(Debug)]
pub(super) struct Delivery<'a> {
    notifications: &'a Notifications,
    address: watch::Receiver<SocketAddr>,
    engine: mpsc::Sender<Input>,
    requests: Requests,
}

/// An event of the delivery.
#[derive(Debug)]
enum DeliveryEvent {
    /// A notification was queued while the queue was empty.
    Pushed,
    /// The configured address has changed.
    AddressChanged,
    /// The next request is due.
    RequestDue,
    /// A request was acknowledged or failed.
    Completed(CompletedRequest),
    /// The task of a request panicked or was cancelled; the request is repeated.
    TaskFailed,
}

impl<'a> Delivery<'a> {
    pub(super) fn new(
        notifications: &'a Notifications,
        address: watch::Receiver<SocketAddr>,
        engine: mpsc::Sender<Input>,
    ) -> Self {
        Self { notifications, address, engine, requests: Requests::default() }
    }

    /// Runs until an acknowledgement cannot be reported because the engine has ended.
    pub(super) async fn run(mut self) {
        loop {
            let addr = self.current_address();
            match self.next_event().await {
                DeliveryEvent::Pushed | DeliveryEvent::AddressChanged | DeliveryEvent::TaskFailed => {}
                DeliveryEvent::RequestDue => self.send_batch(addr),
                DeliveryEvent::Completed(request) => match request.result {
                    Ok(connection) => {
                        let message_ids = self.acknowledge(&request.notification_numbers, connection);
                        let acknowledged = Input::NotificationsAcknowledged(message_ids);
                        if self.engine.send(acknowledged).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => self.schedule_retry(request.notification_numbers.len(), &error),
                },
            }
        }
    }

    /// The configured address. If the address has changed, requests to the old one are cancelled, and unacknowledged
    /// notifications are sent to the new one.
    fn current_address(&mut self) -> SocketAddr {
        if self.address.has_changed().unwrap_or(false) {
            self.requests = Requests::default();
        }
        *self.address.borrow_and_update()
    }

    async fn next_event(&mut self) -> DeliveryEvent {
        if self.notifications.is_idle() {
            // A change of the address is handled also while the queue is empty, because the idle connection is to the
            // old address.
            return tokio::select! {
                () = self.notifications.pushed.notified() => DeliveryEvent::Pushed,
                () = address_changed(&mut self.address) => DeliveryEvent::AddressChanged,
            };
        }
        tokio::select! {
            biased;
            () = address_changed(&mut self.address) => DeliveryEvent::AddressChanged,
            Some(joined) = self.requests.in_flight.join_next() => match joined {
                Ok(request) => DeliveryEvent::Completed(request),
                Err(_) => DeliveryEvent::TaskFailed,
            },
            () = sleep_until(self.requests.next_request_at) => DeliveryEvent::RequestDue,
        }
    }

    fn send_batch(&mut self, addr: SocketAddr) {
        let batch = self.notifications.batch(self.requests.max_batch_len);
        self.requests.send(addr, batch);
    }

    /// Removes acknowledged notifications from the queue, and cancels the other requests in flight, which repeat them.
    /// Returns the message ids of the removed notifications.
    fn acknowledge(&mut self, notification_numbers: &[u64], connection: Connection) -> Vec<MessageId> {
        self.requests = Requests { idle_connection: Some(connection), ..Requests::default() };
        self.notifications.acknowledge(notification_numbers)
    }

    fn schedule_retry(&mut self, notifications: usize, error: &HttpError) {
        let retry_interval = self.requests.retry_interval;
        if retry_interval == MIN_RETRY_INTERVAL * 2 {
            tracing::warn!(%error, notifications, "notifications were not acknowledged; retrying");
        }
        let retry_at = Instant::now() + retry_interval / 4;
        if matches!(error, HttpError::Status(_)) {
            // Each request contains one notification, in rotation, so that one which the platform rejects does not
            // delay the others.
            self.requests = Requests::one_by_one(retry_interval, retry_at);
            self.notifications.rotate();
        }
        self.requests.next_request_at = self.requests.next_request_at.min(retry_at);
    }
}

/// Waits until the address changes, and leaves the change marked as unseen. Never resolves after the sending half of
/// the channel `address` has been dropped.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    address.mark_changed();
}

/// A request that was acknowledged or failed.
#[derive(Debug)]
struct CompletedRequest {
    /// The numbers of the notifications in the request.
    notification_numbers: Vec<u64>,
    /// The connection, which is idle again, if the notifications were acknowledged.
    result: Result<Connection, HttpError>,
}

/// The requests in flight, and the time of the next one. Dropping this cancels the requests in flight.
#[derive(Debug)]
struct Requests {
    in_flight: JoinSet<CompletedRequest>,
    /// A connection without a request in flight.
    idle_connection: Option<Connection>,
    next_request_at: Instant,
    /// Time from the next request to the one after that.
    retry_interval: Duration,
    /// Maximum number of notifications in the next request.
    max_batch_len: usize,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            in_flight: JoinSet::new(),
            idle_connection: None,
            next_request_at: Instant::now(),
            retry_interval: MIN_RETRY_INTERVAL,
            max_batch_len: MAX_BATCH_LEN,
        }
    }
}

impl Requests {
    /// No request is in flight, and later requests contain one notification each.
    fn one_by_one(retry_interval: Duration, next_request_at: Instant) -> Self {
        Self { retry_interval, next_request_at, max_batch_len: 1, ..Self::default() }
    }

    /// Spawns a request; it is cancelled when [`Requests`] is dropped.
    fn send(&mut self, addr: SocketAddr, batch: Vec<QueuedNotification>) {
        let idle_connection = self.idle_connection.take();
        self.next_request_at = Instant::now() + self.retry_interval;
        self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
        self.in_flight.spawn_local(async move {
            let response = timeout(RESPONSE_TIMEOUT, post(addr, idle_connection, &batch)).await;
            let notification_numbers = batch.iter().map(|queued| queued.number).collect();
            CompletedRequest { notification_numbers, result: response.unwrap_or(Err(HttpError::TimedOut)) }
        });
    }
}
