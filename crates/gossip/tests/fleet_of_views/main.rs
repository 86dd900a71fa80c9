//! Many senders' views, joined by a wire that loses, doubles, delays, cuts and replays.

mod counts;
mod judgements;
mod world;
