//! One call or probe: a request over one connection, and what comes back.

use super::outcome::{End, Heard, Sent, answered, answers, unanswered};
use super::*;

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
/// How long the rest of an answer may take before its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_millis(500);
/// ...and the rest of its head: it is written in one go.
const HEAD_TIME: Duration = Duration::from_millis(500);

/// A connection, and the body that has not been read from it.
pub(super) type Rest = (Connection, Option<Incoming>);

/// The times of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// When to stop waiting.
    pub(super) until: Instant,
    /// By when its last byte must be out: later it does not go.
    pub(super) latest: Instant,
    /// Whether it must not arrive after that either: an earlier call may have run, and its key is forgotten then.
    pub(super) keyed_repeat: bool,
}

impl Outbound {
    pub(super) async fn call(&self, call: &Call, cancelled: &Notify) -> (AttemptResult, Option<Rest>) {
        let request = |host: HeaderValue, patience: Duration| {
            let mut request = Request::post("/v1/messages")
                .header(HOST, host)
                .header(X_TXN, &*call.message_id)
                .header(X_REMAINING, format!("{:.3}", patience.as_secs_f64()));
            if let Some(key) = &call.key {
                request = request.header(IDEMPOTENCY_KEY, &**key);
            }
            request.body(Full::new(call.body.clone()))
        };
        let keyed_repeat = call.key.is_some() && call.attempt > 0;
        let bounds = Bounds { until: call.until, latest: call.latest, keyed_repeat };
        self.exchange(call.route, &bounds, cancelled, Some(&call.message_id), request).await
    }

    /// One request within its bounds, and the head of its answer; `message` is the one that a call is with, none for a probe.
    pub(super) async fn exchange(
        &self,
        route: RouteId,
        &Bounds { until, latest, keyed_repeat }: &Bounds,
        cancelled: &Notify,
        message: Option<&MessageId>,
        request: impl Fn(HeaderValue, Duration) -> hyper::http::Result<Request<Full<Bytes>>>,
    ) -> (AttemptResult, Option<Rest>) {
        let moot = || (Outcome::NotSent.into(), None);
        loop {
            let known = self.routes.borrow().get(&route).and_then(|r| Some((r.addr?, r.waits(route))));
            let Some((addr, waits)) = known else { return moot() };
            let (mut connection, kept) = match self.kept(route) {
                Some(connection) => (connection, true),
                None => {
                    let connected = tokio::select! {
                        biased;
                        () = cancelled.notified() => Err(End::Cancelled),
                        connected = self.connect(addr, until.min(latest)) => connected,
                    };
                    match connected {
                        Ok(connection) => (connection, false),
                        // That it had so little time says nothing of the receiver.
                        Err(_) if Instant::now() >= latest => return moot(),
                        Err(end) => return (unanswered(Sent::Nothing, Heard::Nothing, end).into(), None),
                    }
                }
            };
            // A drain or a wait may have been told since the decision, or a key's window or the call's time may
            // be over, above all while connections came up or turned out to be dead.
            let too_late = Instant::now() >= latest.min(until);
            // What is announced is what is kept to, to the millisecond: an answer that comes later is none. The
            // receiver takes its call for given up then, and the message is still owed its end.
            let begun = Instant::now();
            let patience = whole_ms(until.saturating_duration_since(begun));
            let until = begun + patience;
            let host = HeaderValue::from_str(&addr.to_string());
            let request = host.ok().and_then(|host| request(host, patience).ok());
            let Some(request) = request.filter(|_| self.may_send(route) && !too_late) else {
                self.keep(route, connection);
                return moot();
            };
            let write_progress = connection.write_progress.clone();
            write_progress.reset();
            if message.is_some() {
                write_progress.count_when_complete(self.metrics.clone());
            }
            if keyed_repeat {
                connection.limit_unacknowledged(Some(latest.saturating_duration_since(Instant::now())));
            }
            let answer = tokio::select! {
                biased;
                answer = connection.sender.send_request(request) => answer.map_err(|_| End::Broken),
                () = write_progress.response_head_overdue(HEAD_TIME) => Err(End::Broken),
                () = sleep_until(until) => Err(End::TimedOut),
                () = write_progress.write_incomplete_at(latest) => Err(End::TimedOut),
                () = cancelled.notified() => Err(End::Cancelled),
            };
            // The timer rings up to a tick late, and the answer of that tick stands first.
            let late = write_progress.first_byte_received_at().is_some_and(|at| at >= until);
            let end = match answer {
                Ok(response) if late => {
                    // What it tells of the partner holds all the same.
                    self.heed_told(waits, answered(response.status(), response.headers()).retry_after);
                    End::TimedOut
                }
                Ok(response) => match self.believe(response, Sent::of(&write_progress), until).await {
                    Some((report, body)) => {
                        tracing::debug!(target: MESSAGE_LOG, message_id = message.map(|message_id| &**message_id), %addr, kept,
                            outcome = ?report.outcome, wait = report.retry_after, "answered");
                        self.heed_told(waits, report.retry_after);
                        // Nothing more of a call that was turned away before its last byte.
                        let rest = (Sent::of(&write_progress) == Sent::Whole).then_some((connection, body));
                        return (report, rest);
                    }
                    None => End::Broken,
                },
                Err(end) => end,
            };
            let (sent, heard) =
                (Sent::of(&write_progress), if late { Heard::Nothing } else { Heard::of(&write_progress) });
            tracing::debug!(target: MESSAGE_LOG, message_id = message.map(|message_id| &**message_id), ?end, kept, ?sent, ?heard, "broken off");
            // A kept connection that the receiver closed, or that is not quiet, before a byte of this went out:
            // no attempt yet.
            if !(kept && end == End::Broken && sent == Sent::Nothing) {
                return (unanswered(sent, heard, end).into(), None);
            }
        }
    }

    /// A receiver asks for a pause, or for none: the other process of this sender hears of it, too.
    fn heed_told(&self, waits: Waits, wait: Millis) {
        if wait > 0.0 {
            self.wait(waits, wait);
            self.peer_process.tell(self.word(waits, wait));
        }
    }

    /// What an answer says, and what is left to read of it. That a call never ran is believed only of an answer
    /// that is well-formed to its end: a spoilt one may say anything, and its call has run.
    async fn believe(
        &self,
        response: Response<Incoming>,
        sent: Sent,
        until: Instant,
    ) -> Option<(AttemptResult, Option<Incoming>)> {
        let report = answered(response.status(), response.headers());
        if !answers(sent, report.outcome) {
            return None;
        }
        let body = response.into_body();
        if report.outcome.possibly_executed() {
            return Some((report, Some(body)));
        }
        drain(body, until).await.then_some((report, None))
    }

    /// Reads the rest of an answer, so that its connection can be used again.
    pub(super) async fn finish(&self, route: RouteId, rest: Option<Rest>) {
        let Some((mut connection, body)) = rest else { return };
        let whole = match body {
            Some(body) => drain(body, Instant::now() + REST_OF_ANSWER).await,
            None => true,
        };
        if whole && matches!(timeout(REST_OF_ANSWER, connection.sender.ready()).await, Ok(Ok(()))) {
            self.keep(route, connection);
        }
    }
}

/// Whole milliseconds: what `X-Remaining` can say.
fn whole_ms(time: Duration) -> Duration {
    time - Duration::from_nanos(u64::from(time.subsec_nanos()) % 1_000_000)
}

/// Reads a body to its end, if it has one that is near: receivers write at full speed what they write.
async fn drain(body: Incoming, until: Instant) -> bool {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return false;
    }
    let until = until.min(Instant::now() + REST_OF_ANSWER);
    let whole = timeout_at(until, Limited::new(body, MAX_BODY).collect()).await;
    matches!(whole, Ok(Ok(_)))
}
