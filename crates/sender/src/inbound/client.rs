//! What is known of one client's connection: whether a request is open, until when the next one must have come, and
//! which answer its client is owed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection_slots::ClientId;
use crate::graceful_close;
use crate::write_progress::{Socket, WriteProgress};

/// So long after it connected a client's first request must have come, whole.
const FIRST_REQUEST: Duration = Duration::from_millis(2_300);
/// A later request must have come whole so long after its first byte. Bytes that trickle do not extend it.
const NEXT_REQUEST: Duration = Duration::from_millis(2_300);
/// A connection with no request open is kept so long for the next one, while others do not need its place.
const KEPT: Duration = Duration::from_secs(5);

/// A client's connection.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) id: ClientId,
    /// Since when it has had no request open, and whether it ever had one.
    rests_since: Cell<Instant>,
    known: Cell<bool>,
    /// Whether a request has come whole and is not answered.
    pub(super) asked: Cell<bool>,
    pub(super) closing: Notify,
    /// Its place is needed: it is not waited for at its end.
    pub(super) hurry: Notify,
    pub(super) socket: Socket,
    pub(super) owed: OwedAnswer,
}

impl Client {
    pub(super) fn new(id: ClientId, stream: TcpStream) -> Self {
        Self {
            id,
            rests_since: Cell::new(Instant::now()),
            known: Cell::new(false),
            asked: Cell::new(false),
            closing: Notify::new(),
            hurry: Notify::new(),
            socket: Rc::new(RefCell::new(stream)),
            owed: OwedAnswer::default(),
        }
    }

    pub(super) fn close(&self) {
        self.closing.notify_one();
    }

    /// Its descriptor is needed for another.
    pub(super) fn close_now(&self) {
        self.hurry.notify_one();
        self.close();
    }

    /// Whether bytes have come that were not read.
    pub(super) fn has_unread(&self) -> bool {
        graceful_close::has_unread(&self.socket)
    }

    /// A request has its answer; the next one may come.
    pub(super) fn rest(&self) {
        self.asked.set(false);
        self.known.set(true);
        self.rests_since.set(Instant::now());
        self.owed.write_progress.listen();
    }

    /// When the request that is coming, or that may come, must be there.
    pub(super) fn due(&self) -> Instant {
        match self.owed.write_progress.heard() {
            _ if !self.known.get() => self.rests_since.get() + FIRST_REQUEST,
            Some(at) => at + NEXT_REQUEST,
            None => self.rests_since.get() + KEPT,
        }
    }

    /// Whether it has had an answer, and nothing of a further request has come.
    pub(super) fn at_rest(&self) -> bool {
        self.known.get() && !self.asked.get() && self.owed.write_progress.heard().is_none()
    }

    pub(super) fn overdue(&self, now: Instant) -> bool {
        !self.asked.get() && self.due() <= now
    }
}

/// The last hand-in of a connection that the host has, and whether its 202 was written.
#[derive(Debug, Default)]
pub(super) struct OwedAnswer {
    pub(super) number: Cell<Option<u64>>,
    /// Whether the meter counts the 202.
    ready: Cell<bool>,
    pub(super) write_progress: Rc<WriteProgress>,
}

impl OwedAnswer {
    pub(super) fn hand_in(&self, number: u64) {
        self.ready.set(false);
        self.number.set(Some(number));
    }

    pub(super) fn accept(&self) {
        self.write_progress.reset();
        self.ready.set(true);
    }

    /// The hand-in whose client has heard nothing.
    pub(super) fn unheard(&self) -> Option<u64> {
        self.number.get().filter(|_| !(self.ready.get() && self.write_progress.started()))
    }
}
