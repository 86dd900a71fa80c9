//! One batch: what has come, as the module is told it.

use super::*;

/// Turns as the module is told them: from now, whatever the wall clock has done since.
fn turns(
    all: Vec<(DestinationId, Option<RouteId>, Vec<rudderspindle_gossip::Permit>)>,
) -> impl Iterator<Item = Event> {
    let wall = journal::wall_ms() as Millis;
    let turn = move |t: rudderspindle_gossip::Permit| Permit {
        number: t.number,
        from: t.from as Millis - wall,
        until: t.until as Millis - wall,
    };
    all.into_iter().map(move |(destination, route, turns)| {
        let turns = turns.into_iter().map(turn).collect();
        Event::Permits { destination, route, turns }
    })
}

impl Engine {
    pub(super) fn batch(&mut self, inputs: Vec<Input>) {
        let now = Instant::now();
        self.last_batch = now;
        let mut events = std::mem::take(&mut self.carried);
        let mut fresh = Vec::new();
        let (mut room, mut refused) = (0, Vec::new());
        for input in inputs {
            match input {
                Input::Submitted(submission) => {
                    let message = self.admit(submission, now, &mut room, &mut fresh, &mut refused);
                    events.extend(message.map(Event::Message));
                }
                Input::Withdrawn(hand_in) => events.extend(self.withdraw(hand_in)),
                Input::Outcome { id, attempt, report } => events.push(self.outcome(id, attempt, report)),
                Input::HealthChecked { route, outcome } => {
                    events.push(Event::HealthChecked { route, outcome })
                }
                Input::List(list) => {
                    let entries = self.list(&list);
                    let change =
                        if list.complete { ListChange::Full(entries) } else { ListChange::Delta(entries) };
                    events.push(Event::List(change));
                }
                Input::NotificationsAcknowledged(message_ids) => {
                    failpoint!("acknowledged-before-record");
                    message_ids.iter().for_each(|message_id| self.store.acknowledge(message_id));
                }
                Input::Successor(came) => self.successor(came),
                Input::RetryAfter { destination, receiver, ms } => {
                    events.extend(self.heed(destination, receiver.as_deref(), ms));
                }
                Input::PeerCallsInFlight(calls) => self.sender.share_slots(calls),
                Input::TakeOver(asker) => {
                    self.succeed(now);
                    let _ = asker.send(self.store.is_owner());
                }
                Input::Demands(asker) => drop(asker.send(self.activity())),
                Input::CapacityShares(rooms, lasts) => {
                    let room = |(destination, route, calls, wanted)| Event::Capacity {
                        destination,
                        route,
                        calls,
                        wanted,
                        lasts,
                    };
                    events.extend(rooms.into_iter().map(room));
                }
                Input::EjectedReceivers(routes) => events.push(Event::EjectedReceivers(routes)),
                Input::Quotas(all) => {
                    let quota = |(tenant, per_s)| Event::Quota { tenant, per_s };
                    events.extend(all.into_iter().enumerate().map(quota));
                }
                Input::Permits(all) => events.extend(turns(all)),
                // Nobody may wait for it any more.
                Input::QueryStatus(asker) => drop(asker.send(self.standing())),
                Input::Stop => self.stop = self.stop.or(Some(now)),
            }
        }
        events.append(&mut self.carried);
        events.extend(self.take_up(now, fresh.len()));
        self.wakes.retain(|&(at, token)| {
            let due = at <= now;
            if due {
                events.push(Event::Wake(token));
            }
            !due
        });
        let mut actions = Vec::new();
        let clock = (now - self.origin).as_secs_f64() * 1_000.0;
        self.sender.handle(clock, &events, &mut actions);
        self.carry_out(now, fresh, refused, actions);
    }
}
