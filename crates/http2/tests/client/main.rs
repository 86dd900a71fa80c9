//! Tests the client against a gateway whose frames the tests write byte by byte: the outcome of each call, and how
//! the end of one stream affects the others.

mod connections;
mod deadlines;
mod flow_control;
mod goaway;
mod harness;
mod responses;
