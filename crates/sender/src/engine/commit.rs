//! Records what was decided in one write, and only then does it.

use super::*;

impl Engine {
    /// Records what was decided, and then does it.
    pub(super) fn carry_out(
        &mut self,
        now: Instant,
        fresh: Vec<NewSubmission>,
        refused: Vec<(oneshot::Sender<Answer>, Answer)>,
        actions: Vec<Action>,
    ) {
        let mut ended: HashMap<MessageHandle, Status> = HashMap::new();
        for action in &actions {
            match *action {
                Action::Refuse { id, retry_after } => {
                    let again = (retry_after > 0.0).then_some(retry_after as u64);
                    ended.insert(id, Status::Deferred(again));
                }
                Action::Fail { id } => drop(ended.insert(id, Status::Undeliverable)),
                _ => {}
            }
        }
        // What is ended with the batch that brought it was never taken on: its client hears it at once.
        let mut answers = refused;
        let mut taken = Vec::new();
        for NewSubmission { id, class, record, answer } in fresh {
            if let Some(status) = ended.remove(&id) {
                self.release(id);
                self.metrics.ended(class, status.into());
                let word = match status {
                    Status::Undeliverable => Answer::Failed,
                    Status::Deferred(again) => Answer::Refused(again.unwrap_or(0) as Millis),
                };
                answers.push((answer, word));
            } else {
                tracing::debug!(target: STORY, message_id = &*record.message_id, class = &*record.class,
                    to = record.destination, "taken on");
                self.store.accept(record);
                taken.push((id, answer));
            }
        }
        let mut notices = Vec::new();
        for (id, status) in ended {
            let Some(held) = self.release(id) else { continue };
            if self.put_back(now, &held) {
                continue;
            }
            tracing::debug!(target: STORY, message_id = &*held.message_id, ?status, "ended");
            self.store.complete(&held.message_id, Some(status));
            self.metrics.ended(held.class, status.into());
            notices.push(Notice { message_id: held.message_id, status });
        }
        let mut calls = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, route, timeout, within } => {
                    calls.extend(self.attempt(now, id, route, timeout, within));
                }
                Action::Wake { delay, token } => {
                    let delay = Duration::from_secs_f64(delay.max(0.0) / 1_000.0);
                    self.wakes.push((now + delay, token));
                }
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::HealthCheck { route } => self.outbound.start_health_check(route),
                // The watch is always on.
                Action::Subscribe => {}
                Action::Remember { destination, route, outage } => {
                    self.remember(destination, route, outage);
                }
                Action::Refuse { .. } | Action::Fail { .. } => {}
            }
        }
        if !taken.is_empty() {
            failpoint!("taken-on-before-record");
        }
        if let Err(error) = self.store.commit() {
            tracing::warn!("journal: a batch could not be written: {error}");
            for (id, answer) in taken.drain(..) {
                if let Some(held) = self.release(id) {
                    self.store.discard(&held.message_id);
                    self.carried.push(Event::Dropped(id));
                    self.metrics.ended(held.class, End::Refused);
                }
                answers.push((answer, Answer::Refused(0.0)));
            }
            // An attempt that is not on record must not go out.
            for call in calls.drain(..) {
                let report = AttemptResult::from(Outcome::NotSent);
                let event = self.outcome(call.id, call.attempt, report);
                self.carried.push(event);
            }
        }
        if !taken.is_empty() {
            failpoint!("taken-on-recorded");
        }
        for _call in &calls {
            failpoint!("attempt-{}-recorded", _call.attempt);
        }
        answers.extend(taken.into_iter().map(|(_, answer)| (answer, Answer::Accepted)));
        for (answer, word) in answers {
            // If nobody waits for it any more, the connection's end says so.
            let _ = answer.send(word);
        }
        notices.into_iter().for_each(|notice| self.reports.push(notice));
        for call in calls {
            let id = call.id;
            self.calls.insert(id, self.outbound.start_call(call));
        }
        if self.peer_process.is_connected() && self.told_out != self.calls.len() {
            self.told_out = self.calls.len();
            self.peer_process.send(HandoverMessage::CallsInFlight(self.told_out));
        }
    }
}
