//! The operator's side: one line in, one answer out, on a listener of its own.
//!
//! | line | answer |
//! | --- | --- |
//! | `status` | `done` once this process can serve, else `error` |
//! | `stats` | the figures as one line of JSON, then the line `end` |
//! | `standby` | `done`: no more clients; what was taken on is delivered |
//! | `active` | `done`: clients again |

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::accept::Acceptor;
use crate::admission_state::AdmissionState;
use crate::event::Input;
use crate::graceful_close;
use crate::metrics::Metrics;

/// Connections that are open at once; beyond it the longest open one goes.
const MOST_CALLERS: usize = 12;
/// A line is no longer than this.
const LONGEST_LINE: u64 = 256;
/// A call must be complete by then.
const CALL_TIME: Duration = Duration::from_secs(5);
/// For so long the engine is asked how it stands; then what it said last is told. A caller waits 1 s.
const LOOK_TIME: Duration = Duration::from_millis(300);

/// What an operator may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Status,
    Stats,
    SetAdmission(AdmissionState),
}

impl Call {
    fn read(line: &str) -> Option<Self> {
        match line.trim() {
            "status" => Some(Self::Status),
            "stats" => Some(Self::Stats),
            "standby" => Some(Self::SetAdmission(AdmissionState::Drained)),
            "active" => Some(Self::SetAdmission(AdmissionState::Accepting)),
            _ => None,
        }
    }
}

/// What answers operators.
#[derive(Debug)]
pub struct ControlListener {
    pub metrics: Rc<Metrics>,
    pub door: watch::Sender<AdmissionState>,
    pub host: mpsc::Sender<Input>,
}

impl ControlListener {
    /// Answers for good.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let callers: Rc<RefCell<BTreeMap<u64, Rc<Notify>>>> = Rc::default();
        let mut acceptor = Acceptor::new(listener, "control");
        for number in 0.. {
            let (mut stream, _) = acceptor.accept(|| ()).await;
            if callers.borrow().len() >= MOST_CALLERS
                && let Some((_, oldest)) = callers.borrow_mut().pop_first()
            {
                oldest.notify_one();
            }
            let close = Rc::new(Notify::new());
            callers.borrow_mut().insert(number, close.clone());
            let (this, callers) = (self.clone(), callers.clone());
            spawn_local(async move {
                tokio::select! {
                    biased;
                    () = close.notified() => {}
                    // Who says nothing, or does not read the answer, is let go.
                    _ = timeout(CALL_TIME, this.serve(&mut stream)) => {}
                }
                graceful_close::finish(&Rc::new(RefCell::new(stream)), close.notified()).await;
                callers.borrow_mut().remove(&number);
            });
        }
    }

    async fn serve(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let (reader, mut writer) = stream.split();
        let mut line = Vec::new();
        BufReader::new(reader.take(LONGEST_LINE)).read_until(b'\n', &mut line).await?;
        if line.is_empty() {
            return Ok(());
        }
        let call = std::str::from_utf8(&line).ok().filter(|line| line.ends_with('\n')).and_then(Call::read);
        writer.write_all(self.answer(call).await.as_bytes()).await?;
        writer.shutdown().await
    }

    async fn answer(&self, call: Option<Call>) -> String {
        match call {
            Some(Call::Status) if self.door.borrow().ends() => "error stopping\n".to_owned(),
            Some(Call::Status) => "done\n".to_owned(),
            Some(Call::Stats) => {
                self.look().await;
                format!("{}\nend\n", self.metrics.to_json())
            }
            Some(Call::SetAdmission(to)) => {
                // Not borrowed while it is replaced: that waits for itself.
                let before = *self.door.borrow();
                let now = before.turned(to);
                if self.door.send_replace(now) != now {
                    tracing::info!(from = ?before, to = ?now, "admission state changed");
                }
                if now == to { "done\n".to_owned() } else { "error stopping\n".to_owned() }
            }
            None => "error: one line of status, stats, standby or active is wanted\n".to_owned(),
        }
    }

    /// Has the engine say how it stands, if it can soon.
    async fn look(&self) {
        let (standing, said) = oneshot::channel();
        if self.host.try_send(Input::QueryStatus(standing)).is_ok()
            && let Ok(Ok(standing)) = timeout(LOOK_TIME, said).await
        {
            self.metrics.set_engine_status(standing);
        }
    }
}

#[cfg(test)]
mod golden;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_whole_words_and_nothing_else() {
        assert_eq!(Call::read("status\r\n"), Some(Call::Status));
        assert_eq!(Call::read("standby\n"), Some(Call::SetAdmission(AdmissionState::Drained)));
        assert_eq!(Call::read("stand by\n"), None);
        assert_eq!(Call::read("STATS\n"), None);
    }
}
