//! The client against a gateway whose frames the tests write byte by byte: the outcome of each call, and the effect of one
//! stream's end on the others.

mod connections;
mod deadlines;
mod flow_control;
mod goaway;
mod harness;
mod responses;
