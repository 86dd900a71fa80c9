//! Many senders' views, joined by a wire that loses, doubles, delays, cuts and replays.

mod outlier_detection;
mod tenant_usage;
mod world;
