//! What the journal holds is taken up again, and what a later process must know goes into it.

use super::*;

impl Engine {
    /// Hands the module what the journal holds, with each message's history; and the platform what it has
    /// not acknowledged. An attempt without an outcome may have run.
    pub(super) fn recover(&mut self, now: Instant, messages: Vec<journal::Message>, owed: Vec<Notice>) {
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
        for m in messages {
            let class = self.names.classes.iter().position(|name| **name == *m.class);
            let tenant = self.names.tenants.iter().position(|name| **name == *m.tenant);
            let Some(class) = class else {
                tracing::warn!(
                    "journal: message {} is of class {}, which is no more: given up",
                    m.txn,
                    m.class
                );
                self.store.end(&m.txn, Some(Status::Undeliverable));
                self.reports.push(Notice { txn: m.txn, status: Status::Undeliverable });
                continue;
            };
            // Whatever the clock says, it has no longer than its class allows.
            let left = m.deadline.saturating_sub(wall).min(self.settings.classes[class].deadline as u64);
            tracing::debug!(target: STORY, txn = &*m.txn, attempts = m.attempts, ran = ?m.may_have_run, left,
                "taken up again");
            let may_have_run = m.may_have_run.map(|ran| PastRun {
                // As long as can be, where the clock does not tell.
                ago: wall.saturating_sub(if set_back { 0 } else { ran.at }) as Millis,
                route: self.route(&ran.receiver, now),
                zone: self.zone(&ran.zone),
            });
            let ends_at = now + Duration::from_millis(left);
            let id = self.hold(Held {
                txn: m.txn,
                class,
                hand_ins: vec![EARLIER_HAND_IN],
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
                time_left: left as Millis,
                work_guess: None,
                destination: DestinationId(m.destination),
            };
            let past = Past { attempts: m.attempts, may_have_run };
            self.carried.push(Event::Recovered(message, past));
        }
    }

    /// What a later process must know of an outage goes on record with this batch.
    pub(super) fn remember(&mut self, destination: DestinationId, route: Option<RouteId>, trouble: Trouble) {
        let receiver = match route {
            None => "".into(),
            Some(route) => match self.outbound.place(route) {
                Some((receiver, _)) => receiver,
                // It has left the list.
                None => return,
            },
        };
        let trouble = match trouble {
            Trouble::None => None,
            Trouble::Down { wait } => Some(journal::Trouble::Down { wait: wait as u64 }),
            Trouble::Cold { ago, part } => Some(journal::Trouble::Cold { ago: ago as i64, part }),
        };
        self.store.remember((destination.0, receiver), trouble);
    }

    /// What an earlier process knew of outages.
    pub(super) fn recall(&self) -> Vec<Event> {
        let event = |((destination, receiver), trouble): (&journal::Place, journal::Trouble)| {
            let route = if receiver.is_empty() { None } else { Some(self.routes.get(receiver)?.route) };
            let trouble = match trouble {
                journal::Trouble::Down { wait } => Trouble::Down { wait: wait as Millis },
                journal::Trouble::Cold { ago, part } => Trouble::Cold { ago: ago as Millis, part },
            };
            Some(Event::Remembered { destination: DestinationId(*destination), route, trouble })
        };
        self.store.memories().filter_map(event).collect()
    }
}
