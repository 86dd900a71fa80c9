//! One batch: what has come, as the module is told it.

use super::*;

/// Turns as the module is told them: from now, whatever the wall clock has done since.
fn turns(all: Vec<PermitUpdate>) -> impl Iterator<Item = Event> {
    let wall = journal::wall_ms() as Millis;
    let turn = move |t: rudderspindle_gossip::Permit| Permit {
        number: t.number,
        from: t.from as Millis - wall,
        until: t.until as Millis - wall,
    };
    all.into_iter().map(move |update| {
        let turns = update.permits.into_iter().map(turn).collect();
        Event::Permits { destination: update.limit.destination, route: update.limit.route, turns }
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
                Input::Outcome { id, attempt, result } => events.push(self.outcome(id, attempt, result)),
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
                    message_ids.iter().for_each(|message_id| self.store.settled(message_id));
                }
                Input::SuccessorConnected => self.successor(true),
                Input::PeerDisconnected => self.successor(false),
                Input::RetryAfter { destination, receiver, wait } => {
                    events.extend(self.heed(destination, receiver.as_deref(), wait));
                }
                Input::PeerCallsInFlight(calls) => self.sender.share_slots(calls),
                Input::TakeOver(asker) => {
                    self.succeed(now);
                    let _ = asker.send(self.store.is_owner());
                }
                Input::ReportActivity(asker) => drop(asker.send(self.activity())),
                Input::CapacityShares { shares, valid_for } => {
                    let event = |share: CapacityUpdate| Event::Capacity {
                        destination: share.limit.destination,
                        route: share.limit.route,
                        calls: share.calls,
                        wanted: share.fleet_demand,
                        lasts: valid_for,
                    };
                    events.extend(shares.into_iter().map(event));
                }
                Input::EjectedReceivers(routes) => events.push(Event::EjectedReceivers(routes)),
                Input::Quotas(all) => {
                    let event = |quota: TenantQuota| Event::Quota {
                        tenant: quota.tenant,
                        per_s: quota.messages_per_s,
                    };
                    events.extend(all.into_iter().map(event));
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
