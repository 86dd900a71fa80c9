//! What the journal holds is taken up again, and what a later process must know goes into it.

use std::collections::BTreeMap;

use super::*;

/// With more of its time left an untried message is given up for want of room and for nothing else.
const EARLY: Duration = Duration::from_millis(500);

/// A message of the journal's, on its way to the module.
#[derive(Debug)]
pub(super) struct Recovered {
    class: usize,
    pub ends_at: Instant,
    /// The attempt that may have run, as reckoned then.
    possibly_executed: Option<(Instant, PriorExecution)>,
    message: journal::Message,
}

impl Engine {
    /// Takes what the journal holds into the backlog, with each message's history; the platform gets what it has not
    /// acknowledged. An attempt without an outcome may have run.
    pub(super) fn recover(&mut self, now: Instant, messages: Vec<journal::Message>, mut owed: Vec<Notice>) {
        // The journal's order is chance's.
        owed.sort_unstable_by(|a, b| a.message_id.cmp(&b.message_id));
        owed.into_iter().for_each(|notice| self.reports.push(notice));
        let wall = journal::wall_ms();
        let set_back = self.store.latest_attempt() > wall;
        if set_back {
            tracing::warn!(
                "journal: the clock was set back: no attempt on record counts as within its key's window"
            );
        }
        if !messages.is_empty() {
            tracing::warn!("journal: {} messages taken up again", messages.len());
        }
        let mut unknown = BTreeMap::<Rc<str>, Vec<MessageId>>::new();
        for message in messages {
            let Some(class) = self.names.classes.iter().position(|name| **name == *message.class) else {
                unknown.entry(message.class).or_default().push(message.message_id);
                continue;
            };
            // Whatever the clock says, it has no longer than its class allows.
            let left =
                message.deadline.saturating_sub(wall).min(self.settings.classes[class].deadline as u64);
            let possibly_executed = message.possibly_executed.as_ref().map(|ran| {
                // As long ago as can be, where the clock does not tell.
                let ago = wall.saturating_sub(if set_back { 0 } else { ran.at }) as Millis;
                (
                    now,
                    PriorExecution { ago, route: self.route(&ran.receiver, now), zone: self.zone(&ran.zone) },
                )
            });
            let ends_at = now + Duration::from_millis(left);
            self.backlog.push(Recovered { class, ends_at, possibly_executed, message });
        }
        for (class, mut message_ids) in unknown {
            tracing::warn!(
                "journal: {} messages are of class {class}, which is no more: given up",
                message_ids.len()
            );
            message_ids.sort_unstable();
            for message_id in message_ids {
                self.store.complete(&message_id, Some(Status::Undeliverable));
                self.reports.push(Notice { message_id, status: Status::Undeliverable });
            }
        }
        self.sort_backlog();
    }

    /// The best last.
    fn sort_backlog(&mut self) {
        let value = |recovered: &Recovered| self.settings.classes[recovered.class].value;
        self.backlog.sort_unstable_by(|a, b| {
            let by_worth = value(a).total_cmp(&value(b));
            by_worth.then(b.ends_at.cmp(&a.ends_at)).then(b.message.message_id.cmp(&a.message.message_id))
        });
    }

    /// The best of the backlog, as many as the module has room for beside those that are handed in with this batch, and
    /// those whose time is up: it gives up what it cannot hold, and none of these may go untried for that.
    pub(super) fn take_up(&mut self, now: Instant, fresh: usize) -> Vec<Event> {
        let room = self.sender.room().saturating_sub(fresh);
        let rest = self.backlog.len().saturating_sub(room);
        let mut best = self.backlog.split_off(rest);
        best.reverse();
        best.extend(self.backlog.extract_if(.., |recovered| recovered.ends_at <= now));
        best.into_iter().map(|recovered| self.hand_over(now, recovered)).collect()
    }

    /// One that an earlier process took on, and that no call has been made for, is not given up for want of room: it
    /// waits until there is some again.
    pub(super) fn put_back(&mut self, now: Instant, held: &TrackedMessage) -> bool {
        let untried = held.attempts == 0 && held.submissions.contains(&EARLIER_SUBMISSION);
        if !untried || held.ends_at.saturating_duration_since(now) < EARLY {
            return false;
        }
        let Some(message) = self.store.pending_message(&held.message_id).cloned() else { return false };
        tracing::debug!(target: STORY, message_id = &*held.message_id, "put back");
        let (class, ends_at) = (held.class, held.ends_at);
        self.backlog.push(Recovered { class, ends_at, possibly_executed: None, message });
        self.sort_backlog();
        true
    }

    fn hand_over(&mut self, now: Instant, recovered: Recovered) -> Event {
        let Recovered { class, ends_at, possibly_executed, message: m } = recovered;
        let time_left = ends_at.saturating_duration_since(now).as_secs_f64() * 1_000.0;
        tracing::debug!(target: STORY, message_id = &*m.message_id, attempts = m.attempts, ran = ?m.possibly_executed, time_left,
            "taken up again");
        let possibly_executed = possibly_executed.map(|(then, ran)| {
            let since = now.saturating_duration_since(then).as_secs_f64() * 1_000.0;
            PriorExecution { ago: ran.ago + since, ..ran }
        });
        let tenant = self.names.tenants.iter().position(|name| **name == *m.tenant);
        let id = self.hold(TrackedMessage {
            message_id: m.message_id,
            class,
            submissions: vec![EARLIER_SUBMISSION],
            key: m.key,
            body: m.body,
            ends_at,
            attempts: m.attempts,
            receiver: None,
        });
        let message = Message {
            id,
            class,
            tenant: tenant.unwrap_or(usize::MAX),
            ordering_key: 0,
            time_left,
            work_guess: None,
            destination: DestinationId(m.destination),
        };
        Event::Recovered(message, AttemptHistory { attempts: m.attempts, possibly_executed })
    }

    /// What a later process must know of an outage goes on record with this batch.
    pub(super) fn remember(
        &mut self,
        destination: DestinationId,
        route: Option<RouteId>,
        outage: OutageState,
    ) {
        let receiver = match route {
            None => "".into(),
            Some(route) => match self.outbound.receiver_location(route) {
                Some(location) => location.receiver,
                // It has left the list.
                None => return,
            },
        };
        let outage = match outage {
            OutageState::Healthy => None,
            OutageState::Down { wait } => Some(journal::OutageState::Down { wait: wait as u64 }),
            OutageState::WarmingUp { ago, part } => {
                Some(journal::OutageState::WarmingUp { ago: ago as i64, part })
            }
        };
        self.store.record_outage(journal::EndpointKey::new(destination.0, receiver), outage);
    }

    /// What an earlier process knew of outages.
    pub(super) fn recall(&self) -> Vec<Event> {
        let event = |(endpoint, outage): (&journal::EndpointKey, journal::OutageState)| {
            let receiver = &endpoint.receiver;
            let route = if receiver.is_empty() { None } else { Some(self.routes.get(receiver)?.route) };
            let outage = match outage {
                journal::OutageState::Down { wait } => OutageState::Down { wait: wait as Millis },
                journal::OutageState::WarmingUp { ago, part } => {
                    OutageState::WarmingUp { ago: ago as Millis, part }
                }
            };
            Some(Event::Remembered { destination: DestinationId(endpoint.destination), route, outage })
        };
        self.store.outage_records().filter_map(event).collect()
    }
}

#[cfg(test)]
mod tests;
