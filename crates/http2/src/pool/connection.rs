//! Stream slots and keep-alive state of one connection.

use super::{Millis, PoolLimits};

/// The next action for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Wait until this time or the next event, whichever comes first.
    WaitUntil(Millis),
    /// Send a PING.
    SendPing,
    /// Drop the connection with all its streams, because no bytes arrived in time after a PING.
    Abort,
    /// Close the connection, because it has no active streams and is draining or idle.
    Close,
}

/// The pool's state of one connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// Concurrent streams that the gateway allows.
    max_streams: usize,
    active_streams: usize,
    /// Whether the gateway accepts no further streams.
    draining: bool,
    /// When bytes last arrived, or when a stream was started while no other was active, whichever was later.
    last_received_at: Millis,
    /// When the PING that is unanswered was sent; `None` if no PING is unanswered.
    ping_sent_at: Option<Millis>,
    /// When a stream last finished; before that, when the connection was established.
    last_used_at: Millis,
}

impl ConnectionState {
    /// The state of a connection that was established at `now`.
    pub(super) fn new(now: Millis, max_streams: usize) -> Self {
        Self {
            max_streams,
            active_streams: 0,
            draining: false,
            last_received_at: now,
            ping_sent_at: None,
            last_used_at: now,
        }
    }

    pub(super) fn max_streams(&self) -> usize {
        self.max_streams
    }

    pub(super) fn active_streams(&self) -> usize {
        self.active_streams
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Number of streams that can be opened now.
    pub(super) fn available_slots(&self, limits: &PoolLimits) -> usize {
        if self.draining {
            return 0;
        }
        self.max_streams.min(limits.max_streams_per_connection).saturating_sub(self.active_streams)
    }

    pub(super) fn set_max_streams(&mut self, max_streams: usize) {
        self.max_streams = max_streams;
    }

    pub(super) fn start_draining(&mut self) {
        self.draining = true;
    }

    pub(super) fn stream_started(&mut self, now: Millis) {
        if self.active_streams == 0 {
            // Time without active streams does not count towards the keep-alive interval: no bytes were expected.
            self.last_received_at = self.last_received_at.max(now);
        }
        self.active_streams += 1;
    }

    pub(super) fn stream_finished(&mut self, now: Millis) {
        self.active_streams = self.active_streams.saturating_sub(1);
        self.last_used_at = now;
    }

    pub(super) fn data_received(&mut self, now: Millis) {
        self.last_received_at = now;
        self.ping_sent_at = None;
    }

    /// See [`super::ConnectionPool::poll_action`].
    pub(super) fn poll_action(&mut self, limits: &PoolLimits, now: Millis) -> ConnectionAction {
        if self.active_streams == 0 { self.poll_idle(limits, now) } else { self.poll_keep_alive(limits, now) }
    }

    fn poll_idle(&self, limits: &PoolLimits, now: Millis) -> ConnectionAction {
        let idle_until = self.last_used_at + limits.idle_timeout;
        if self.draining || now >= idle_until {
            ConnectionAction::Close
        } else {
            ConnectionAction::WaitUntil(idle_until)
        }
    }

    fn poll_keep_alive(&mut self, limits: &PoolLimits, now: Millis) -> ConnectionAction {
        if let Some(ping_sent_at) = self.ping_sent_at {
            let answer_by = ping_sent_at + limits.keep_alive_timeout;
            return if now >= answer_by {
                ConnectionAction::Abort
            } else {
                ConnectionAction::WaitUntil(answer_by)
            };
        }
        let ping_at = self.last_received_at + limits.keep_alive_interval;
        if now < ping_at {
            return ConnectionAction::WaitUntil(ping_at);
        }
        self.ping_sent_at = Some(now);
        ConnectionAction::SendPing
    }
}
