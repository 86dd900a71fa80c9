//! Parses and validates the head of a submission.

use bytes::Bytes;
use hyper::Request;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use rudderspindle_journal::{MAX_BODY, MessageId};
use rudderspindle_policy::interface::{DestinationId, Effect, Settings};
use rudderspindle_policy::settings::Names;

use super::rejection::RequestRejection;
use crate::event::IDEMPOTENCY_KEY;

const X_TXN: HeaderName = HeaderName::from_static("x-txn");
const X_ORG: HeaderName = HeaderName::from_static("x-org");
const X_REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const X_ROUTE_TO: HeaderName = HeaderName::from_static("x-route-to");

/// Maximum length of a header value that is read, in bytes.
const MAX_HEADER_VALUE_LEN: usize = 256;

/// The validated head of a submission.
#[derive(Debug)]
pub(super) struct SubmissionHead {
    /// Index of the class in the settings.
    pub(super) class: usize,
    pub(super) message_id: MessageId,
    /// Index of the tenant in the settings; 0 if they name no tenants.
    pub(super) tenant: usize,
    pub(super) destination: DestinationId,
    /// Time until the message's deadline, in seconds.
    pub(super) remaining_s: f64,
    pub(super) idempotency_key: Option<Bytes>,
    /// Length of the body in bytes; at most [`MAX_BODY`].
    pub(super) body_len: u32,
}

impl SubmissionHead {
    /// Reads the head of `request`.
    ///
    /// # Errors
    ///
    /// [`RequestRejection`] for the first value that is missing or invalid.
    pub(super) fn parse<B: Body>(
        request: &Request<B>,
        settings: &Settings,
        names: &Names,
    ) -> Result<Self, RequestRejection> {
        let headers = request.headers();
        if headers.contains_key(TRANSFER_ENCODING) {
            return Err(RequestRejection::TransferEncoding);
        }
        let body_len = body_len(request.body())?;
        let class = class(request.uri().path(), names).ok_or(RequestRejection::UnknownClass)?;
        let message_id = header_text(headers, &X_TXN).ok_or(RequestRejection::InvalidMessageId)?;
        let tenant = tenant(headers, names).ok_or(RequestRejection::UnknownTenant)?;
        let destination = destination(headers).ok_or(RequestRejection::InvalidDestination)?;
        let remaining_s = remaining_s(headers).ok_or(RequestRejection::InvalidRemainingTime)?;
        let key_required = matches!(settings.classes[class].effect, Effect::IdempotencyKey { .. });
        let idempotency_key = idempotency_key(headers, key_required)?;
        Ok(Self {
            class,
            message_id: MessageId::from(message_id),
            tenant,
            destination,
            remaining_s,
            idempotency_key,
            body_len,
        })
    }
}

/// The length that the body announces, in bytes.
fn body_len(body: &impl Body) -> Result<u32, RequestRejection> {
    let body_len = body.size_hint().lower();
    if body_len > MAX_BODY as u64 {
        return Err(RequestRejection::BodyTooLarge);
    }
    Ok(body_len as u32)
}

/// The class named by the first segment of the path.
fn class(path: &str, names: &Names) -> Option<usize> {
    let class = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    names.classes.iter().position(|name| name == class)
}

/// The tenant named by `X-Org`; 0 if the header is missing and the settings name no tenants.
fn tenant(headers: &HeaderMap, names: &Names) -> Option<usize> {
    match header_text(headers, &X_ORG) {
        Some(tenant) => names.tenants.iter().position(|name| name == tenant),
        None => names.tenants.is_empty().then_some(0),
    }
}

/// The destination in `X-Route-To: dest=7`, alone or among other pairs.
fn destination(headers: &HeaderMap) -> Option<DestinationId> {
    let text = header_text(headers, &X_ROUTE_TO)?;
    let mut pairs = text.split([',', ';']).filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| name.trim() == "dest")?;
    value.trim().parse().ok().map(DestinationId)
}

/// The seconds in `X-Remaining`; `None` if the header is missing or not a finite number of at least 0.
fn remaining_s(headers: &HeaderMap) -> Option<f64> {
    let remaining: f64 = header_text(headers, &X_REMAINING)?.trim().parse().ok()?;
    (remaining.is_finite() && remaining >= 0.0).then_some(remaining)
}

/// The value of `Idempotency-Key`, if any; an error if it is too long, or empty or missing although `required`.
fn idempotency_key(headers: &HeaderMap, required: bool) -> Result<Option<Bytes>, RequestRejection> {
    let key = headers.get(IDEMPOTENCY_KEY);
    let too_long = key.is_some_and(|key| key.len() > MAX_HEADER_VALUE_LEN);
    let missing = required && key.is_none_or(HeaderValue::is_empty);
    if too_long || missing {
        return Err(RequestRejection::InvalidIdempotencyKey);
    }
    Ok(key.map(|key| Bytes::copy_from_slice(key.as_bytes())))
}

/// The text of a header; `None` if the header is missing, not visible ASCII, or not 1 to [`MAX_HEADER_VALUE_LEN`] bytes
/// long.
fn header_text<'a>(headers: &'a HeaderMap, header: &HeaderName) -> Option<&'a str> {
    headers.get(header)?.to_str().ok().filter(|text| (1..=MAX_HEADER_VALUE_LEN).contains(&text.len()))
}

#[cfg(test)]
mod tests;
