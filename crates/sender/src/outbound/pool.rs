//! Connections to receivers, and those of them that are kept for further calls.

use super::outcome::End;
use super::*;

/// An idle connection is given up so long before the receiver closes it, as its clock started earlier than
/// ours: when it wrote its answer.
pub(super) const IDLE_MARGIN: Duration = Duration::from_secs(2);

impl Outbound {
    /// The connection that was used last: the others may then grow old and go.
    pub(super) fn kept(&self, route: RouteId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&route)?;
        while let Some(mut connection) = kept.pop() {
            if connection.config(now, self.idle_time) {
                connection.at_rest = false;
                return Some(connection);
            }
        }
        None
    }

    /// Nothing is under way on this connection: it is kept, or closed.
    pub(super) fn keep(&self, route: RouteId, mut connection: Connection) {
        connection.at_rest = true;
        // The receiver may have moved while the call was out.
        let serves = |r: &Route| r.listing == Listing::Ready && r.addr == Some(connection.addr);
        let ready = self.routes.borrow().get(&route).is_some_and(serves);
        if ready && !connection.sender.is_closed() {
            connection.limit_unacknowledged(None);
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(route).or_default().push(connection);
        }
    }

    pub(super) async fn connect(&self, addr: SocketAddr, until: Instant) -> Result<Connection, End> {
        let permit = match self.sockets.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // The place of the one that is closed is free once its task has been dropped.
                if !self.close_oldest() {
                    return Err(End::Withheld);
                }
                let freed = timeout_at(until, self.sockets.clone().acquire_owned()).await;
                freed.ok().and_then(Result::ok).ok_or(End::Withheld)?
            }
        };
        let until = until.min(Instant::now() + self.connect_timeout);
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            // Whatever ends a connection with a call on it, be it this process's death, what the system still
            // holds of the call goes with it: later it would run after it was given up.
            let _ = stream.set_zero_linger();
            let write_progress = Rc::new(WriteProgress::tracking_responses());
            let stream = Rc::new(RefCell::new(stream));
            let socket = Rc::downgrade(&stream);
            let io = TrackedStream::new(stream, write_progress.clone());
            let (sender, connection) =
                http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await.ok()?;
            let task = spawn_local(async move {
                let _permit = permit;
                // How it ended shows in the call that was out.
                let _ = connection.await;
            });
            let (idle_since, at_rest) = (Instant::now(), false);
            let limited = false;
            Some(Connection { sender, addr, write_progress, socket, task, idle_since, at_rest, limited })
        };
        timeout_at(until, open).await.ok().flatten().ok_or(End::Broken)
    }

    /// Whether there was one.
    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // The longest idle of each route stands first.
        let oldest = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since);
        oldest.map(|connections| connections.remove(0)).is_some()
    }
}

/// A connection to a receiver. Closed when dropped: reset, unless nothing is under way on it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    pub(super) write_progress: Rc<WriteProgress>,
    /// Its task owns it.
    pub(super) socket: Weak<RefCell<TcpStream>>,
    task: JoinHandle<()>,
    idle_since: Instant,
    at_rest: bool,
    /// Whether the system's own patience with what is not acknowledged is set.
    limited: bool,
}

impl Connection {
    pub(super) fn config(&self, now: Instant, idle_time: Duration) -> bool {
        !self.sender.is_closed() && now - self.idle_since < idle_time
    }

    /// How long the system sends again what is not acknowledged, or keeps what the receiver does not take; as
    /// ever if `None`. Where that cannot be set, the call's own time bounds it.
    pub(super) fn limit_unacknowledged(&mut self, limit: Option<Duration>) {
        if let Some(socket) = self.socket.upgrade().filter(|_| self.limited || limit.is_some()) {
            self.limited = limit.is_some();
            // 0 would be no limit.
            let limit = limit.map(|limit| limit.max(Duration::from_millis(1)));
            let _ = SockRef::from(&*socket.borrow()).set_tcp_user_timeout(limit);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(socket) = self.socket.upgrade().filter(|_| self.at_rest) {
            let _ = SockRef::from(&*socket.borrow()).set_linger(None);
        }
        self.task.abort();
    }
}
