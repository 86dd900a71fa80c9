//! One call or probe: a request over one connection, and what comes back.

use super::*;

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
/// How long the rest of an answer may take before its connection is given up.
const REST_OF_ANSWER: Duration = Duration::from_millis(500);
/// ...and the rest of its head: it is written in one go.
const HEAD_TIME: Duration = Duration::from_millis(500);

/// A connection, and the body that has not been read from it.
pub(super) type Rest = (Connection, Option<Incoming>);

/// Why a call has no answer that can be read.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// The connection ended, or what came is no answer.
    Broken,
    /// Time is up.
    Silent,
    /// Its owner wants no answer any more.
    Cancelled,
}

impl Outbound {
    pub(super) async fn call(&self, call: &Call, cancelled: &Notify) -> (Report, Option<Rest>) {
        let request = |host: HeaderValue, patience: Duration| {
            let mut request = Request::post("/v1/messages")
                .header(HOST, host)
                .header(X_TXN, &*call.txn)
                .header(X_REMAINING, format!("{:.3}", patience.as_secs_f64()));
            if let Some(key) = &call.key {
                request = request.header(IDEMPOTENCY_KEY, &**key);
            }
            request.body(Full::new(call.body.clone()))
        };
        self.exchange(call.route, (call.until, call.latest), cancelled, Some(&call.txn), request).await
    }

    /// One request, answered by `until` or given up, whose last byte is out by `latest` or never, and the head of
    /// its answer; `message` is the one that a call is with, none for a probe.
    pub(super) async fn exchange(
        &self,
        route: RouteId,
        (until, latest): (Instant, Instant),
        cancelled: &Notify,
        message: Option<&Txn>,
        request: impl Fn(HeaderValue, Duration) -> hyper::http::Result<Request<Full<Bytes>>>,
    ) -> (Report, Option<Rest>) {
        loop {
            let known = self.routes.borrow().get(&route).and_then(|r| Some((r.addr?, r.waits(route))));
            let Some((addr, waits)) = known else { return (Outcome::Moot.into(), None) };
            let kept = self.kept(route);
            let was_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => {
                    let connected = tokio::select! {
                        biased;
                        () = cancelled.notified() => Err(Outcome::Moot),
                        connected = self.connect(addr, until.min(latest)) => connected,
                    };
                    match connected {
                        Ok(connection) => connection,
                        // That it had so little time says nothing of the receiver.
                        Err(_) if Instant::now() >= latest => return (Outcome::Moot.into(), None),
                        Err(outcome) => return (outcome.into(), None),
                    }
                }
            };
            // A drain or a wait may have been told since the decision, or a key's window may be over, above all
            // while a connection came up.
            if !self.may_send(route) || Instant::now() >= latest {
                self.keep(route, connection);
                return (Outcome::Moot.into(), None);
            }
            // What is announced is what is kept to, to the millisecond: an answer that comes later is none. The
            // receiver takes its call for given up then, and the message is still owed its end.
            let begun = Instant::now();
            let patience = whole_ms(until.saturating_duration_since(begun));
            let until = begun + patience;
            let host = HeaderValue::from_str(&addr.to_string());
            let Some(request) = host.ok().and_then(|host| request(host, patience).ok()) else {
                self.keep(route, connection);
                return (Outcome::Moot.into(), None);
            };
            let meter = connection.meter.clone();
            meter.reset();
            if message.is_some() {
                meter.count_in(self.figures.clone());
            }
            let answer = tokio::select! {
                biased;
                answer = connection.sender.send_request(request) => answer.map_err(|_| Failure::Broken),
                () = meter.head_without_end(HEAD_TIME) => Err(Failure::Broken),
                () = sleep_until(until) => Err(Failure::Silent),
                () = meter.incomplete_at(latest) => Err(Failure::Silent),
                () = cancelled.notified() => Err(Failure::Cancelled),
            };
            // The timer rings up to a tick late, and the answer of that tick stands first.
            let late = || meter.heard().is_some_and(|at| at >= until);
            let failure = match answer {
                Ok(response) if late() => {
                    // What it tells of the partner holds all the same.
                    self.heed_told(waits, read(&response).wait);
                    Failure::Silent
                }
                Ok(response) => match self.believe(response, until).await {
                    Some((report, body)) => {
                        tracing::debug!(target: STORY, txn = message.map(|txn| &**txn), %addr, kept = was_kept,
                            outcome = ?report.outcome, wait = report.wait, "answered");
                        self.heed_told(waits, report.wait);
                        return (report, Some((connection, body)));
                    }
                    None => Failure::Broken,
                },
                Err(failure) => failure,
            };
            tracing::debug!(target: STORY, txn = message.map(|txn| &**txn), ?failure, kept = was_kept,
                started = meter.started(), complete = meter.complete(), heard = meter.heard().is_some(),
                "broken off");
            // The first line has told already: it is delivered, though the rest of the answer is no use.
            if meter.complete() && meter.says_ok() && !late() {
                return (Outcome::Ok.into(), None);
            }
            match failure {
                // A kept connection that the receiver closed, or that is not quiet, before a byte of this went
                // out: no attempt yet.
                Failure::Broken if was_kept && !meter.started() => {}
                Failure::Cancelled if !meter.complete() => return (Outcome::Moot.into(), None),
                Failure::Cancelled => return (Outcome::Cancelled.into(), None),
                // A receiver begins a call when its last byte has come: this one never ran.
                _ if !meter.complete() => return (Outcome::ConnectFailed.into(), None),
                // Something was answered that cannot be read: it ran, and the receiver is up.
                _ if meter.heard().is_some() && !late() => return (Outcome::Error.into(), None),
                Failure::Broken => return (Outcome::Reset.into(), None),
                Failure::Silent => return (Outcome::Timeout.into(), None),
            }
        }
    }

    /// A receiver asks for a pause, or for none: the other process of this sender hears of it, too.
    fn heed_told(&self, waits: Waits, wait: Millis) {
        if wait > 0.0 {
            self.wait(waits, wait);
            self.neighbour.tell(self.word(waits, wait));
        }
    }

    /// What an answer says, and what is left to read of it. That a call never ran is believed only of an answer
    /// that is well-formed to its end: a spoilt one may say anything, and its call has run. One that does not end
    /// is not waited for beyond `until`: the message's own end may be due then.
    async fn believe(
        &self,
        response: Response<Incoming>,
        until: Instant,
    ) -> Option<(Report, Option<Incoming>)> {
        let report = read(&response);
        let body = response.into_body();
        if matches!(report.outcome, Outcome::Ok | Outcome::Error) {
            return Some((report, Some(body)));
        }
        timeout_at(until, drain(body)).await.unwrap_or(false).then_some((report, None))
    }

    /// Reads the rest of an answer, so that its connection can be used again.
    pub(super) async fn finish(&self, route: RouteId, rest: Option<Rest>) {
        let Some((mut connection, body)) = rest else { return };
        let whole = match body {
            Some(body) => drain(body).await,
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
async fn drain(body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return false;
    }
    let whole = timeout(REST_OF_ANSWER, Limited::new(body, MAX_BODY).collect()).await;
    matches!(whole, Ok(Ok(_)))
}
