//! Compatibility of the journal's stored format: golden folders restore the expected content, and the same operations write
//! the same bytes again.

mod damage;
mod records;
mod support;
mod takeover;
