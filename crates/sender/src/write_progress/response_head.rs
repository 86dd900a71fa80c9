//! Buffers the beginning of a response, and parses its status line.

/// Maximum number of bytes that are buffered: interim (1xx) responses and the status line.
const MAX_BUFFERED_HEAD: usize = 2 * 1024;

/// The beginning of the status line of an interim response.
const INTERIM_STATUS: &[u8] = b"HTTP/1.1 1";
/// The end of the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The first bytes of one response, without the interim (1xx) responses before it.
#[derive(Debug, Default)]
pub(super) struct ResponseHead {
    buffered: Vec<u8>,
}

impl ResponseHead {
    /// Clears the buffer before the next response.
    pub(super) fn clear(&mut self) {
        self.buffered.clear();
    }

    /// Appends received bytes, up to [`MAX_BUFFERED_HEAD`], and removes complete interim responses.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let free_space = MAX_BUFFERED_HEAD.saturating_sub(self.buffered.len());
        self.buffered.extend_from_slice(&bytes[..bytes.len().min(free_space)]);
        while let Some(len) = self.interim_response_len() {
            self.buffered.drain(..len);
        }
    }

    /// The whole response with its body; `None` if it may be longer than [`MAX_BUFFERED_HEAD`].
    pub(super) fn whole_response(&self) -> Option<&[u8]> {
        (self.buffered.len() < MAX_BUFFERED_HEAD).then_some(&self.buffered)
    }

    /// Whether a byte of the final response has been received: the buffer does not begin with an interim response.
    pub(super) fn has_final_response(&self) -> bool {
        !self.buffered.is_empty() && !self.buffered.starts_with(INTERIM_STATUS)
    }

    /// Whether the status line is complete and its status is 200.
    pub(super) fn has_ok_status_line(&self) -> bool {
        let Some(line_end) = self.buffered.iter().position(|&byte| byte == b'\n') else { return false };
        let line = &self.buffered[..line_end];
        let Some((version, status)) = line.split_at_checked(b"HTTP/1.x".len()) else { return false };
        let Some(after_status) = status.strip_prefix(b" 200") else { return false };
        version.starts_with(b"HTTP/1.") && after_status.first().is_none_or(u8::is_ascii_whitespace)
    }

    /// Length of the interim response at the beginning of the buffer; `None` if there is none or it is incomplete.
    fn interim_response_len(&self) -> Option<usize> {
        if !self.buffered.starts_with(INTERIM_STATUS) {
            return None;
        }
        let head_end = self.buffered.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
        Some(head_end + HEAD_END.len())
    }
}

#[cfg(test)]
mod tests;
