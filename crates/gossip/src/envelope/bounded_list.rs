//! Deserialization of lists with a maximum length.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Deserializes a list of at most `MAX` entries, for use with `#[serde(deserialize_with)]`.
///
/// No memory is reserved for the length that the encoding declares, because it may be forged.
///
/// # Errors
///
/// `invalid_length` if the list has more than `MAX` entries; otherwise the error of the deserializer.
pub(crate) fn bounded<'de, const MAX: usize, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(BoundedVisitor::<MAX, T>(PhantomData))
}

/// Collects the entries of a list, at most `MAX`.
struct BoundedVisitor<const MAX: usize, T>(PhantomData<T>);

impl<'de, const MAX: usize, T: Deserialize<'de>> Visitor<'de> for BoundedVisitor<MAX, T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a list of at most {MAX} entries")
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
