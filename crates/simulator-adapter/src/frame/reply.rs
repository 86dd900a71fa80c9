//! Encodes the reply to a batch: a header, then the actions of all instances.

use rudderspindle_policy::interface::{Action, RouteId};

use super::InstanceId;

// Codes of the actions.
const SEND: u8 = 80;
const REFUSE: u8 = 81;
const FAIL: u8 = 82;
const CANCEL: u8 = 83;
const WAKE: u8 = 84;
const HEALTH_CHECK: u8 = 85;
const SUBSCRIBE: u8 = 90;

/// Value of the only field of `SUBSCRIBE`: the subscription begins.
const SUBSCRIBED: u8 = 1;

/// A reply under construction.
#[derive(Debug, Default)]
pub struct Reply {
    body: Vec<u8>,
    action_count: u32,
}

impl Reply {
    /// Appends an action of an instance.
    ///
    /// [`Action::PersistOutage`] is omitted because a simulated sender keeps no state when it stops.
    pub fn push(&mut self, instance: InstanceId, action: &Action) {
        let mut fields = instance.0.to_be_bytes().to_vec();
        let code = match *action {
            Action::Send { id, route, timeout, .. } => {
                fields.extend(id.0.to_be_bytes());
                fields.extend(address_and_port(route));
                fields.extend(timeout.to_be_bytes());
                SEND
            }
            Action::Refuse { id, retry_after } => {
                fields.extend(id.0.to_be_bytes());
                fields.extend(retry_after.to_be_bytes());
                REFUSE
            }
            Action::Fail { id } => {
                fields.extend(id.0.to_be_bytes());
                FAIL
            }
            Action::Cancel { id, attempt } => {
                fields.extend(id.0.to_be_bytes());
                fields.push(attempt as u8);
                CANCEL
            }
            Action::Wake { delay, token } => {
                fields.extend(delay.to_be_bytes());
                fields.extend(token.to_be_bytes());
                WAKE
            }
            Action::HealthCheck { route } => {
                fields.extend(address_and_port(route));
                HEALTH_CHECK
            }
            Action::Subscribe => {
                fields.push(SUBSCRIBED);
                SUBSCRIBE
            }
            Action::PersistOutage { .. } => return,
        };
        self.push_encoded(code, &fields);
    }

    fn push_encoded(&mut self, code: u8, fields: &[u8]) {
        self.body.push(code);
        self.body.extend((fields.len() as u32).to_be_bytes());
        self.body.extend(fields);
        self.action_count += 1;
    }

    /// Encodes the reply to the batch with the sequence number `batch_number`.
    pub fn to_bytes(&self, batch_number: u32) -> Vec<u8> {
        let mut bytes = batch_number.to_be_bytes().to_vec();
        bytes.extend(self.action_count.to_be_bytes());
        bytes.extend((self.body.len() as u32).to_be_bytes());
        bytes.extend(&self.body);
        bytes
    }
}

/// The IPv4 address and port that a route consists of; `FieldReader::route` is the inverse.
fn address_and_port(route: RouteId) -> [u8; 6] {
    let [_, _, address_and_port @ ..] = route.0.to_be_bytes();
    address_and_port
}
