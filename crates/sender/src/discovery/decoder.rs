//! The lists in the body of a watch, however its bytes are cut into frames. No I/O, no clock.
//!
//! A list is one JSON object, on one line or indented over several; between two of them an empty line says that
//! nothing has changed. Each byte is looked at once, and a list is parsed once, when its last bracket has come.

use crate::event::EndpointList;

/// A longer list is none of ours.
pub(super) const LONGEST_LIST: usize = 4 << 20;

#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeError {
    #[error("a list of over {LONGEST_LIST} bytes")]
    TooLong,
    #[error("unreadable list: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("{0:?} between lists")]
    Stray(char),
    #[error("a line that ends within a string")]
    BrokenOff,
}

/// What a watch says.
#[derive(Debug)]
pub(super) enum Item {
    /// A list, or the changes of one.
    List(EndpointList),
    /// An empty line between lists.
    Heartbeat,
}

/// Gathers what a watch says from its bytes.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    bytes: Vec<u8>,
    /// Where what comes next begins: what is before that has been passed on.
    start: usize,
    /// So many bytes have been looked at.
    seen: usize,
    /// Brackets that are open; none between two lists.
    depth: usize,
    in_string: bool,
    /// The byte before was a backslash in a string.
    escaped: bool,
    /// Something other than blanks has come on this line.
    in_line: bool,
}

impl Decoder {
    /// Takes the next bytes, whatever of a list they are.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.seen -= std::mem::take(&mut self.start);
        self.bytes.extend_from_slice(bytes);
    }

    /// What comes next, as far as it is there.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if what came is no list: then nothing behind it can be read either.
    pub(super) fn next(&mut self) -> Result<Option<Item>, DecodeError> {
        while let Some(&byte) = self.bytes.get(self.seen) {
            self.seen += 1;
            if self.in_string {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.in_string = false,
                    // JSON has none in a string: a list that was cut off, and the next line follows.
                    b'\n' => return Err(DecodeError::BrokenOff),
                    _ => {}
                }
                continue;
            }
            match byte {
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        let list = serde_json::from_slice(&self.bytes[self.start..self.seen])?;
                        self.start = self.seen;
                        return Ok(Some(Item::List(list)));
                    }
                }
                b'"' if self.depth > 0 => self.in_string = true,
                b'\n' if self.depth == 0 => {
                    self.start = self.seen;
                    if !std::mem::take(&mut self.in_line) {
                        return Ok(Some(Item::Heartbeat));
                    }
                    continue;
                }
                b' ' | b'\t' | b'\r' | b'\n' => continue,
                _ if self.depth == 0 => return Err(DecodeError::Stray(char::from(byte))),
                _ => {}
            }
            self.in_line = true;
        }
        if self.seen - self.start > LONGEST_LIST { Err(DecodeError::TooLong) } else { Ok(None) }
    }
}

#[cfg(test)]
mod tests;
