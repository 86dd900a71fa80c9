//! The journal's folder format, compared with golden folders: they restore the recorded content, and are written with the
//! same bytes.

mod damage;
mod records;
mod support;
mod takeover;
