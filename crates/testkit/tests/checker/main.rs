//! The checker on written logs: the hard cases of each rule, and long clean logs drawn at random.

mod clean_logs;
mod duplication;
mod event_log;
mod links;
mod log_builder;
mod loss;
mod recovery;
mod retry_after;
