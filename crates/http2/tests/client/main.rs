//! The client against a gateway whose frames the tests write byte by byte: which outcome each call has, and what the end
//! of one stream does to the others.

mod connections;
mod deadlines;
mod flow_control;
mod goaway;
mod harness;
mod responses;
