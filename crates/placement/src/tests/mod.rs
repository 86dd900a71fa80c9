//! Unit tests of private items.

mod golden;
mod gossip_message;
