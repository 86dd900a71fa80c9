//! Datagram links between every two senders: each sees each other one at an address of the mesh's.
//!
//! Invariant: what reaches a sender comes from the address at which it sees the one that sent it, and nothing reaches
//! it over a way that is cut. For each two senders there are two sockets, one for what either sees of the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::fault_schedule::{LinkFaults, Way};

/// Notes are 256 bytes at most; what is longer is carried as well, so that its receiver can refuse it.
const LONGEST: usize = 2_048;
/// Notes that one way holds back at most, a minute's replays of a busy sender and more; others are dropped.
const MAX_HELD: usize = 4_096;

/// What a way has done with notes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Notes that came from the sender.
    pub sent: u64,
    /// Notes written to the receiver, each copy counted.
    pub passed: u64,
    /// Their bytes.
    pub passed_bytes: u64,
    /// Notes and copies that came to nothing: lost, cut off, or too many held.
    pub dropped: u64,
    /// Their bytes.
    pub dropped_bytes: u64,
}

#[derive(Debug)]
struct State {
    way: Way,
    weather: LinkFaults,
    cut: bool,
    counts: DatagramCounts,
}

impl State {
    fn drop_note(&mut self, bytes: usize) {
        self.counts.dropped += 1;
        self.counts.dropped_bytes += bytes as u64;
    }
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Links between senders, which stand until it is dropped.
#[derive(Debug)]
pub struct DatagramProxy {
    doors: Vec<SocketAddr>,
    /// Where the first sees the second.
    seen: BTreeMap<(usize, usize), SocketAddr>,
    /// From the first to the second.
    ways: BTreeMap<(usize, usize), Arc<Mutex<State>>>,
    _tasks: JoinSet<()>,
}

impl DatagramProxy {
    /// Links between senders with notes at `doors`, by number, in calm weather. `seed` decides what is left to chance.
    ///
    /// # Errors
    ///
    /// What the sockets say.
    ///
    /// ```
    /// # use rudderspindle_testkit::datagram_proxy::DatagramProxy;
    /// # #[tokio::main(flavor = "current_thread")] async fn main() -> std::io::Result<()> {
    /// let a = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    /// let b = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    /// let mesh = DatagramProxy::start(&[a.local_addr()?, b.local_addr()?], 1).await?;
    /// a.send_to(b"hello", mesh.peers(0)[1]).await?;
    /// let (_, from) = b.recv_from(&mut [0; 256]).await?;
    /// assert_eq!(from, mesh.peers(1)[0]);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(doors: &[SocketAddr], seed: u64) -> std::io::Result<Self> {
        let mut sockets = BTreeMap::new();
        for (a, b) in pairs(doors.len()) {
            sockets.insert((a, b), Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
        }
        let (mut seen, mut ways, mut tasks) = (BTreeMap::new(), BTreeMap::new(), JoinSet::new());
        for (&(from, to), near) in &sockets {
            let (weather, cut, counts) = Default::default();
            let state = Arc::new(Mutex::new(State { way: Way::new(seed, from, to), weather, cut, counts }));
            seen.insert((from, to), near.local_addr()?);
            ways.insert((from, to), state.clone());
            let Some(far) = sockets.get(&(to, from)) else { continue };
            tasks.spawn(carry((near.clone(), doors[from]), (far.clone(), doors[to]), state));
        }
        Ok(Self { doors: doors.to_vec(), seen, ways, _tasks: tasks })
    }

    /// Where a sender finds each of them, in the order of their numbers, itself at its own door: its `peers`.
    pub fn peers(&self, me: usize) -> Vec<SocketAddr> {
        let place = |(other, door): (usize, &SocketAddr)| *self.seen.get(&(me, other)).unwrap_or(door);
        self.doors.iter().enumerate().map(place).collect()
    }

    fn each(&self, from: &[usize], to: &[usize], change: impl Fn(&mut State)) {
        for ((a, b), state) in &self.ways {
            if from.contains(a) && to.contains(b) {
                change(&mut locked(state));
            }
        }
    }

    /// The weather from now on for what each of `from` sends to each of `to`.
    pub fn set(&self, from: &[usize], to: &[usize], weather: &LinkFaults) {
        self.each(from, to, |state| state.weather = weather.clone());
    }

    /// From now on nothing passes from any of `from` to any of `to`, also of what is on its way. The other direction
    /// stays as it is.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        self.each(from, to, |state| state.cut = true);
    }

    /// All cuts end and the weather is calm. What is held back comes when it is due.
    pub fn heal(&self) {
        for state in self.ways.values() {
            let mut state = locked(state);
            (state.weather, state.cut) = Default::default();
        }
    }

    /// What became of notes from one sender to another; nothing, if there is no such way.
    pub fn counts(&self, from: usize, to: usize) -> DatagramCounts {
        self.ways.get(&(from, to)).map(|state| locked(state).counts).unwrap_or_default()
    }
}

/// All that are not of one and the same.
fn pairs(senders: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..senders).flat_map(move |a| (0..senders).filter(move |b| *b != a).map(move |b| (a, b)))
}

type End = (Arc<UdpSocket>, SocketAddr);

/// Carries one way: what comes to `near` from its sender goes from `far` to the other.
async fn carry(near: End, far: End, state: Arc<Mutex<State>>) {
    let (mut held, mut number, mut buffer) = (BTreeMap::<(Instant, u64), Vec<u8>>::new(), 0, [0; LONGEST]);
    loop {
        let due = held.first_key_value().map(|(&(due, _), _)| due);
        tokio::select! {
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                let Some((_, note)) = held.pop_first() else { continue };
                pass(&far, &note, &state).await;
            }
            got = near.0.recv_from(&mut buffer) => {
                // Strangers are not carried: their notes would come in the sender's name.
                let Ok((length, source)) = got else { continue };
                if source != near.1 {
                    continue;
                }
                let copies = {
                    let mut state = locked(&state);
                    state.counts.sent += 1;
                    let State { way, weather, .. } = &mut *state;
                    let copies = way.carry(&buffer[..length], weather);
                    if copies.is_empty() {
                        state.drop_note(length);
                    }
                    copies
                };
                for (late, note) in copies {
                    if late.is_zero() {
                        pass(&far, &note, &state).await;
                    } else if held.len() < MAX_HELD {
                        number += 1;
                        held.insert((Instant::now() + late, number), note);
                    } else {
                        locked(&state).drop_note(note.len());
                    }
                }
            }
        }
    }
}

/// Writes a note to its receiver, unless the way is cut.
async fn pass((socket, door): &End, note: &[u8], state: &Mutex<State>) {
    let cut = locked(state).cut;
    let sent = !cut && socket.send_to(note, door).await.is_ok();
    let mut state = locked(state);
    if sent {
        state.counts.passed += 1;
        state.counts.passed_bytes += note.len() as u64;
    } else {
        state.drop_note(note.len());
    }
}
