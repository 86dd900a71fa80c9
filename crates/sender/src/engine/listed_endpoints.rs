//! The current endpoint list as discovery sent it, which a successor receives in case discovery does not respond to it.

use std::collections::BTreeMap;

use rudderspindle_policy::interface::Listing;

use super::endpoints::listing;
use crate::event::{Endpoint, EndpointList};

/// The entries of the current endpoint list.
#[derive(Debug, Default)]
pub(super) struct ListedEndpoints {
    revision: u64,
    /// Whether discovery has sent a list, or changes, to this process or its owner. Until then the entries are those of the
    /// configuration, which a successor has too.
    is_received: bool,
    /// The receivers that are not removed, by their ids.
    by_id: BTreeMap<String, Endpoint>,
}

impl ListedEndpoints {
    /// Applies a complete list, or changes.
    pub fn apply(&mut self, list: &EndpointList) {
        if list.complete {
            self.by_id.clear();
        }
        for endpoint in &list.members {
            if listing(endpoint) == Listing::Removed {
                self.by_id.remove(&endpoint.id);
            } else {
                self.by_id.insert(endpoint.id.clone(), endpoint.clone());
            }
        }
        self.revision = list.revision;
    }

    /// Records that the entries come from discovery.
    pub fn record_received(&mut self) {
        self.is_received = true;
    }

    /// The complete list; `None` until discovery has sent one.
    pub fn received_list(&self) -> Option<EndpointList> {
        let members = || self.by_id.values().cloned().collect();
        self.is_received.then(|| EndpointList { revision: self.revision, complete: true, members: members() })
    }
}
