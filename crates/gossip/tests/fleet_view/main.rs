//! Fleet views of many senders over a simulated network that loses, duplicates, delays, partitions and replays datagrams.

mod outlier_detection;
mod simulated_fleet;
mod tenant_usage;
