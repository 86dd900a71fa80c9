//! The state of one sender's placement and its persistence.
//!
//! Invariant: only persisted rule sets are acknowledged, and a summary with a rule set that this sender does not hold does not
//! renew the lease.

use std::collections::BTreeMap;

use rudderspindle_clock::UnixMillis;

use crate::event::PlacementEvent;
use crate::fleet_key::TenantId;
use crate::heartbeat_collector::HeartbeatCollector;
use crate::held_rule_sets::HeldRuleSets;
use crate::lease::Lease;
use crate::round::Round;
use crate::rule_set_downloads::RuleSetDownloads;
use crate::rule_set_id::RuleSetId;
use crate::rule_set_uploads::RuleSetUploads;
use crate::sender_id::Incarnation;
use crate::settings::Settings;
use crate::state_record::StateRecord;
use crate::zones::ZoneListHash;

/// Maximum number of events stored for [`Placement::take_events`]; the oldest are dropped first.
const MAX_EVENTS: usize = 64;

/// The state to be written to the state folder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// Argument for [`Placement::mark_persisted`] once the bytes are on disk.
    pub generation: u64,
    /// The encoded [`StateRecord`], for [`StateRecord::decode`].
    pub bytes: Vec<u8>,
}

/// The placement state of one sender: its rule sets, lease, rounds and transfers.
///
/// ```
/// use std::collections::BTreeSet;
/// use rudderspindle_clock::UnixMillis;
/// use rudderspindle_placement::{
///     ClosedReason, FleetKey, Incarnation, Placement, RuleSet, SenderId, Settings, TenantRule, ZoneAccess,
///     ZoneList,
/// };
///
/// let (zones, key) = (ZoneList::new(&["zone-a", "zone-b"]).unwrap(), FleetKey::new([7; 16]));
/// let known_tenants = BTreeSet::from(["narmada-sports"]);
/// let rules = [TenantRule { tenant: "narmada-sports", zones: &["zone-a"] }];
/// let file = RuleSet::new(1, &rules, &zones, &known_tenants, &key).unwrap();
/// let settings = Settings {
///     own_id: SenderId(0), sender_count: 1, aggregators_per_round: 1, zones, own_zone: 0, lease_ms: 3_000,
///     clock_error_ms: 100, max_call_ms: 2_000, erase_within_ms: 5_000, announce_ms: 5_000,
///     key: key.clone(),
/// };
/// let at = UnixMillis;
/// let mut placement = Placement::new(settings, Some(file), None, Incarnation(1), at(10_000)).unwrap();
/// let tenant = key.tenant_id("narmada-sports");
/// assert_eq!(placement.zone_access(at(10_000), tenant), ZoneAccess::Closed(ClosedReason::NoLease));
///
/// // A heartbeat is sent only once the rule sets are persisted. In a fleet of one sender, its own heartbeat renews the lease.
/// for now in [at(10_500), at(10_900)] {
///     if let Some(snapshot) = placement.poll_snapshot(now) {
///         // std::fs::write(..., &snapshot.bytes)
///         placement.mark_persisted(snapshot.generation);
///     }
///     assert!(placement.poll_datagrams(now).is_empty());
/// }
/// assert!(placement.check_admission(at(10_900), tenant).is_ok());
/// assert_eq!(placement.lease_expires_at(), at(13_500));
/// assert!(placement.check_admission(at(13_500), tenant).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    /// Keyed hash of `settings.zones`.
    pub(crate) zone_list_hash: ZoneListHash,
    pub(crate) held: HeldRuleSets,
    pub(crate) lease: Lease,
    /// Whether the last reported event of the lease was `LeaseAcquired`.
    pub(crate) lease_acquired_reported: bool,
    /// The last round in which this sender sent a heartbeat.
    pub(crate) last_heartbeat_round: Round,
    pub(crate) collector: HeartbeatCollector,
    pub(crate) downloads: RuleSetDownloads,
    pub(crate) uploads: RuleSetUploads,
    /// The tenants whose zones do not include this sender's zone, and since when.
    pub(crate) excluded_since: BTreeMap<TenantId, UnixMillis>,
    /// Number of changes, since the start, of the state that must be persisted.
    pub(crate) generation: u64,
    /// The latest generation that is on disk.
    pub(crate) persisted_generation: u64,
    pub(crate) events: Vec<PlacementEvent>,
}

impl Placement {
    /// The snapshot that must be on disk before the next heartbeat is sent, or `None` if nothing has changed.
    ///
    /// Must be called before each [`Placement::poll_datagrams`]. Also acknowledges the rule sets that have been announced for
    /// `announce_ms`.
    pub fn poll_snapshot(&mut self, now: UnixMillis) -> Option<Snapshot> {
        if self.held.acknowledge_due(now, self.settings.announce_ms) {
            self.mark_changed(now);
        }
        (!self.is_persisted()).then(|| self.snapshot())
    }

    /// The current state, to be written to the state folder.
    pub fn snapshot(&self) -> Snapshot {
        let record = StateRecord {
            held: self.held.clone(),
            voting: self.lease.voting,
            excluded_since: self.excluded_since.clone(),
        };
        Snapshot { generation: self.generation, bytes: record.encode(&self.settings.key) }
    }

    /// Must be called once the snapshot of this generation is on disk.
    pub fn mark_persisted(&mut self, generation: u64) {
        self.persisted_generation = self.persisted_generation.max(generation.min(self.generation));
    }

    /// When the lease expires; the Unix epoch if no lease was acquired since the start. The caller must check it immediately
    /// before it sends a call.
    pub fn lease_expires_at(&self) -> UnixMillis {
        self.lease.expires_at
    }

    /// The held rule sets, in ascending order of their revisions.
    pub fn rule_sets(&self) -> impl Iterator<Item = RuleSetId> {
        self.held.by_id.keys().copied()
    }

    /// The highest revision known to be committed; 0 if no revision is.
    pub fn committed_revision(&self) -> u64 {
        self.held.committed_revision
    }

    /// The settings with which this sender was started.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Removes and returns the events since the last call, oldest first; at most the latest 64.
    pub fn take_events(&mut self) -> Vec<PlacementEvent> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn record_event(&mut self, event: PlacementEvent) {
        if self.events.len() == MAX_EVENTS {
            self.events.remove(0);
        }
        self.events.push(event);
    }

    /// Must be called after each change of the state to be persisted; also updates the tenants whose zones do not
    /// include this sender's zone.
    pub(crate) fn mark_changed(&mut self, now: UnixMillis) {
        self.generation += 1;
        let mut excluded_since = BTreeMap::new();
        for tenant in self.held.tenants() {
            let zones = self.held.allowed_zones(tenant);
            if zones.is_some_and(|zones| !zones.contains(self.settings.own_zone)) {
                let since = self.excluded_since.get(&tenant).copied().unwrap_or(now);
                excluded_since.insert(tenant, since);
            }
        }
        self.excluded_since = excluded_since;
    }

    pub(crate) fn is_persisted(&self) -> bool {
        self.persisted_generation == self.generation
    }

    /// Whether this sender holds no rule set and does not vote, so that the ruled tenants are unknown to it.
    pub(crate) fn has_no_rules(&self) -> bool {
        self.held.by_id.is_empty() && !self.lease.voting
    }
}
