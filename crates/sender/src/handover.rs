//! Between a running process and the one that will take over from it: told waits, what is known of outages, and
//! room on the disk. One stream socket in the folder that both use, one line of JSON for each word, both ways.
//!
//! It carries nothing that must not be lost: messages go over by the journal alone.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::event::Input;

/// The socket in the folder.
const SOCKET: &str = "handover";
/// What this program speaks. One that speaks another gets no answer and does without.
const VERSION: u32 = 1;
/// A word is no longer than this.
const LONGEST_WORD: u64 = 2_048;
/// Words that may wait to be written. A process that does not read so many is not there.
const QUEUE: usize = 2_048;
/// For so long a successor waits for what its predecessor knows.
const PATIENCE: Duration = Duration::from_secs(2);
/// Connections that may be on their way to say who they are.
const MOST_GREETINGS: usize = 8;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What one process tells the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// A successor's first: the version that it speaks.
    Hello(u32),
    /// What is known of a partner's outage, or of a receiver's.
    #[serde(rename = "trouble")]
    OutageState {
        destination: u16,
        receiver: String,
        #[serde(rename = "trouble")]
        outage: OutageState,
    },
    /// A receiver told to wait for so many milliseconds more: its whole partner, or (where routes are apart) it alone.
    Wait { destination: u16, receiver: Option<String>, ms: f64 },
    /// So many calls are out here now: the slots are the sender's, not each process's.
    Out(usize),
    /// The successor has half of the disk, and has been told all that was known.
    #[serde(rename = "room")]
    FreeSpace,
}

impl HandoverMessage {
    /// What the engine of the process that hears it is told; nothing of what is said only at the start.
    pub fn input(self) -> Option<Input> {
        match self {
            Self::Wait { destination, receiver, ms } => {
                Some(Input::RetryAfter { destination, receiver, wait: ms })
            }
            Self::Out(calls) => Some(Input::PeerCallsInFlight(calls)),
            Self::Hello(_) | Self::OutageState { .. } | Self::FreeSpace => None,
        }
    }
}

/// As the journal keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageState {
    Down {
        wait: u64,
    },
    #[serde(rename = "cold")]
    WarmingUp {
        ago: i64,
        part: f64,
    },
}

/// The way to the other process; words to one that is gone are dropped.
#[derive(Debug, Default)]
pub struct PeerProcess(RefCell<Option<mpsc::Sender<HandoverMessage>>>);

impl PeerProcess {
    /// Whether there is one.
    pub fn is_there(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|to| !to.is_closed())
    }

    /// Tells it, if it is there.
    pub fn tell(&self, word: HandoverMessage) {
        if let Some(to) = &*self.0.borrow() {
            // One that reads nothing for so long is as good as gone.
            let _ = to.try_send(word);
        }
    }

    /// Waits until there is none, and the host has heard so.
    async fn gone(&self) {
        loop {
            let Some(to) = self.0.borrow().clone() else { return };
            to.closed().await;
        }
    }

    fn meet(&self, to: mpsc::Sender<HandoverMessage>) {
        *self.0.borrow_mut() = Some(to);
    }
}

/// What a predecessor told at the start.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// Troubles and waits, in the order in which they were told.
    pub words: Vec<HandoverMessage>,
    /// Whether it left half of the disk.
    pub room: bool,
}

/// Asks the process that owns the folder for what it knows, and goes on listening to it. Without an answer in
/// time a successor does without.
pub async fn introduce(
    folder: &Path,
    peer_process: &Rc<PeerProcess>,
    host: &mpsc::Sender<Input>,
) -> HandoverState {
    let mut told = HandoverState::default();
    match timeout(PATIENCE, ask(folder, &mut told)).await {
        Ok(Ok((reader, writer))) => link(reader, writer, peer_process, host),
        Ok(Err(error)) => tracing::warn!("handover: {error}; going on without what the older process knows"),
        Err(_) => {
            tracing::warn!("handover: the older process does not answer; going on without what it knows")
        }
    }
    told
}

type Reader = BufReader<OwnedReadHalf>;

async fn ask(folder: &Path, told: &mut HandoverState) -> io::Result<(Reader, OwnedWriteHalf)> {
    let (reader, mut writer) = UnixStream::connect(folder.join(SOCKET)).await?.into_split();
    let mut reader = BufReader::new(reader);
    write(&mut writer, &HandoverMessage::Hello(VERSION)).await?;
    while let Some(word) = read(&mut reader).await? {
        if word == HandoverMessage::FreeSpace {
            told.room = true;
            return Ok((reader, writer));
        }
        told.words.push(word);
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Waits for successors, for good; one at a time. What they say goes to the host.
pub async fn expect(folder: PathBuf, peer_process: Rc<PeerProcess>, host: mpsc::Sender<Input>) {
    let path = folder.join(SOCKET);
    // What an earlier process left there is nobody's: the folder is ours.
    let _ = std::fs::remove_file(&path);
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => {
            tracing::warn!("handover: {error}; a successor will do without what this process knows");
            return;
        }
    };
    // One that says nothing holds up no other.
    let mut greetings = JoinSet::new();
    while !host.is_closed() {
        while greetings.try_join_next().is_some() {}
        if greetings.len() >= MOST_GREETINGS {
            greetings.join_next().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => drop(greetings.spawn_local(greet(stream, peer_process.clone(), host.clone()))),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// A successor, if the connection says so, is told what is known. There is one at a time: one that comes while another
/// is there has seen that one's lock free, and waits until its connection has ended here, too.
async fn greet(stream: UnixStream, peer_process: Rc<PeerProcess>, host: mpsc::Sender<Input>) {
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    match timeout(PATIENCE, read(&mut reader)).await {
        Ok(Ok(Some(HandoverMessage::Hello(VERSION)))) => {}
        Ok(Ok(Some(word))) => return tracing::warn!("handover: turned away: {word:?}"),
        _ => return tracing::warn!("handover: a connection said nothing that is understood"),
    }
    if timeout(PATIENCE, peer_process.gone()).await.is_err() {
        return tracing::warn!("handover: turned away: another successor is there");
    }
    link(reader, writer, &peer_process, &host);
    let _ = host.send(Input::SuccessorConnected).await;
}

/// From here on both ways are open; the host hears when the other is gone.
fn link(
    mut reader: Reader,
    mut writer: OwnedWriteHalf,
    peer_process: &Rc<PeerProcess>,
    host: &mpsc::Sender<Input>,
) {
    let (to, mut words) = mpsc::channel(QUEUE);
    peer_process.meet(to);
    let (host, peer_process) = (host.clone(), peer_process.clone());
    spawn_local(async move {
        let hear = async {
            while let Ok(Some(word)) = read(&mut reader).await {
                let Some(input) = word.input() else { continue };
                if host.send(input).await.is_err() {
                    break;
                }
            }
        };
        let say = async {
            while let Some(word) = words.recv().await {
                if !matches!(timeout(PATIENCE, write(&mut writer, &word)).await, Ok(Ok(()))) {
                    break;
                }
            }
        };
        tokio::select! {
            () = hear => {}
            () = say => {}
        }
        peer_process.0.borrow_mut().take();
        let _ = host.send(Input::PeerDisconnected).await;
    });
}

async fn write(writer: &mut OwnedWriteHalf, word: &HandoverMessage) -> io::Result<()> {
    let mut line = serde_json::to_vec(word)?;
    line.push(b'\n');
    writer.write_all(&line).await
}

/// The next word; `None` at the end.
async fn read(reader: &mut Reader) -> io::Result<Option<HandoverMessage>> {
    let mut line = Vec::new();
    reader.take(LONGEST_WORD).read_until(b'\n', &mut line).await?;
    if line.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(&line)?))
}

#[cfg(test)]
mod golden;
