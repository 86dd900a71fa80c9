//! Unit tests of what is not public.
mod golden;
