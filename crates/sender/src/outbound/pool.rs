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
        while let Some(connection) = kept.pop() {
            if connection.usable(now, self.idle_time) {
                return Some(connection);
            }
        }
        None
    }

    pub(super) fn keep(&self, route: RouteId, mut connection: Connection) {
        // The receiver may have moved while the call was out.
        let serves = |r: &Route| r.listing == Listing::Ready && r.addr == Some(connection.addr);
        let ready = self.routes.borrow().get(&route).is_some_and(serves);
        if ready && !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(route).or_default().push(connection);
        }
    }

    pub(super) async fn connect(&self, addr: SocketAddr, until: Instant) -> Result<Connection, End> {
        let permit = match self.sockets.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.close_oldest();
                self.sockets.clone().try_acquire_owned().map_err(|_| End::Withheld)?
            }
        };
        let until = until.min(Instant::now() + self.connect_timeout);
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let meter = Rc::new(Meter::of_answers());
            let io = Metered::new(Rc::new(RefCell::new(stream)), meter.clone());
            let (sender, connection) =
                http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await.ok()?;
            let task = spawn_local(async move {
                let _permit = permit;
                // How it ended shows in the call that was out.
                let _ = connection.await;
            });
            Some(Connection { sender, addr, meter, task, idle_since: Instant::now() })
        };
        timeout_at(until, open).await.ok().flatten().ok_or(End::Broken)
    }

    fn close_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        // The longest idle of each route stands first.
        let oldest = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since);
        if let Some(connections) = oldest {
            connections.remove(0);
        }
    }
}

/// A connection to a receiver. Closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    pub(super) meter: Rc<Meter>,
    task: JoinHandle<()>,
    idle_since: Instant,
}

impl Connection {
    pub(super) fn usable(&self, now: Instant, idle_time: Duration) -> bool {
        !self.sender.is_closed() && now - self.idle_since < idle_time
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
