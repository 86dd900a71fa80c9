//! Attempts: their place in the journal, the calls, and what came of them.

use super::*;
use crate::outbound::ReceiverLocation;

/// A message's time counts from when its client sent it; ours begins later by its way here, a tick in which it waits
/// for the batch, and another. So much before the end as we know it an answer can no longer be told from one that
/// comes after the end as its client knows it: it is not waited for.
const ON_ITS_WAY: Duration = Duration::from_millis(5);
const TICKS: f64 = 2.0;

impl Engine {
    /// The attempt's place in the journal, and the call to make. While stopping none starts too late: the
    /// message then stays in the journal for the next start.
    pub(super) fn attempt(
        &mut self,
        now: Instant,
        id: MessageHandle,
        route: RouteId,
        timeout: Millis,
        within: Millis,
    ) -> Option<Call> {
        if self.stop.is_some_and(|at| now - at >= STOP_SENDING) {
            return None;
        }
        let ticks = Duration::from_secs_f64(TICKS * self.settings.tick.max(0.0) / 1_000.0);
        let held = self.held.get_mut(&id)?;
        let last = held.ends_at.checked_sub(ticks + ON_ITS_WAY).unwrap_or(now);
        let ReceiverLocation { receiver, zone } = self.outbound.receiver_location(route)?;
        let attempt = held.attempts;
        held.attempts += 1;
        let destination = self.routes.get(&receiver).and_then(|known| known.destination);
        held.receiver = destination.map(|to| Receiver::of(to.0, &receiver));
        tracing::debug!(target: STORY, message_id = &*held.message_id, attempt, receiver = &*receiver, zone = &*zone, "attempt");
        self.store
            .start_attempt(&held.message_id, PossibleExecution { at: journal::wall_ms(), receiver, zone });
        let (message_id, key, body) = (held.message_id.clone(), held.key.clone(), held.body.clone());
        let patience = Duration::from_secs_f64(timeout.max(0.0) / 1_000.0);
        let until = if timeout == 0.0 { last } else { (now + patience).min(last) };
        let within = Duration::try_from_secs_f64(within.max(0.0) / 1_000.0);
        let latest = within.map_or(held.ends_at, |within| now + within);
        Some(Call { id, attempt, route, message_id, key, body, until, latest })
    }

    pub(super) fn outcome(&mut self, id: MessageHandle, attempt: u32, report: AttemptResult) -> Event {
        self.calls.remove(&id);
        let AttemptResult { outcome, wait, closed } = report;
        let receiver = self.held.get_mut(&id).and_then(|held| held.receiver.take());
        self.activity.saw(receiver, outcome);
        if let Some(held) = self.held.get(&id) {
            tracing::debug!(target: STORY, message_id = &*held.message_id, attempt, ?outcome, wait, "outcome");
            if closed {
                failpoint!("delivered-before-record");
                self.store.complete(&held.message_id, None);
                if outcome == Outcome::Ok {
                    self.metrics.ended(held.class, End::Delivered);
                }
                self.release(id);
            } else {
                self.store.finish_attempt(&held.message_id, attempt, outcome.possibly_executed());
            }
        }
        let closed = !self.held.contains_key(&id);
        Event::Outcome { id, attempt, outcome, retry_after: wait, closed }
    }

    /// The call is asked to end. Its outcome comes from the call itself, as that of any other: the module sends
    /// the message again only then, so that no attempt's outcome is taken for that of another.
    pub(super) fn cancel(&mut self, id: MessageHandle, attempt: u32) {
        self.calls.get(&id).filter(|call| call.attempt == attempt).into_iter().for_each(CallHandle::cancel);
    }
}
