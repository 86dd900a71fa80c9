//! Notices to the platform: how messages ended that were taken on and not delivered.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, StatusCode, header};
use rudderspindle_journal::{Notice, Status};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::event::Input;
use crate::platform::{Driver, HttpError, connect};

/// An answer comes at once. Without one the request is made again on another connection, at first after this and
/// then after twice as long: what the platform hears again does no harm, and what it hears late is lost.
const FIRST_GAP: Duration = Duration::from_millis(100);
const LONGEST_GAP: Duration = Duration::from_millis(200);
/// An answer that comes late, from a platform with much to do, is waited for beside newer requests.
const PATIENCE: Duration = Duration::from_secs(2);
/// Notices in one request.
const MOST: usize = 200;

/// Notices not yet acknowledged. No longer than the journal has room for.
#[derive(Debug, Default)]
pub struct Notifications {
    /// Each with a number of its own: an id may come back.
    queue: RefCell<VecDeque<(u64, Notice)>>,
    pushed: Cell<u64>,
    more: Notify,
}

impl Notifications {
    pub fn push(&self, notice: Notice) {
        let number = self.pushed.get();
        self.pushed.set(number + 1);
        self.queue.borrow_mut().push_back((number, notice));
        self.more.notify_one();
    }

    /// Whether everything has been acknowledged.
    pub fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Sends what is queued, again and again until it is acknowledged with 204; always to the address that is
    /// in force.
    pub async fn run(&self, mut addr: watch::Receiver<SocketAddr>, host: mpsc::Sender<Input>) {
        let mut requests = Requests::default();
        loop {
            if addr.has_changed().unwrap_or(false) {
                // What the old address has not acknowledged goes to the new one.
                requests = Requests::default();
            }
            let at = *addr.borrow_and_update();
            let moved = async {
                // If nobody can move it any more, the program is about to end.
                if addr.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
                addr.mark_changed();
            };
            if self.is_idle() {
                // Also while idle: the kept connection is the old address's.
                tokio::select! {
                    () = self.more.notified() => {}
                    () = moved => {}
                }
                continue;
            }
            let ended = tokio::select! {
                biased;
                () = moved => continue,
                Some(ended) = requests.out.join_next() => ended,
                () = sleep_until(requests.due) => {
                    let most = if requests.one_by_one { 1 } else { MOST };
                    requests.begin(at, self.queue.borrow().iter().take(most).cloned().collect());
                    continue;
                }
            };
            let Ok((numbers, result)) = ended else { continue };
            match result {
                Ok(connection) => {
                    let mut settled = Vec::new();
                    self.queue.borrow_mut().retain(|(number, notice)| {
                        let open = !numbers.contains(number);
                        if !open {
                            settled.push(notice.message_id.clone());
                        }
                        open
                    });
                    requests = Requests { kept: Some(connection), ..Requests::default() };
                    if host.send(Input::NotificationsAcknowledged(settled)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    if requests.gap == FIRST_GAP * 2 {
                        tracing::warn!("reports: {} notices not taken: {error}; trying again", numbers.len());
                    }
                    if matches!(error, HttpError::Status(_)) {
                        // One that can't be read must not hold up the others: one at a time, in turn.
                        requests = Requests { one_by_one: true, gap: requests.gap, ..Requests::default() };
                        self.queue.borrow_mut().rotate_left(1);
                        requests.due = Instant::now() + requests.gap / 4;
                    }
                    requests.due = requests.due.min(Instant::now() + requests.gap / 4);
                }
            }
        }
    }
}

/// What is out of requests with notices, and when the next begins.
#[derive(Debug)]
struct Requests {
    out: JoinSet<(Vec<u64>, Result<Kept, HttpError>)>,
    kept: Option<Kept>,
    due: Instant,
    /// From the next one to the one after it.
    gap: Duration,
    one_by_one: bool,
}

impl Default for Requests {
    fn default() -> Self {
        let (out, due) = (JoinSet::new(), Instant::now());
        Self { out, kept: None, due, gap: FIRST_GAP, one_by_one: false }
    }
}

impl Requests {
    fn begin(&mut self, at: SocketAddr, batch: Vec<(u64, Notice)>) {
        let kept = self.kept.take();
        self.due = Instant::now() + self.gap;
        self.gap = (self.gap * 2).min(LONGEST_GAP);
        self.out.spawn_local(async move {
            let sent = timeout(PATIENCE, post(at, kept, &batch)).await;
            (batch.iter().map(|(number, _)| *number).collect(), sent.unwrap_or(Err(HttpError::Silent)))
        });
    }
}

/// The connection that is kept, and the task that drives it.
type Kept = (SendRequest<Full<Bytes>>, Driver);

async fn post(addr: SocketAddr, kept: Option<Kept>, batch: &[(u64, Notice)]) -> Result<Kept, HttpError> {
    let (mut sender, driver) = match kept.filter(|k| !k.0.is_closed()) {
        Some(kept) => kept,
        None => connect(addr).await?,
    };
    let mut lines = String::new();
    for (_, notice) in batch {
        let id = &*notice.message_id;
        let line = match notice.status {
            Status::Undeliverable => serde_json::json!({ "id": id, "status": "undeliverable" }),
            Status::Deferred(None) => serde_json::json!({ "id": id, "status": "deferred" }),
            Status::Deferred(Some(ms)) => {
                serde_json::json!({ "id": id, "status": "deferred", "again_ms": ms })
            }
        };
        lines.push_str(&line.to_string());
        lines.push('\n');
    }
    sender.ready().await?;
    let request = Request::post("/reports").header(header::HOST, addr.to_string()).body(Full::from(lines))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    if status != StatusCode::NO_CONTENT {
        return Err(HttpError::Status(status));
    }
    response.into_body().collect().await?;
    Ok((sender, driver))
}

#[cfg(test)]
mod tests;
