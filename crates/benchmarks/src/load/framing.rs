//! Finds the end of an HTTP/1.1 message.
//!
//! Only messages with lower-case header names and a `content-length` are supported, which is what the measured
//! processes write.

const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// A message whose head has arrived.
pub(super) struct MessageHead<'a> {
    /// The start line and headers.
    text: &'a str,
    /// Length of the message with its body, in bytes.
    pub message_len: usize,
}

impl<'a> MessageHead<'a> {
    /// The head of the message that these bytes begin with; `None` until it has arrived.
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let head_len = bytes.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD)?;
        let text = std::str::from_utf8(&bytes[..head_len]).ok()?;
        let content_length = |line: &str| line.strip_prefix("content-length: ")?.parse::<usize>().ok();
        let body_len = text.lines().find_map(content_length).unwrap_or(0);
        Some(Self { text, message_len: head_len + END_OF_HEAD.len() + body_len })
    }

    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.text.get(9..12)?.parse().ok()
    }
}
