//! When notifications are sent, and what follows from each response.
//!
//! A response normally comes at once. Without one the request is repeated on another connection: a repeated notification
//! does no harm, and a late one is lost. Earlier requests are still waited for, as a busy platform responds late.

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

/// Time from the first request to its repetition; doubled for each further one up to [`MAX_RETRY_INTERVAL`].
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time from a request to its repetition.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long a response is waited for, beside newer requests.
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

/// What happens next.
#[derive(Debug)]
enum DeliveryEvent {
    /// The queue is no longer empty.
    Pushed,
    /// The configuration names another address.
    AddressChanged,
    /// It is time for the next request.
    RequestDue,
    /// A request has ended.
    Completed(CompletedRequest),
    /// A request's task failed; the request is repeated in time.
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

    /// Runs until an acknowledgement cannot be reported, because the engine has ended.
    pub(super) async fn run(mut self) {
        loop {
            let addr = self.current_address();
            match self.next_event().await {
                DeliveryEvent::Pushed | DeliveryEvent::AddressChanged | DeliveryEvent::TaskFailed => {}
                DeliveryEvent::RequestDue => self.send_batch(addr),
                DeliveryEvent::Completed(request) => match request.result {
                    Ok(connection) => {
                        let message_ids = self.acknowledge(&request.numbers, connection);
                        let acknowledged = Input::NotificationsAcknowledged(message_ids);
                        if self.engine.send(acknowledged).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => self.schedule_retry(request.numbers.len(), &error),
                },
            }
        }
    }

    /// The address in force. When it has changed, requests to the old one are cancelled: what that has not acknowledged is
    /// sent to the new one.
    fn current_address(&mut self) -> SocketAddr {
        if self.address.has_changed().unwrap_or(false) {
            self.requests = Requests::default();
        }
        *self.address.borrow_and_update()
    }

    async fn next_event(&mut self) -> DeliveryEvent {
        if self.notifications.is_idle() {
            // The address is followed also while idle: the idle connection is the old address's.
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
            () = sleep_until(self.requests.next_at) => DeliveryEvent::RequestDue,
        }
    }

    fn send_batch(&mut self, addr: SocketAddr) {
        let batch = self.notifications.batch(self.requests.max_batch_len);
        self.requests.send(addr, batch);
    }

    /// Removes acknowledged notifications from the queue. Other requests in flight are cancelled, as they repeat them.
    fn acknowledge(&mut self, numbers: &[u64], connection: Connection) -> Vec<MessageId> {
        self.requests = Requests { idle_connection: Some(connection), ..Requests::default() };
        self.notifications.acknowledge(numbers)
    }

    fn schedule_retry(&mut self, notifications: usize, error: &HttpError) {
        let retry_interval = self.requests.retry_interval;
        if retry_interval == MIN_RETRY_INTERVAL * 2 {
            tracing::warn!(%error, notifications, "notifications were not acknowledged; retrying");
        }
        let retry_at = Instant::now() + retry_interval / 4;
        if matches!(error, HttpError::Status(_)) {
            // One that the platform cannot read must not delay the others: one at a time, in rotation.
            self.requests = Requests::one_by_one(retry_interval, retry_at);
            self.notifications.rotate();
        }
        self.requests.next_at = self.requests.next_at.min(retry_at);
    }
}

/// Waits until the address changes, and leaves the change to be seen. Without an owner it can no longer change.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    address.mark_changed();
}

/// A request that has ended.
#[derive(Debug)]
struct CompletedRequest {
    /// The numbers of its notifications.
    numbers: Vec<u64>,
    /// The connection that it was acknowledged on.
    result: Result<Connection, HttpError>,
}

/// Requests in flight, and when the next one is due. Dropping it cancels them.
#[derive(Debug)]
struct Requests {
    in_flight: JoinSet<CompletedRequest>,
    idle_connection: Option<Connection>,
    next_at: Instant,
    /// Time from the next request to the one after it.
    retry_interval: Duration,
    max_batch_len: usize,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            in_flight: JoinSet::new(),
            idle_connection: None,
            next_at: Instant::now(),
            retry_interval: MIN_RETRY_INTERVAL,
            max_batch_len: MAX_BATCH_LEN,
        }
    }
}

impl Requests {
    /// Requests with one notification each.
    fn one_by_one(retry_interval: Duration, next_at: Instant) -> Self {
        Self { retry_interval, next_at, max_batch_len: 1, ..Self::default() }
    }

    /// Starts a request; it is cancelled with [`Requests`].
    fn send(&mut self, addr: SocketAddr, batch: Vec<QueuedNotification>) {
        let idle_connection = self.idle_connection.take();
        self.next_at = Instant::now() + self.retry_interval;
        self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
        self.in_flight.spawn_local(async move {
            let response = timeout(RESPONSE_TIMEOUT, post(addr, idle_connection, &batch)).await;
            let numbers = batch.iter().map(|pending| pending.number).collect();
            CompletedRequest { numbers, result: response.unwrap_or(Err(HttpError::TimedOut)) }
        });
    }
}
