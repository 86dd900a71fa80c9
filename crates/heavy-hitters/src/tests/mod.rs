//! Unit tests of private items.
mod aggregator_selection;
mod digest;
mod fair_share;
mod golden;
mod gossip_message;
mod key;
mod packing;
mod settings;
mod slice_counter;
mod space_saving;
