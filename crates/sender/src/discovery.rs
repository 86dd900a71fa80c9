//! The list of receivers: watches discovery and passes on what changes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use self::decoder::{DecodeError, Decoder, Item, LONGEST_LIST};
use crate::event::{EndpointList, Input};
use crate::platform::{Driver, HttpError, connect};
use crate::poll_schedule::PollSchedule;

mod decoder;

/// An empty line comes every 2 s: a watch that says nothing for so long is dead.
const SILENCE: Duration = Duration::from_secs(3);
/// For so long a start waits for the list: a silent discovery must not hold it up.
const FETCH: Duration = Duration::from_millis(250);
/// For so long a whole list may be under way at least, once its answer has begun in time.
const WHOLE: Duration = Duration::from_secs(1);
/// The log's target for each request and what it brought.
const LOG: &str = "discovery";

#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("the watch ended")]
    Ended,
    #[error("a list that is not whole")]
    Incomplete,
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
}

/// The whole list as the agent has it, if it answers soon enough for a start to wait for it.
pub async fn fetch(addr: SocketAddr) -> Option<EndpointList> {
    match timeout(FETCH, whole_list(addr, FETCH)).await.unwrap_or(Err(HttpError::Silent.into())) {
        Ok(list) => Some(list),
        Err(error) => {
            tracing::warn!("discovery: {error}; starting with the list as last known");
            None
        }
    }
}

async fn whole_list(addr: SocketAddr, patience: Duration) -> Result<EndpointList, WatchError> {
    let (response, _connection) = get(addr, "/api/targets", patience).await?;
    let body = Limited::new(response.into_body(), LONGEST_LIST).collect().await;
    let body = body.map_err(|_| DecodeError::TooLong)?.to_bytes();
    let list: EndpointList = serde_json::from_slice(&body).map_err(DecodeError::from)?;
    if list.complete { Ok(list) } else { Err(WatchError::Incomplete) }
}

/// A request on a connection of its own, which ends when the task is dropped; its answer has to begin in time.
async fn get(
    addr: SocketAddr,
    path: &str,
    patience: Duration,
) -> Result<(Response<Incoming>, Driver), HttpError> {
    timeout(patience, get_in_time(addr, path)).await.map_err(|_| HttpError::Silent)?
}

async fn get_in_time(addr: SocketAddr, path: &str) -> Result<(Response<Incoming>, Driver), HttpError> {
    let (mut sender, driver) = connect(addr).await?;
    let request = Request::get(path).header(header::HOST, addr.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(HttpError::Status(response.status()));
    }
    Ok((response, driver))
}

/// How far a watcher has come.
#[derive(Debug)]
struct Progress {
    /// The revision of the last list; none, if only the whole list can say what has changed since.
    revision: Option<u64>,
    /// When the last request began or, on a watch, when it last said something. What changed before is known by then,
    /// or was not to be had.
    since: Instant,
    /// Whether the last connection has said anything.
    heard: bool,
}

/// Watches for good, at the address that is in force: from `revision` on, or from the whole list on.
pub async fn watch(
    mut addr: watch::Receiver<SocketAddr>,
    revision: Option<u64>,
    mut pace: PollSchedule,
    host: mpsc::Sender<Input>,
) {
    let mut pause = pace.at_start();
    let mut progress = Progress { revision, since: Instant::now(), heard: false };
    loop {
        progress.heard = false;
        let at = *addr.borrow_and_update();
        let patience = pace.patience();
        let turn = async {
            sleep(pause).await;
            session(at, patience, &mut progress, &host).await
        };
        let error = tokio::select! {
            biased;
            moved = addr.changed() => {
                if moved.is_err() {
                    return;
                }
                // The session that has just been dropped was the old address's. Another one's revisions say
                // nothing about what has changed since ours: only the whole list does. Many move together: each
                // waits for its turn there, too.
                progress.revision = None;
                pace.heard();
                pause = pace.at_start();
                continue;
            }
            end = turn => match end {
                Err(error) => error,
                Ok(()) => return,
            },
        };
        if matches!(error, WatchError::Unreadable(_)) {
            // A change was missed: only the whole list mends that.
            progress.revision = None;
        }
        let spent = progress.since.elapsed();
        pause = if progress.heard {
            tracing::warn!("discovery: {error}; watching again");
            pace.heard();
            pace.after(spent)
        } else {
            tracing::debug!(target: LOG, %at, "no list: {error}");
            match error {
                WatchError::Http(HttpError::Status(_)) => pace.after_refusal(spent),
                _ => pace.after(spent),
            }
        };
    }
}

/// One connection's watch; ends well only when the host is gone.
async fn session(
    addr: SocketAddr,
    patience: Duration,
    progress: &mut Progress,
    host: &mpsc::Sender<Input>,
) -> Result<(), WatchError> {
    progress.since = Instant::now();
    let from = match progress.revision {
        Some(revision) => revision,
        None => {
            tracing::debug!(target: LOG, %addr, "asks for the whole list");
            let list = timeout(patience.max(WHOLE), whole_list(addr, patience))
                .await
                .map_err(|_| HttpError::Silent)??;
            let from = *progress.revision.insert(list.revision);
            if host.send(Input::List(list)).await.is_err() {
                return Ok(());
            }
            progress.since = Instant::now();
            from
        }
    };
    tracing::debug!(target: LOG, %addr, from, "asks for changes");
    let path = format!("/api/targets?watch=1&from={from}");
    // The connection lives as long as this session does.
    let (response, _connection) = get(addr, &path, patience).await?;
    progress.since = Instant::now();
    let mut body = response.into_body();
    let mut decoder = Decoder::default();
    loop {
        // Heard is what is whole: bytes of a list that never ends say nothing.
        let frame =
            timeout_at(progress.since + SILENCE, body.frame()).await.map_err(|_| HttpError::Silent)?;
        let frame = frame.ok_or(WatchError::Ended)?.map_err(HttpError::from)?;
        let Some(data) = frame.data_ref() else { continue };
        decoder.feed(data);
        while let Some(item) = decoder.next()? {
            (progress.heard, progress.since) = (true, Instant::now());
            let Item::List(list) = item else { continue };
            let (members, complete) = (list.members.len(), list.complete);
            tracing::debug!(target: LOG, revision = list.revision, members, complete, "told");
            progress.revision = Some(list.revision);
            if host.send(Input::List(list)).await.is_err() {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
mod tests;
