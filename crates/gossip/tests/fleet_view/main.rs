//! Fleet views of many senders over a simulated network, which loses, duplicates, delays and replays datagrams and can be
//! partitioned.

mod outlier_detection;
mod simulated_fleet;
mod tenant_usage;
