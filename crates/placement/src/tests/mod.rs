//! Unit tests of what is not public.
mod golden;
mod gossip_message;
