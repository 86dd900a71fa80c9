//! Deserialization of lists with a maximum length.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Deserializes a list of at most `MAX` entries, for use with `#[serde(deserialize_with)]`.
///
/// The length that the encoding declares is never trusted: no memory is reserved for it.
///
/// # Errors
///
/// An invalid length if there are more than `MAX` entries, and the deserializer's errors.
pub(crate) fn bounded<'de, const MAX: usize, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(BoundedVisitor::<MAX, T>(PhantomData))
}

struct BoundedVisitor<const MAX: usize, T>(PhantomData<T>);

impl<'de, const MAX: usize, T: Deserialize<'de>> Visitor<'de> for BoundedVisitor<MAX, T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at most {MAX} entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<T>, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = sequence.next_element()? {
            if entries.len() == MAX {
                return Err(A::Error::invalid_length(MAX + 1, &self));
            }
            entries.push(entry);
        }
        Ok(entries)
    }
}
