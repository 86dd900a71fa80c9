//! The limits of a connection pool.

use super::Millis;

/// Limits of the connections to one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections, draining ones included; 0 counts as 1.
    pub max_connections: usize,
    /// Maximum number of concurrent streams on a connection, even if the gateway allows more.
    pub max_streams_per_connection: usize,
    /// Time within which a connection must be established, in milliseconds.
    pub connect_timeout: Millis,
    /// Time without received bytes after which a PING is sent on a connection with active streams, in milliseconds.
    pub keep_alive_interval: Millis,
    /// Time within which at least one byte must be received after a PING, in milliseconds.
    pub keep_alive_timeout: Millis,
    /// Time after which a connection without active streams is closed, in milliseconds.
    pub idle_timeout: Millis,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_connections: 2,
            max_streams_per_connection: 100,
            connect_timeout: 1_000,
            keep_alive_interval: 1_000,
            keep_alive_timeout: 1_000,
            idle_timeout: 60_000,
        }
    }
}
