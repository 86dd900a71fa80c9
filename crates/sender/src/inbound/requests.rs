//! One request of a client: read, checked, handed to the host, and answered.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use rudderspindle_journal::MessageId;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::*;
use crate::event::{Answer, IDEMPOTENCY_KEY, Submission};
use crate::metrics::FinalOutcome;

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_ORG: HeaderName = HeaderName::from_static("x-org");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const X_ROUTE_TO: HeaderName = HeaderName::from_static("x-route-to");

const READY: &str = "/-/ready";
/// An id or a key is no longer than this.
const MAX_NAME: usize = 256;

impl Inbound {
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        client: &Client,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let mut answer = match (request.method(), request.uri().path()) {
            // A process that leaves clients to its successor is one with it: both are the sender, which is ready.
            (&Method::GET, READY)
                if matches!(*self.door.borrow(), AdmissionState::Drained | AdmissionState::Stopping) =>
            {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
            (&Method::GET, READY) => plain(StatusCode::OK, "ready"),
            (_, READY) => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only"),
            (&Method::POST, _) => match self.submit(request, client).await {
                Ok(answer) | Err(answer) => answer,
            },
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "POST only"),
        };
        if answer.status().is_client_error() || *self.door.borrow() != AdmissionState::Accepting {
            // What follows on the connection of a client that cannot be understood may be the rest of a body.
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.rest();
        let wanted = |id| self.coming(id) || self.has_unread(id);
        let surplus = self.places.borrow_mut().answered(client.id, self.now(), wanted);
        if let Some(surplus) = surplus.and_then(|id| self.client(id)) {
            surplus.close();
        }
        Ok(answer)
    }

    /// Hands a message to the host and waits for what it says; `Err` is a request that cannot be taken.
    async fn submit(&self, request: Request<Incoming>, client: &Client) -> Result<Reply, Reply> {
        let bad = |what| plain(StatusCode::BAD_REQUEST, what);
        let owed = &client.owed;
        let (head, body) = request.into_parts();
        if head.headers.contains_key(TRANSFER_ENCODING) {
            // hyper lets it override a Content-Length and reads on behind the last chunk: another request may
            // be hidden in what the length says is the body. No client of ours sends it.
            return Err(bad("Transfer-Encoding"));
        }
        let length = body.size_hint().lower();
        if length > MAX_BODY as u64 {
            return Err(too_large());
        }
        let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.names.classes.iter().position(|name| name == class);
        let class = class.ok_or_else(|| plain(StatusCode::NOT_FOUND, "unknown class"))?;
        let message_id = name(&head.headers, &X_TXN).ok_or_else(|| bad("bad X-Txn"))?;
        let tenant = match name(&head.headers, &X_ORG) {
            Some(tenant) => self.names.tenants.iter().position(|name| name == tenant),
            None => self.names.tenants.is_empty().then_some(0),
        };
        let tenant = tenant.ok_or_else(|| bad("unknown tenant"))?;
        let destination = name(&head.headers, &X_ROUTE_TO).and_then(destination);
        let destination = destination.ok_or_else(|| bad("bad X-Route-To"))?;
        let left = name(&head.headers, &X_REMAINING).and_then(|text| text.trim().parse::<f64>().ok());
        let left = left.filter(|left| left.is_finite() && *left >= 0.0);
        let left = left.ok_or_else(|| bad("bad X-Remaining"))?;
        let key = head.headers.get(IDEMPOTENCY_KEY);
        let keyed = matches!(self.settings.classes[class].effect, Effect::IdempotencyKey { .. });
        if key.is_some_and(|key| key.len() > MAX_NAME) || (keyed && key.is_none_or(HeaderValue::is_empty)) {
            return Err(bad("bad Idempotency-Key"));
        }
        let key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
        let message_id = MessageId::from(message_id);
        let body = {
            let Ok(_room) = self.bodies.try_acquire_many(length as u32) else {
                return Ok(self.turn_away(class));
            };
            match timeout_at(client.due(), Limited::new(body, MAX_BODY).collect()).await {
                // A copy: a body that came as one piece would keep the connection's whole buffer in memory.
                Ok(Ok(body)) => Bytes::copy_from_slice(&body.to_bytes()),
                Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(too_large()),
                Ok(Err(_)) => return Err(bad("unfinished body")),
                Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "unfinished body")),
            }
        };
        client.asked.set(true);
        self.places.borrow_mut().asks(client.id, self.now());
        // A message's time counts from its last byte. Its class bounds what a client can ask for.
        let left = left.min(self.settings.classes[class].deadline / 1_000.0);
        let ends_at = Instant::now() + Duration::from_secs_f64(left);
        let number = self.submissions.get();
        self.submissions.set(number + 1);
        let (answer, answered) = oneshot::channel();
        let submission =
            Submission { number, message_id, class, tenant, destination, key, body, ends_at, answer };
        if self.host.try_send(Input::Submitted(submission)).is_err() {
            return Ok(self.turn_away(class));
        }
        owed.hand_in(number);
        let answer = answered.await.unwrap_or(Answer::REFUSED);
        if answer == Answer::Accepted {
            owed.accept();
            return Ok(plain(StatusCode::ACCEPTED, "taken on"));
        }
        owed.number.set(None);
        Ok(match answer {
            Answer::Accepted | Answer::Failed => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
            Answer::Refused { retry_after } => self.refusal(retry_after),
            Answer::UnknownDestination => plain(StatusCode::NOT_FOUND, "unknown destination"),
        })
    }

    /// Refused before the engine has heard of it.
    fn turn_away(&self, class: usize) -> Reply {
        self.metrics.record_outcome(class, FinalOutcome::Rejected);
        self.refusal(0.0)
    }

    fn refusal(&self, again: Millis) -> Reply {
        let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
        let seconds = HeaderValue::from_str(&format!("{:.3}", again / 1_000.0));
        if let (true, Ok(seconds)) = (self.settings.retry_after && again > 0.0, seconds) {
            reply.headers_mut().insert(RETRY_AFTER, seconds);
        }
        reply
    }
}

type Reply = Response<Full<Bytes>>;

fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(Full::from(text));
    *reply.status_mut() = status;
    reply
}

fn too_large() -> Reply {
    plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large")
}

/// A header's text, if it is there and of a sensible length.
fn name<'a>(headers: &'a HeaderMap, header: &HeaderName) -> Option<&'a str> {
    headers.get(header)?.to_str().ok().filter(|text| (1..=MAX_NAME).contains(&text.len()))
}

/// The destination in `dest=7`, alone or among other pairs.
fn destination(text: &str) -> Option<DestinationId> {
    let pair = text.split([',', ';']).filter_map(|pair| pair.split_once('='));
    let value = pair.filter(|(name, _)| name.trim() == "dest").map(|(_, value)| value).next()?;
    value.trim().parse().ok().map(DestinationId)
}
