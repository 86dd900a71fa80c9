//! Connects this process to the other process of this sender: as the journal's owner, or as the owner's successor.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rudderspindle_journal::Store;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use crate::engine::restore_outages;
use crate::event::Input;
use crate::handover::{self, HandoverState, PeerProcess};

/// How often a successor checks whether the journal's owner has ended.
const TAKEOVER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// If this process owns the journal, spawns the task that accepts successors. Otherwise requests the owner's state,
/// returns it, and spawns the task that takes over once the owner has ended. The spawned tasks end when the engine
/// ends.
pub(super) async fn join_peer_process(
    state: &Path,
    store: &mut Store,
    peer_process: &Rc<PeerProcess>,
    to_engine: &mpsc::Sender<Input>,
) -> HandoverState {
    if store.is_owner() {
        spawn_local(handover::accept_successors(state.to_owned(), peer_process.clone(), to_engine.clone()));
        return HandoverState::default();
    }
    let handover_state = handover::connect_to_owner(state, peer_process, to_engine).await;
    restore_outages(store, &handover_state.messages);
    spawn_local(take_over(state.to_owned(), peer_process.clone(), to_engine.clone()));
    handover_state
}

/// Requests the takeover from the engine until this process owns the journal, and then accepts successors.
async fn take_over(state: PathBuf, peer_process: Rc<PeerProcess>, to_engine: mpsc::Sender<Input>) {
    loop {
        tokio::time::sleep(TAKEOVER_CHECK_INTERVAL).await;
        let (response_sender, is_owner) = oneshot::channel();
        if to_engine.send(Input::TakeOver(response_sender)).await.is_err() {
            return;
        }
        if is_owner.await.unwrap_or(false) {
            return handover::accept_successors(state, peer_process, to_engine).await;
        }
    }
}
