//! The journal's folders as the version before the renames wrote them: they read, and are written, the same.

mod damage;
mod records;
mod support;
mod takeover;
