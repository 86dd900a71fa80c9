//! Distributes the released permits of one limit evenly among the senders that request permits.

use std::collections::{BTreeMap, VecDeque};

use super::message::{MAX_REQUESTED_PERMITS, PermitGrantEntry, PermitOfferEntry};
use super::rounds::term;
use super::schedule::PermitSchedule;
use crate::limit_id::LimitId;
use crate::peer_selection::hash_words;

/// One sender's offer at one limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SenderOffer {
    pub sender: usize,
    pub entry: PermitOfferEntry,
}

/// One sender's grant at one limit.
#[derive(Debug)]
pub(crate) struct SenderGrant {
    pub sender: usize,
    pub entry: PermitGrantEntry,
}

/// A sender's request for permits that is not fully met.
struct OpenRequest {
    sender: usize,
    /// Number of permits that are still to be granted.
    remaining: u8,
}

/// Grants one permit to each requesting sender in turn, in an order that changes with the round, until all requests are
/// met or all released permits are granted. Returns an entry for each sender with granted permits, ordered by sender.
///
/// Offers that refer to another schedule are ignored.
pub(crate) fn allocate_limit(
    round: u64,
    limit_id: LimitId,
    schedule: &PermitSchedule,
    offers: &[SenderOffer],
) -> Vec<SenderGrant> {
    let checksum = schedule.checksum();
    let is_valid = |offer: &SenderOffer| offer.entry.schedule_checksum == checksum;
    let offers: Vec<SenderOffer> = offers.iter().copied().filter(is_valid).collect();
    let mut requests = open_requests(round, limit_id, &offers);
    let mut granted: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for number in released_permits(round, schedule, &offers) {
        let Some(mut request) = requests.pop_front() else { break };
        granted.entry(request.sender).or_default().push(number);
        request.remaining -= 1;
        if request.remaining > 0 {
            requests.push_back(request);
        }
    }
    let term_start = schedule.starting_in(term(round)).start;
    let entry = |numbers: &[u64]| PermitGrantEntry {
        limit_id: limit_id.0,
        schedule_checksum: checksum,
        number_deltas: number_deltas(term_start, numbers),
    };
    granted.iter().map(|(sender, numbers)| SenderGrant { sender: *sender, entry: entry(numbers) }).collect()
}

/// The numbers of the permits that the offers release, ascending. Of its sender's own permits in the term, an offer
/// releases those that start last.
fn released_permits(round: u64, schedule: &PermitSchedule, offers: &[SenderOffer]) -> Vec<u64> {
    let mut released = Vec::new();
    for offer in offers {
        let own_numbers: Vec<u64> = schedule.owned_by(offer.sender, term(round)).collect();
        released.extend(own_numbers.iter().rev().take(usize::from(offer.entry.released)));
    }
    released.sort_unstable();
    released
}

/// The senders' requests, in the order in which each sender is granted its first permit.
fn open_requests(round: u64, limit_id: LimitId, offers: &[SenderOffer]) -> VecDeque<OpenRequest> {
    let mut requests: Vec<OpenRequest> = offers
        .iter()
        .filter(|offer| offer.entry.requested > 0)
        .map(|offer| OpenRequest {
            sender: offer.sender,
            remaining: offer.entry.requested.min(MAX_REQUESTED_PERMITS),
        })
        .collect();
    requests.sort_by_key(|request| hash_words([round, request.sender as u64, u64::from(limit_id.0)]));
    VecDeque::from(requests)
}

/// Encodes ascending permit numbers: each as its difference from the previous number, the first as its difference from
/// `term_start`.
fn number_deltas(term_start: u64, numbers: &[u64]) -> Vec<u16> {
    let previous = std::iter::once(term_start).chain(numbers.iter().copied());
    numbers.iter().zip(previous).map(|(number, previous)| (number - previous) as u16).collect()
}
