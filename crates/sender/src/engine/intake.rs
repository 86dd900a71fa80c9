//! Messages that are handed in, held and withdrawn.

use super::*;

impl Engine {
    /// A message handed in, unless it is turned away at the door.
    pub(super) fn admit(
        &mut self,
        submission: Submission,
        now: Instant,
        room: &mut u64,
        fresh: &mut Vec<NewSubmission>,
        refused: &mut Vec<(oneshot::Sender<Answer>, Answer)>,
    ) -> Option<Message> {
        let Submission { number, message_id, class, tenant, destination, key, body, ends_at, answer } =
            submission;
        if answer.is_closed() {
            return None;
        }
        if !self.destinations.contains(&destination) {
            // Before any list has come, nothing can be said of it.
            let unknown = !self.destinations.is_empty();
            if !unknown {
                self.metrics.ended(class, End::Refused);
            }
            refused.push((answer, if unknown { Answer::UnknownDestination } else { Answer::REFUSED }));
            return None;
        }
        if let Some(&id) = self.ids.get(&message_id) {
            // Handed in twice, taken on once, and owed to each client that hears so: to forget the earlier one
            // would let anybody who knows an id end its message by going away.
            let held = self.held.get_mut(&id).filter(|held| held.submissions.len() < MAX_SUBMISSIONS);
            match held.filter(|_| fresh.iter().all(|f| f.id != id)) {
                Some(held) => {
                    held.submissions.push(number);
                    self.submissions.insert(number, id);
                    refused.push((answer, Answer::Accepted));
                }
                None => {
                    self.metrics.ended(class, End::Refused);
                    refused.push((answer, Answer::REFUSED));
                }
            }
            return None;
        }
        if self.store.knows(&message_id) {
            // Its notice is still owed: what acknowledges that must not end a new message of the same id.
            self.metrics.ended(class, End::Refused);
            refused.push((answer, Answer::REFUSED));
            return None;
        }
        let left = ends_at.saturating_duration_since(now);
        let record = journal::Message {
            message_id: message_id.clone(),
            class: self.names.classes.get(class).map_or("", String::as_str).into(),
            tenant: self.names.tenants.get(tenant).map_or("", String::as_str).into(),
            destination: destination.0,
            key: key.clone(),
            deadline: journal::wall_ms() + left.as_millis() as u64,
            body: body.clone(),
            attempts: 0,
            possibly_executed: None,
            out: None,
        };
        let more = record.room();
        if self.held.len() >= self.settings.max_pending || !self.store.has_room(*room + more) {
            self.metrics.ended(class, End::Refused);
            refused.push((answer, Answer::REFUSED));
            return None;
        }
        if !Store::fits_batch(*room + more) {
            let submission =
                Submission { number, message_id, class, tenant, destination, key, body, ends_at, answer };
            self.deferred.push(Input::Submitted(submission));
            return None;
        }
        *room += more;
        let id = self.hold(TrackedMessage {
            message_id,
            class,
            submissions: vec![number],
            key,
            body,
            ends_at,
            attempts: 0,
            receiver: None,
        });
        self.submissions.insert(number, id);
        self.activity.record_accepted(tenant);
        fresh.push(NewSubmission { id, class, record, answer });
        Some(Message {
            id,
            class,
            tenant,
            ordering_key: 0,
            time_left: left.as_secs_f64() * 1_000.0,
            work_guess: None,
            destination,
        })
    }

    pub(super) fn hold(&mut self, held: TrackedMessage) -> MessageHandle {
        let mut id = MessageHandle(self.next_id);
        while self.held.contains_key(&id) || self.calls.contains_key(&id) {
            id = MessageHandle(id.0.wrapping_add(1));
        }
        self.next_id = id.0.wrapping_add(1);
        self.ids.insert(held.message_id.clone(), id);
        self.held.insert(id, held);
        id
    }

    pub(super) fn release(&mut self, id: MessageHandle) -> Option<TrackedMessage> {
        let held = self.held.remove(&id)?;
        self.ids.remove(&held.message_id);
        for hand_in in &held.submissions {
            self.submissions.remove(hand_in);
        }
        Some(held)
    }

    pub(super) fn withdraw(&mut self, hand_in: u64) -> Option<Event> {
        let id = self.submissions.remove(&hand_in)?;
        let held = self.held.get_mut(&id)?;
        held.submissions.retain(|&number| number != hand_in);
        if !held.submissions.is_empty() {
            return None;
        }
        let held = self.release(id)?;
        tracing::debug!(target: MESSAGE_LOG, message_id = &*held.message_id, "withdrawn");
        self.store.end(&held.message_id, None);
        Some(Event::Dropped(id))
    }
}
