//! UDP proxies between all pairs of senders: each sender reaches every other one at an address of the proxy.
//!
//! Invariants: a datagram arrives from the address at which the receiving sender reaches the sending one, and no datagram
//! arrives over a link that is cut. Each pair of senders has two sockets, one for each direction.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::fault_schedule::{DatagramCopy, LinkFaultSampler, LinkFaults};

/// Maximum length of a forwarded datagram, in bytes. It exceeds the length of valid datagrams, so that senders also
/// receive datagrams that are too long.
const MAX_DATAGRAM_LEN: usize = 2_048;
/// Maximum number of delayed datagrams of a link; further datagrams are dropped.
const MAX_DELAYED: usize = 4_096;

/// Counts of a link's datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams received from the sending side.
    pub sent: u64,
    /// Datagrams written to the receiving side, each copy counted.
    pub passed: u64,
    /// Bytes of the datagrams counted in `passed`.
    pub passed_bytes: u64,
    /// Datagrams and copies that were lost by a fault, sent over a cut link, or delayed beyond the maximum number.
    pub dropped: u64,
    /// Bytes of the datagrams counted in `dropped`.
    pub dropped_bytes: u64,
}

/// Faults and counts of one link.
#[derive(Debug)]
struct LinkState {
    sampler: LinkFaultSampler,
    faults: LinkFaults,
    cut: bool,
    counts: DatagramCounts,
}

impl LinkState {
    fn count_dropped(&mut self, bytes: usize) {
        self.counts.dropped += 1;
        self.counts.dropped_bytes += bytes as u64;
    }
}

fn locked(state: &Mutex<LinkState>) -> MutexGuard<'_, LinkState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The proxies between all pairs of senders; they run until this value is dropped.
#[derive(Debug)]
pub struct DatagramProxy {
    addrs: Vec<SocketAddr>,
    /// The address at which the first sender of a pair reaches the second one.
    peer_addrs: BTreeMap<(usize, usize), SocketAddr>,
    /// The link from the first sender of a pair to the second one.
    links: BTreeMap<(usize, usize), Arc<Mutex<LinkState>>>,
    _tasks: JoinSet<()>,
}

impl DatagramProxy {
    /// Starts proxies without faults between senders that receive datagrams at `addrs`, in the order of their indices.
    /// `seed` determines the random choices.
    ///
    /// # Errors
    ///
    /// An error of the sockets.
    ///
    /// ```
    /// # use rudderspindle_testkit::datagram_proxy::DatagramProxy;
    /// # #[tokio::main(flavor = "current_thread")] async fn main() -> std::io::Result<()> {
    /// let a = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    /// let b = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    /// let proxy = DatagramProxy::start(&[a.local_addr()?, b.local_addr()?], 1).await?;
    /// a.send_to(b"hello", proxy.peers(0)[1]).await?;
    /// let (_, from) = b.recv_from(&mut [0; 256]).await?;
    /// assert_eq!(from, proxy.peers(1)[0]);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(addrs: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let mut sockets = BTreeMap::new();
        for (a, b) in pairs(addrs.len()) {
            sockets.insert((a, b), Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
        }
        let (mut peer_addrs, mut links, mut tasks) = (BTreeMap::new(), BTreeMap::new(), JoinSet::new());
        for (&(from, to), inbound) in &sockets {
            let (faults, cut, counts) = Default::default();
            let state = Arc::new(Mutex::new(LinkState {
                sampler: LinkFaultSampler::new(seed, from, to),
                faults,
                cut,
                counts,
            }));
            peer_addrs.insert((from, to), inbound.local_addr()?);
            links.insert((from, to), state.clone());
            let Some(outbound) = sockets.get(&(to, from)) else { continue };
            let inbound = LinkSide { socket: inbound.clone(), sender: addrs[from] };
            let outbound = LinkSide { socket: outbound.clone(), sender: addrs[to] };
            tasks.spawn(forward_link(inbound, outbound, state));
        }
        Ok(Self { addrs: addrs.to_vec(), peer_addrs, links, _tasks: tasks })
    }

    /// The addresses at which a sender reaches all senders, by index, with its own address at its own index: the value of
    /// `peers` in its configuration.
    pub fn peers(&self, sender: usize) -> Vec<SocketAddr> {
        let address = |other| *self.peer_addrs.get(&(sender, other)).unwrap_or(&self.addrs[other]);
        (0..self.addrs.len()).map(address).collect()
    }

    fn change_links(&self, from: &[usize], to: &[usize], change: impl Fn(&mut LinkState)) {
        for ((link_from, link_to), state) in &self.links {
            if from.contains(link_from) && to.contains(link_to) {
                change(&mut locked(state));
            }
        }
    }

    /// Sets the faults of the links from each of `from` to each of `to`.
    pub fn set(&self, from: &[usize], to: &[usize], faults: &LinkFaults) {
        self.change_links(from, to, |state| state.faults = faults.clone());
    }

    /// Cuts the links from each of `from` to each of `to`, also for datagrams that are being delayed. The links in the
    /// other direction do not change.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        self.change_links(from, to, |state| state.cut = true);
    }

    /// Ends all cuts and faults. Datagrams that are being delayed still arrive when they are due.
    pub fn heal(&self) {
        for state in self.links.values() {
            let mut state = locked(state);
            (state.faults, state.cut) = Default::default();
        }
    }

    /// The counts of the link from one sender to another; zeros if there is no such link.
    pub fn counts(&self, from: usize, to: usize) -> DatagramCounts {
        self.links.get(&(from, to)).map(|state| locked(state).counts).unwrap_or_default()
    }
}

/// All ordered pairs of different senders.
fn pairs(senders: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..senders).flat_map(move |a| (0..senders).filter(move |b| *b != a).map(move |b| (a, b)))
}

/// One side of a link: the proxy's socket, and the sender that uses it.
struct LinkSide {
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
}

/// Order in which delayed datagrams are sent: by the time at which they are due, then by the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DeliveryOrder {
    due: Instant,
    number: u64,
}

/// Forwards the datagrams of one link until the task is cancelled: received at `inbound`, sent from `outbound`.
async fn forward_link(inbound: LinkSide, outbound: LinkSide, state: Arc<Mutex<LinkState>>) {
    let mut delayed = BTreeMap::<DeliveryOrder, Vec<u8>>::new();
    let mut number = 0;
    let mut buffer = [0; MAX_DATAGRAM_LEN];
    loop {
        let due = delayed.first_key_value().map(|(order, _)| order.due);
        tokio::select! {
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let Some((_, datagram)) = delayed.pop_first() else { continue };
                send_unless_cut(&outbound, &datagram, &state).await;
            }
            received = inbound.socket.recv_from(&mut buffer) => {
                // Datagrams from other addresses are dropped, because forwarded ones would appear to be the sender's.
                let Ok((length, source)) = received else { continue };
                if source != inbound.sender {
                    continue;
                }
                let copies = {
                    let mut state = locked(&state);
                    state.counts.sent += 1;
                    let LinkState { sampler, faults, .. } = &mut *state;
                    let copies = sampler.sample(&buffer[..length], faults);
                    if copies.is_empty() {
                        state.count_dropped(length);
                    }
                    copies
                };
                for DatagramCopy { delay, bytes } in copies {
                    if delay.is_zero() {
                        send_unless_cut(&outbound, &bytes, &state).await;
                    } else if delayed.len() < MAX_DELAYED {
                        number += 1;
                        delayed.insert(DeliveryOrder { due: Instant::now() + delay, number }, bytes);
                    } else {
                        locked(&state).count_dropped(bytes.len());
                    }
                }
            }
        }
    }
}

/// Sends a datagram to its receiver, unless the link is cut.
async fn send_unless_cut(receiver: &LinkSide, datagram: &[u8], state: &Mutex<LinkState>) {
    let cut = locked(state).cut;
    let sent = !cut && receiver.socket.send_to(datagram, receiver.sender).await.is_ok();
    let mut state = locked(state);
    if sent {
        state.counts.passed += 1;
        state.counts.passed_bytes += datagram.len() as u64;
    } else {
        state.count_dropped(datagram.len());
    }
}
