//! The engine: gathers what happens into batches, lets the module decide, writes the journal,
//! and only then answers, reports and sends.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rudderspindle_decide::Sender;
use rudderspindle_decide::interface::*;
use rudderspindle_decide::settings::Names;
use rudderspindle_journal::{self as journal, Notice, Ran, Status, Store, Txn};
use rudderspindle_share::Gate;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

use crate::event::{Answer, Call, Input, List, Member, Report, STORY, Submission};
use crate::figures::{End, Figures, Standing};
use crate::handover::{self, Neighbour, Word};
use crate::outbound::{Outbound, Route};
use crate::reports::Reports;

/// After SIGTERM, calls start for so long: what starts later may not finish.
const STOP_SENDING: Duration = Duration::from_millis(2_000);
/// Clients still come for some time after SIGTERM.
const STOP_FIRST: Duration = Duration::from_millis(600);
/// Whatever is out by then stays in the journal as an attempt that may have run.
const STOP_LAST: Duration = Duration::from_millis(3_300);
/// How often the engine looks whether it can stop.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Longest time without a batch: nothing is due, so it only bounds the sleep.
const IDLE: Duration = Duration::from_secs(3600);
/// A receiver that has left the list keeps its name for longer than the module remembers it: it may only be
/// away from a list that lags, and must not come back as one without a past.
const KEEP_GONE: Duration = Duration::from_secs(70);
/// Clients that may hand in one message at the same time; more are refused.
const MOST_HAND_INS: usize = 4;
/// Stands for clients that an earlier process answered: they are heard for good.
const EARLIER_HAND_IN: u64 = u64::MAX;
/// Inputs of one batch at most.
const MOST_INPUTS: usize = 4096;

/// A message that is owed its end.
#[derive(Debug)]
struct Held {
    txn: Txn,
    class: usize,
    /// The hand-ins that it was taken on by, less those whose clients went unheard. While one is left, its
    /// client may have been told that the message is taken on: nothing may withdraw it.
    hand_ins: Vec<u64>,
    key: Option<Bytes>,
    body: Bytes,
    ends_at: Instant,
    attempts: u32,
}

/// What a receiver's id stands for.
#[derive(Debug)]
struct Known {
    route: RouteId,
    destination: Option<DestinationId>,
    gone_at: Option<Instant>,
}

/// A message that was handed in with this batch.
struct Fresh {
    id: MessageId,
    class: usize,
    record: journal::Message,
    answer: oneshot::Sender<Answer>,
}

pub struct Engine {
    sender: Sender,
    settings: Settings,
    names: Names,
    store: Store,
    outbound: Rc<Outbound>,
    reports: Rc<Reports>,
    figures: Rc<Figures>,
    neighbour: Rc<Neighbour>,
    /// Calls out, as the neighbour was last told.
    told_out: usize,
    /// Whether clients come by a listener that a successor has, too.
    shared_door: bool,
    inputs: mpsc::Receiver<Input>,
    origin: Instant,
    last_batch: Instant,
    stop: Option<Instant>,
    held: HashMap<MessageId, Held>,
    ids: HashMap<Txn, MessageId>,
    hand_ins: HashMap<u64, MessageId>,
    next_id: u32,
    /// Receivers on the list, and for a while those that have left it.
    routes: HashMap<Rc<str>, Known>,
    next_route: u64,
    destinations: HashSet<DestinationId>,
    zones: Vec<String>,
    calls: HashMap<MessageId, AbortHandle>,
    wakes: Vec<(Instant, u64)>,
    /// Inputs and events left for the next batch.
    deferred: Vec<Input>,
    carried: Vec<Event>,
}

/// What an engine is made of.
pub struct Parts {
    pub settings: Settings,
    pub names: Names,
    pub seed: u64,
    pub store: Store,
    pub outbound: Rc<Outbound>,
    pub reports: Rc<Reports>,
    pub figures: Rc<Figures>,
    pub neighbour: Rc<Neighbour>,
    pub shared_door: bool,
    /// Whether other senders will tell this one what they want.
    pub notes: bool,
    /// Whether calls need turns.
    pub rights: bool,
    pub inputs: mpsc::Receiver<Input>,
}

/// Turns as the module is told them: from now, whatever the wall clock has done since.
fn turns(
    all: Vec<(DestinationId, Option<RouteId>, Vec<rudderspindle_share::Turn>)>,
) -> impl Iterator<Item = Event> {
    let wall = journal::wall_ms() as Millis;
    let turn = move |t: rudderspindle_share::Turn| Turn {
        number: t.number,
        from: t.from as Millis - wall,
        until: t.until as Millis - wall,
    };
    all.into_iter().map(move |(destination, route, turns)| {
        let turns = turns.into_iter().map(turn).collect();
        Event::Turns { destination, route, turns }
    })
}

impl Engine {
    /// An engine that has taken in the list, as last known and as fetched, and what its journal holds.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings cannot work.
    pub fn new(parts: Parts, known: &List, fetched: Option<&List>) -> Result<Self, SettingsError> {
        let Parts { settings, names, seed, store, outbound, reports, .. } = parts;
        let Parts { figures, neighbour, shared_door, notes, rights, inputs, .. } = parts;
        let now = Instant::now();
        let mut sender = Sender::new(settings.clone(), seed)?;
        if notes {
            sender.hear_notes();
        }
        if rights {
            sender.keep_rights();
        }
        let mut engine = Self {
            sender,
            zones: names.zones.clone(),
            settings,
            names,
            store,
            outbound,
            reports,
            figures,
            neighbour,
            told_out: 0,
            shared_door,
            inputs,
            origin: now,
            last_batch: now,
            stop: None,
            held: HashMap::new(),
            ids: HashMap::new(),
            hand_ins: HashMap::new(),
            next_id: 0,
            routes: HashMap::new(),
            next_route: 0,
            destinations: HashSet::new(),
            calls: HashMap::new(),
            wakes: Vec::new(),
            deferred: Vec::new(),
            carried: Vec::new(),
        };
        let entries = engine.list(known);
        engine.carried.push(Event::List(ListChange::Cached(entries)));
        // The list as last known may be older than what was told before a restart: nothing that the journal
        // holds may go to a receiver that has been told to drain since.
        if let Some(list) = fetched {
            let entries = engine.list(list);
            engine.carried.push(Event::List(ListChange::Full(entries)));
        }
        engine.carried.extend(engine.recall());
        let (open, owed) = (engine.store.open_messages().cloned().collect(), engine.store.owed().collect());
        engine.recover(now, open, owed);
        engine.batch(Vec::new());
        Ok(engine)
    }

    /// Runs until SIGTERM has been dealt with.
    pub async fn run(mut self) {
        loop {
            let due = self.due();
            let mut inputs = std::mem::take(&mut self.deferred);
            if inputs.is_empty() {
                tokio::select! {
                    n = self.inputs.recv_many(&mut inputs, MOST_INPUTS) => if n == 0 { return },
                    () = sleep_until(due) => {}
                }
            }
            let tick = Duration::from_secs_f64(self.settings.tick.max(0.0) / 1_000.0);
            sleep_until(self.last_batch + tick).await;
            while inputs.len() < MOST_INPUTS {
                let Ok(input) = self.inputs.try_recv() else { break };
                inputs.push(input);
            }
            self.batch(inputs);
            if self.stopped() {
                return;
            }
        }
    }

    fn due(&self) -> Instant {
        let now = Instant::now();
        let next = if self.stop.is_some() { STOP_LOOK } else { IDLE };
        let next = if self.carried.is_empty() { now + next } else { now };
        self.wakes.iter().map(|w| w.0).fold(next, Instant::min)
    }

    /// Whether the program may end: nothing that it could still do is left, or its time is up.
    fn stopped(&self) -> bool {
        let Some(since) = self.stop.map(|at| at.elapsed()) else { return false };
        let idle = self.calls.is_empty() && self.reports.is_idle();
        let done = idle && (self.held.is_empty() || since >= STOP_SENDING);
        // Those whose request is still coming are heard: they would have to begin again elsewhere.
        let heard = self.figures.clients() == 0;
        let first = if self.shared_door { Duration::ZERO } else { STOP_FIRST };
        since >= STOP_LAST || (done && heard && since >= first)
    }

    fn batch(&mut self, inputs: Vec<Input>) {
        let now = Instant::now();
        self.last_batch = now;
        let mut events = std::mem::take(&mut self.carried);
        let mut fresh = Vec::new();
        let (mut room, mut refused) = (0, Vec::new());
        for input in inputs {
            match input {
                Input::HandedIn(submission) => {
                    let message = self.admit(submission, now, &mut room, &mut fresh, &mut refused);
                    events.extend(message.map(Event::Message));
                }
                Input::Withdrawn(hand_in) => events.extend(self.withdraw(hand_in)),
                Input::Outcome { id, attempt, report } => events.push(self.outcome(id, attempt, report)),
                Input::Probed { route, outcome } => events.push(Event::Probed { route, outcome }),
                Input::List(list) => {
                    let entries = self.list(&list);
                    let change =
                        if list.complete { ListChange::Full(entries) } else { ListChange::Delta(entries) };
                    events.push(Event::List(change));
                }
                Input::Settled(txns) => txns.iter().for_each(|txn| self.store.settled(txn)),
                Input::Successor(came) => self.successor(came),
                Input::Waits { destination, receiver, ms } => {
                    events.extend(self.heed(destination, receiver.as_deref(), ms));
                }
                Input::OutElsewhere(calls) => self.sender.share_slots(calls),
                Input::Succeed(asker) => {
                    self.succeed(now);
                    let _ = asker.send(self.store.is_owner());
                }
                Input::Wants(asker) => drop(asker.send(self.wants())),
                Input::Rooms(rooms, lasts) => {
                    let room = |(destination, route, calls)| Event::Room { destination, route, calls, lasts };
                    events.extend(rooms.into_iter().map(room));
                }
                Input::Turns(all) => events.extend(turns(all)),
                // Nobody may wait for it any more.
                Input::Look(asker) => drop(asker.send(self.standing())),
                Input::Stop => self.stop = self.stop.or(Some(now)),
            }
        }
        events.append(&mut self.carried);
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

    /// Records what was decided, and then does it.
    fn carry_out(
        &mut self,
        now: Instant,
        fresh: Vec<Fresh>,
        refused: Vec<(oneshot::Sender<Answer>, Answer)>,
        actions: Vec<Action>,
    ) {
        let mut ended: HashMap<MessageId, Status> = HashMap::new();
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
        for Fresh { id, class, record, answer } in fresh {
            if let Some(status) = ended.remove(&id) {
                self.release(id);
                self.figures.ended(class, status.into());
                let word = match status {
                    Status::Undeliverable => Answer::Failed,
                    Status::Deferred(again) => Answer::Refused(again.unwrap_or(0) as Millis),
                };
                answers.push((answer, word));
            } else {
                tracing::debug!(target: STORY, txn = &*record.txn, class = &*record.class,
                    to = record.destination, "taken on");
                self.store.take(record);
                taken.push((id, answer));
            }
        }
        let mut notices = Vec::new();
        for (id, status) in ended {
            let Some(held) = self.release(id) else { continue };
            tracing::debug!(target: STORY, txn = &*held.txn, ?status, "ended");
            self.store.end(&held.txn, Some(status));
            self.figures.ended(held.class, status.into());
            notices.push(Notice { txn: held.txn, status });
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
                Action::Probe { route } => self.outbound.probe(route),
                // The watch is always on.
                Action::Subscribe => {}
                Action::Remember { destination, route, trouble } => {
                    self.remember(destination, route, trouble);
                }
                Action::Refuse { .. } | Action::Fail { .. } => {}
            }
        }
        if let Err(error) = self.store.commit() {
            tracing::warn!("journal: a batch could not be written: {error}");
            for (id, answer) in taken.drain(..) {
                if let Some(held) = self.release(id) {
                    self.store.forget(&held.txn);
                    self.carried.push(Event::Dropped(id));
                    self.figures.ended(held.class, End::Refused);
                }
                answers.push((answer, Answer::Refused(0.0)));
            }
            // An attempt that is not on record must not go out.
            for call in calls.drain(..) {
                let report = Report::from(Outcome::Moot);
                let event = self.outcome(call.id, call.attempt, report);
                self.carried.push(event);
            }
        }
        answers.extend(taken.into_iter().map(|(_, answer)| (answer, Answer::Accepted)));
        for (answer, word) in answers {
            // If nobody waits for it any more, the connection's end says so.
            let _ = answer.send(word);
        }
        notices.into_iter().for_each(|notice| self.reports.push(notice));
        for call in calls {
            let id = call.id;
            self.calls.insert(id, self.outbound.start(call));
        }
        if self.neighbour.is_there() && self.told_out != self.calls.len() {
            self.told_out = self.calls.len();
            self.neighbour.tell(Word::Out(self.told_out));
        }
    }

    /// A message handed in, unless it is turned away at the door.
    fn admit(
        &mut self,
        submission: Submission,
        now: Instant,
        room: &mut u64,
        fresh: &mut Vec<Fresh>,
        refused: &mut Vec<(oneshot::Sender<Answer>, Answer)>,
    ) -> Option<Message> {
        let Submission { number, txn, class, tenant, destination, key, body, ends_at, answer } = submission;
        if answer.is_closed() {
            return None;
        }
        if !self.destinations.contains(&destination) {
            // Before any list has come, nothing can be said of it.
            let unknown = !self.destinations.is_empty();
            if !unknown {
                self.figures.ended(class, End::Refused);
            }
            refused.push((answer, if unknown { Answer::UnknownDestination } else { Answer::Refused(0.0) }));
            return None;
        }
        if let Some(&id) = self.ids.get(&txn) {
            // Handed in twice, taken on once, and owed to each client that hears so: to forget the earlier one
            // would let anybody who knows an id end its message by going away.
            let held = self.held.get_mut(&id).filter(|held| held.hand_ins.len() < MOST_HAND_INS);
            match held.filter(|_| fresh.iter().all(|f| f.id != id)) {
                Some(held) => {
                    held.hand_ins.push(number);
                    self.hand_ins.insert(number, id);
                    refused.push((answer, Answer::Accepted));
                }
                None => {
                    self.figures.ended(class, End::Refused);
                    refused.push((answer, Answer::Refused(0.0)));
                }
            }
            return None;
        }
        if self.store.knows(&txn) {
            // Its notice is still owed: what acknowledges that must not end a new message of the same id.
            self.figures.ended(class, End::Refused);
            refused.push((answer, Answer::Refused(0.0)));
            return None;
        }
        let left = ends_at.saturating_duration_since(now);
        let record = journal::Message {
            txn: txn.clone(),
            class: self.names.classes.get(class).map_or("", String::as_str).into(),
            tenant: self.names.tenants.get(tenant).map_or("", String::as_str).into(),
            destination: destination.0,
            key: key.clone(),
            deadline: journal::wall_ms() + left.as_millis() as u64,
            body: body.clone(),
            attempts: 0,
            may_have_run: None,
            out: None,
        };
        let more = record.room();
        if self.held.len() >= self.settings.most_held || !self.store.has_room(*room + more) {
            self.figures.ended(class, End::Refused);
            refused.push((answer, Answer::Refused(0.0)));
            return None;
        }
        if !Store::fits_batch(*room + more) {
            let submission =
                Submission { number, txn, class, tenant, destination, key, body, ends_at, answer };
            self.deferred.push(Input::HandedIn(submission));
            return None;
        }
        *room += more;
        let id = self.hold(Held { txn, class, hand_ins: vec![number], key, body, ends_at, attempts: 0 });
        self.hand_ins.insert(number, id);
        fresh.push(Fresh { id, class, record, answer });
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

    fn wants(&self) -> Vec<(Gate, Want)> {
        let named = |want: Want| {
            let receiver = match want.route {
                Some(route) => Some(self.outbound.place(route)?.0),
                None => None,
            };
            Some((Gate::of(want.destination.0, receiver.as_deref()), want))
        };
        self.sender.wants().into_iter().filter_map(named).collect()
    }

    fn standing(&self) -> Standing {
        Standing {
            open_requests: self.held.len(),
            registry_entries: self.routes.values().filter(|known| known.gone_at.is_none()).count(),
            out_of_rotation: self.sender.avoided(),
        }
    }

    fn hold(&mut self, held: Held) -> MessageId {
        let mut id = MessageId(self.next_id);
        while self.held.contains_key(&id) || self.calls.contains_key(&id) {
            id = MessageId(id.0.wrapping_add(1));
        }
        self.next_id = id.0.wrapping_add(1);
        self.ids.insert(held.txn.clone(), id);
        self.held.insert(id, held);
        id
    }

    fn release(&mut self, id: MessageId) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.ids.remove(&held.txn);
        for hand_in in &held.hand_ins {
            self.hand_ins.remove(hand_in);
        }
        Some(held)
    }

    fn withdraw(&mut self, hand_in: u64) -> Option<Event> {
        let id = self.hand_ins.remove(&hand_in)?;
        let held = self.held.get_mut(&id)?;
        held.hand_ins.retain(|&number| number != hand_in);
        if !held.hand_ins.is_empty() {
            return None;
        }
        let held = self.release(id)?;
        tracing::debug!(target: STORY, txn = &*held.txn, "withdrawn");
        self.store.end(&held.txn, None);
        Some(Event::Dropped(id))
    }

    /// The attempt's place in the journal, and the call to make. While stopping none starts too late: the
    /// message then stays in the journal for the next start.
    fn attempt(
        &mut self,
        now: Instant,
        id: MessageId,
        route: RouteId,
        timeout: Millis,
        within: Millis,
    ) -> Option<Call> {
        if self.stop.is_some_and(|at| now - at >= STOP_SENDING) {
            return None;
        }
        let held = self.held.get_mut(&id)?;
        let (receiver, zone) = self.outbound.place(route)?;
        let attempt = held.attempts;
        held.attempts += 1;
        tracing::debug!(target: STORY, txn = &*held.txn, attempt, receiver = &*receiver, zone = &*zone, "attempt");
        self.store.attempt(&held.txn, Ran { at: journal::wall_ms(), receiver, zone });
        let (txn, key, body) = (held.txn.clone(), held.key.clone(), held.body.clone());
        let patience = Duration::from_secs_f64(timeout.max(0.0) / 1_000.0);
        let until = if timeout == 0.0 { held.ends_at } else { (now + patience).min(held.ends_at) };
        let within = Duration::try_from_secs_f64(within.max(0.0) / 1_000.0);
        let latest = within.map_or(held.ends_at, |within| now + within);
        Some(Call { id, attempt, route, txn, key, body, until, latest })
    }

    fn outcome(&mut self, id: MessageId, attempt: u32, report: Report) -> Event {
        self.calls.remove(&id);
        let Report { outcome, wait, closed } = report;
        if let Some(held) = self.held.get(&id) {
            tracing::debug!(target: STORY, txn = &*held.txn, attempt, ?outcome, wait, "outcome");
            if closed {
                self.store.end(&held.txn, None);
                if outcome == Outcome::Ok {
                    self.figures.ended(held.class, End::Delivered);
                }
                self.release(id);
            } else {
                let never = matches!(
                    outcome,
                    Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Spent
                );
                self.store.outcome(&held.txn, attempt, !never);
            }
        }
        let closed = !self.held.contains_key(&id);
        Event::Outcome { id, attempt, outcome, retry_after: wait, closed }
    }

    fn cancel(&mut self, id: MessageId, attempt: u32) {
        let out = self.held.get(&id).is_none_or(|held| held.attempts == attempt + 1);
        if let Some(call) = self.calls.get(&id).filter(|_| out) {
            call.abort();
            let event = self.outcome(id, attempt, Outcome::Cancelled.into());
            self.carried.push(event);
        }
    }

    // ---- Two processes for a while ---------------------------------------------------------------------------

    /// A successor gets half of the disk, and hears what is known of outages and waits.
    fn successor(&mut self, came: bool) {
        if !came {
            self.sender.share_slots(0);
        }
        if !self.store.is_owner() {
            // It is the owner that is gone; its journal's lock says when it has ended.
            return;
        }
        if let Err(error) = self.store.share(came) {
            tracing::warn!("journal: no room could be made for a successor: {error}");
        }
        if !came {
            return;
        }
        tracing::info!("handover: a successor has come");
        for ((destination, receiver), trouble) in self.store.memories() {
            let trouble = match trouble {
                journal::Trouble::Down { wait } => handover::Trouble::Down { wait },
                journal::Trouble::Cold { ago, part } => handover::Trouble::Cold { ago, part },
            };
            let (destination, receiver) = (*destination, receiver.to_string());
            self.neighbour.tell(Word::Trouble { destination, receiver, trouble });
        }
        self.outbound.waits().into_iter().for_each(|word| self.neighbour.tell(word));
        self.told_out = self.calls.len();
        self.neighbour.tell(Word::Out(self.told_out));
        self.neighbour.tell(Word::Room);
    }

    /// What a predecessor tells a process that begins: as if its own journal had said so.
    pub fn hear(store: &mut Store, told: &[Word]) {
        for word in told {
            if let Word::Trouble { destination, receiver, trouble } = word {
                let trouble = match *trouble {
                    handover::Trouble::Down { wait } => journal::Trouble::Down { wait },
                    handover::Trouble::Cold { ago, part } => journal::Trouble::Cold { ago, part },
                };
                store.remember((*destination, receiver.as_str().into()), Some(trouble));
            }
        }
    }

    /// The other process of this sender was told to wait.
    fn heed(&mut self, destination: u16, receiver: Option<&str>, wait: Millis) -> Option<Event> {
        let route = match receiver {
            None => None,
            // One that is on no list here gets nothing anyway.
            Some(receiver) => Some(self.routes.get(receiver)?.route),
        };
        let destination = DestinationId(destination);
        self.outbound.heed(destination, route, wait);
        Some(Event::Waits { destination, route, wait })
    }

    /// If the process that owned the journal has ended, what it owed is ours.
    fn succeed(&mut self, now: Instant) {
        match self.store.succeed() {
            Ok(None) => {}
            Ok(Some(over)) => {
                tracing::info!(
                    "handover: taken over: {} messages, {} notices",
                    over.open.len(),
                    over.owed.len()
                );
                self.recover(now, over.open, over.owed);
            }
            Err(error) => tracing::warn!("handover: the older journal cannot be read yet: {error}"),
        }
    }

    /// Hands the module what the journal holds, with each message's history; and the platform what it has
    /// not acknowledged. An attempt without an outcome may have run.
    fn recover(&mut self, now: Instant, messages: Vec<journal::Message>, owed: Vec<Notice>) {
        owed.into_iter().for_each(|notice| self.reports.push(notice));
        let wall = journal::wall_ms();
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
            let left = m.deadline.saturating_sub(wall);
            tracing::debug!(target: STORY, txn = &*m.txn, attempts = m.attempts, ran = ?m.may_have_run, left,
                "taken up again");
            let may_have_run = m.may_have_run.map(|ran| PastRun {
                ago: wall.saturating_sub(ran.at) as Millis,
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
    fn remember(&mut self, destination: DestinationId, route: Option<RouteId>, trouble: Trouble) {
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
    fn recall(&self) -> Vec<Event> {
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

    // ---- The list ----------------------------------------------------------------------------------------

    /// The list in the module's terms; outgoing calls follow it at once.
    fn list(&mut self, list: &List) -> Vec<RouteEntry> {
        let now = Instant::now();
        let entries: Vec<RouteEntry> = list.members.iter().map(|member| self.member(member, now)).collect();
        if list.complete {
            let listed: HashSet<RouteId> = entries.iter().map(|e| e.route).collect();
            self.outbound.keep_only(&listed);
            let missing = self.routes.values_mut().filter(|known| !listed.contains(&known.route));
            missing.for_each(|known| known.gone_at = known.gone_at.or(Some(now)));
        }
        // Receivers are replaced all day by new ones under new ids.
        self.routes.retain(|_, known| known.gone_at.is_none_or(|at| now - at < KEEP_GONE));
        self.destinations = self.routes.values().filter_map(|known| known.destination).collect();
        entries
    }

    fn member(&mut self, member: &Member, now: Instant) -> RouteEntry {
        let kind = self.names.kinds.iter().position(|name| *name == member.flavor);
        // The last kind serves for those without a name.
        let kind = kind.unwrap_or(self.settings.kinds.len().saturating_sub(1));
        let listing = match member.phase.as_str() {
            "SERVING" => Listing::Ready,
            "DELETED" => Listing::Gone,
            _ => Listing::Draining,
        };
        let entry = RouteEntry {
            route: self.route(&member.id, now),
            destination: DestinationId(member.cell),
            zone: self.zone(&member.locality),
            kind: kind as u16,
            listing,
            rate: member.size,
        };
        if let Some(known) = self.routes.get_mut(member.id.as_str()) {
            let gone = listing == Listing::Gone;
            known.gone_at = gone.then(|| known.gone_at.unwrap_or(now));
            known.destination = if gone { known.destination } else { Some(entry.destination) };
        }
        let route = Route {
            addr: member.host_port.parse().ok(),
            receiver: member.id.as_str().into(),
            zone: member.locality.as_str().into(),
            destination: entry.destination,
            apart: self.settings.kinds.get(kind).is_some_and(|kind| kind.routes_apart),
            listing,
        };
        self.outbound.list(entry.route, route);
        entry
    }

    /// A receiver's number; one that is on no list yet is taken for gone.
    fn route(&mut self, receiver: &str, now: Instant) -> RouteId {
        if let Some(known) = self.routes.get(receiver) {
            return known.route;
        }
        let route = RouteId(self.next_route);
        self.next_route += 1;
        let known = Known { route, destination: None, gone_at: Some(now) };
        self.routes.insert(receiver.into(), known);
        route
    }

    /// A zone's number; one that the settings do not name gets a further one, so that it is like no other.
    fn zone(&mut self, zone: &str) -> u8 {
        let known = self.zones.iter().position(|name| name == zone);
        let next = self.zones.len();
        if known.is_none() && next < usize::from(u8::MAX) {
            self.zones.push(zone.to_owned());
        }
        known.unwrap_or(next) as u8
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An engine with one receiver for destination 7, and its inputs' other end.
    fn engine(state: &std::path::Path) -> (Engine, mpsc::Sender<Input>) {
        let json = serde_json::json!({
            "extra": {"calls_out": 4}, "kinds": ["k"], "limits": {"max_attempts": 4, "most_held": 50},
            "lanes": [{"name": "safe", "effect": "free", "deadline": 9000.0}]});
        let settings = rudderspindle_decide::settings::read(&json).expect("settings");
        let names = rudderspindle_decide::settings::names(&json).expect("names");
        let (to_engine, inputs) = mpsc::channel(16);
        let figures = Rc::new(Figures::new(&names.classes));
        let neighbour = Rc::new(Neighbour::default());
        let outbound =
            Rc::new(Outbound::new(&settings, 8, figures.clone(), neighbour.clone(), to_engine.clone()));
        let store = Store::open(state, 3_000_000).expect("a journal");
        let reports = Rc::default();
        let parts = Parts {
            settings,
            names,
            seed: 1,
            store,
            outbound,
            reports,
            figures,
            neighbour,
            shared_door: false,
            notes: false,
            rights: false,
            inputs,
        };
        let member =
            serde_json::json!({"id": "r1", "host_port": "127.0.0.1:1", "cell": 7, "phase": "SERVING"});
        let list = serde_json::json!({"revision": 1, "complete": true, "members": [member]});
        let list = serde_json::from_value(list).expect("a list");
        (Engine::new(parts, &list, None).expect("an engine"), to_engine)
    }

    fn submission(number: u64, txn: &str) -> (Input, oneshot::Receiver<Answer>) {
        let (answer, answered) = oneshot::channel();
        let (txn, body) = (txn.into(), Bytes::from_static(b"text"));
        let (ends_at, destination) = (Instant::now() + Duration::from_secs(9), DestinationId(7));
        let s =
            Submission { number, txn, class: 0, tenant: 0, destination, key: None, body, ends_at, answer };
        (Input::HandedIn(s), answered)
    }

    /// A client that knows an open message's id could end it by going away, though another had its 202.
    #[tokio::test]
    async fn a_message_is_withdrawn_only_when_none_of_its_clients_was_heard() {
        let folder = tempfile::tempdir().expect("a folder");
        let test = async {
            let (mut engine, _inputs) = engine(folder.path());
            for number in 1..=MOST_HAND_INS as u64 + 1 {
                let (input, answered) = submission(number, "m1");
                engine.batch(vec![input]);
                let more = number > MOST_HAND_INS as u64;
                let expected = if more { Answer::Refused(0.0) } else { Answer::Accepted };
                assert_eq!(answered.await, Ok(expected));
            }
            for number in 2..=MOST_HAND_INS as u64 + 1 {
                engine.batch(vec![Input::Withdrawn(number)]);
                assert!(engine.held.len() == 1 && engine.store.knows(&"m1".into()), "ended by {number}");
            }
            engine.batch(vec![Input::Withdrawn(1)]);
            assert!(
                engine.held.is_empty() && engine.hand_ins.is_empty() && !engine.store.knows(&"m1".into())
            );
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }

    /// Receivers are replaced all day by others under new ids, and messages are ever new.
    #[tokio::test(start_paused = true)]
    async fn what_is_remembered_stays_bounded_while_receivers_and_messages_change() {
        let folder = tempfile::tempdir().expect("a folder");
        let test = async {
            let (mut engine, mut _inputs) = engine(folder.path());
            let mut after = Vec::new();
            for n in 0..1_200u64 {
                let entry = |n: u64, phase| {
                    let port = 1 + n % 50;
                    serde_json::json!({"id": format!("r{n}"), "host_port": format!("127.0.0.1:{port}"),
                        "locality": format!("zone-{n}"), "cell": 7 + n % 3, "phase": phase})
                };
                let members = if n < 3 {
                    vec![entry(n, "SERVING")]
                } else {
                    vec![entry(n, "SERVING"), entry(n - 3, "DELETED")]
                };
                let list = serde_json::json!({"revision": n, "complete": false, "members": members});
                engine.batch(vec![Input::List(serde_json::from_value(list).expect("a list"))]);
                let (input, _answered) = submission(n, &format!("m{n}"));
                engine.batch(vec![input, Input::Withdrawn(n)]);
                tokio::time::advance(Duration::from_millis(500)).await;
                engine.batch(Vec::new());
                let maps =
                    engine.routes.len() + engine.destinations.len() + engine.held.len() + engine.ids.len();
                let maps = maps + engine.hand_ins.len() + engine.calls.len() + engine.wakes.len();
                after.push(maps + engine.outbound.remembered() + engine.sender.remembered());
            }
            let (half, end) = (after[599], after[1_199]);
            assert!(end <= half + 10 && end < 600, "{half} half-way, {end} at the end");
            assert!(engine.zones.len() <= usize::from(u8::MAX));
        };
        tokio::task::LocalSet::new().run_until(test).await;
    }
}
