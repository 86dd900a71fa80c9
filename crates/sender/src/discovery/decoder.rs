//! Incremental decoder for the body of a watch, independent of how the bytes are split into frames. It uses no I/O and
//! no clock.
//!
//! A list is one JSON object on one or several lines. An empty line between two lists is a heartbeat. Each byte is
//! scanned once, and a list is parsed as soon as its closing bracket has been scanned.

use crate::event::EndpointList;

/// Maximum encoded length of a list, in bytes.
pub(super) const MAX_LIST_LEN: usize = 4 << 20;

/// Why the body of a watch cannot be decoded further.
#[derive(Debug, thiserror::Error)]
pub(super) enum DecodeError {
    /// A list is longer than [`MAX_LIST_LEN`].
    #[error("list is too long: must be at most {MAX_LIST_LEN} bytes")]
    TooLong,
    /// A bracketed JSON value is not a list.
    #[error("malformed list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A byte between two lists is neither white space nor an opening bracket.
    #[error("character between lists is {0:?}: must be white space or an opening bracket")]
    UnexpectedByte(char),
    /// A line ends within a string, which means that the list was truncated before the line end.
    #[error("line ends within a JSON string: the list is truncated")]
    UnterminatedString,
}

/// An event of a watch.
#[derive(Debug)]
pub(super) enum WatchEvent {
    /// A full list, or a list of changes.
    List(EndpointList),
    /// An empty line between lists, which discovery sends if nothing has changed.
    Heartbeat,
}

/// Decodes the events of a watch from its bytes.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    /// Received bytes that have not been discarded.
    bytes: Vec<u8>,
    /// Offset in `bytes` of the first byte after the last returned event.
    start: usize,
    /// Number of bytes at the start of `bytes` that have been scanned.
    scanned: usize,
    /// Number of brackets that have been opened and not closed; zero between two lists.
    depth: usize,
    /// Whether the next byte belongs to a JSON string.
    in_string: bool,
    /// Whether the previous byte was a backslash in a string.
    escaped: bool,
    /// Whether the current line has content other than white space.
    line_has_content: bool,
}

impl Decoder {
    /// Appends received bytes and discards those of returned events.
    pub(super) fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next event; `None` until more bytes have been fed.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the bytes are not an event. Later bytes cannot be decoded either.
    pub(super) fn next(&mut self) -> Result<Option<WatchEvent>, DecodeError> {
        while let Some(&byte) = self.bytes.get(self.scanned) {
            self.scanned += 1;
            if self.in_string {
                self.scan_string(byte)?;
            } else if let Some(event) = self.scan(byte)? {
                return Ok(Some(event));
            }
        }
        if self.scanned - self.start > MAX_LIST_LEN { Err(DecodeError::TooLong) } else { Ok(None) }
    }

    /// Scans a byte within a string.
    fn scan_string(&mut self, byte: u8) -> Result<(), DecodeError> {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            // A JSON string cannot contain a line feed.
            b'\n' => return Err(DecodeError::UnterminatedString),
            _ => {}
        }
        Ok(())
    }

    /// Scans a byte outside strings; returns the event that ends with it, if any.
    fn scan(&mut self, byte: u8) -> Result<Option<WatchEvent>, DecodeError> {
        match byte {
            b'\n' if self.depth == 0 => return Ok(self.end_line()),
            b' ' | b'\t' | b'\r' | b'\n' => return Ok(None),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 0 => {
                self.depth -= 1;
                if self.depth == 0 {
                    return self.parse_list().map(Some);
                }
            }
            b'"' if self.depth > 0 => self.in_string = true,
            _ if self.depth == 0 => return Err(DecodeError::UnexpectedByte(char::from(byte))),
            _ => {}
        }
        self.line_has_content = true;
        Ok(None)
    }

    /// Ends a line between lists; returns a heartbeat if the line is empty.
    fn end_line(&mut self) -> Option<WatchEvent> {
        self.start = self.scanned;
        let had_content = std::mem::take(&mut self.line_has_content);
        (!had_content).then_some(WatchEvent::Heartbeat)
    }

    /// Parses the list that ends with the byte scanned last.
    fn parse_list(&mut self) -> Result<WatchEvent, DecodeError> {
        let list = serde_json::from_slice(&self.bytes[self.start..self.scanned])?;
        self.start = self.scanned;
        Ok(WatchEvent::List(list))
    }
}

#[cfg(test)]
mod tests;
