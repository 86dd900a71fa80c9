//! Server side of an HTTP/2 connection on the level of frames (RFC 9113, sections 4 and 6), for fake gateways whose
//! behaviour HTTP/2 libraries do not support.
//!
//! For tests only: an unexpected event panics with a message.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::scripted_peers::with_timeout;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
/// Identifier of `SETTINGS_MAX_CONCURRENT_STREAMS`.
const MAX_STREAMS: u16 = 3;
/// Identifier of `SETTINGS_INITIAL_WINDOW_SIZE`.
const INITIAL_WINDOW: u16 = 4;

/// A received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type of the frame, such as 0 for DATA.
    pub kind: u8,
    /// Flags of the frame, such as 1 for `END_STREAM`.
    pub flags: u8,
    /// Id of the stream; 0 for the connection.
    pub stream: u32,
    /// Payload after the frame's header of nine bytes.
    pub payload: Vec<u8>,
}

/// A reset of a stream (`RST_STREAM`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamReset {
    /// Id of the stream.
    pub stream: u32,
    /// Error code, such as 8 for `CANCEL`.
    pub code: u32,
}

/// The gateway's side of an HTTP/2 connection.
#[derive(Debug)]
pub struct Frames {
    io: TcpStream,
    /// Whether [`Frames::next`] acknowledges PINGs.
    pub answers_pings: bool,
}

impl Frames {
    /// Accepts a connection: reads the client's preface, then sends the maximum number of concurrent streams and the
    /// initial window size of streams in bytes.
    pub async fn accept(mut io: TcpStream, streams: u32, window: u32) -> Self {
        let mut preface = [0; PREFACE.len()];
        with_timeout("a preface", io.read_exact(&mut preface)).await.expect("readable");
        assert_eq!(preface, PREFACE);
        let mut frames = Self { io, answers_pings: true };
        frames.settings(&[(MAX_STREAMS, streams), (INITIAL_WINDOW, window)]).await;
        frames
    }

    async fn settings(&mut self, settings: &[(u16, u32)]) {
        let payload =
            settings.iter().flat_map(|(id, value)| [&id.to_be_bytes()[..], &value.to_be_bytes()].concat());
        let payload: Vec<u8> = payload.collect();
        self.write(SETTINGS, 0, 0, &payload).await;
    }

    /// Changes the maximum number of concurrent streams.
    pub async fn set_max_streams(&mut self, streams: u32) {
        self.settings(&[(MAX_STREAMS, streams)]).await;
    }

    /// Writes one frame.
    pub async fn write(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let length = u32::try_from(payload.len()).expect("a payload shorter than 4 GiB").to_be_bytes();
        let head = [&length[1..], &[kind, flags], &stream.to_be_bytes()].concat();
        self.io.write_all(&[&head[..], payload].concat()).await.expect("writable");
    }

    async fn read(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        with_timeout("a frame", self.io.read_exact(&mut head)).await.ok()?;
        let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
        let mut payload = vec![0; length];
        with_timeout("a frame", self.io.read_exact(&mut payload)).await.ok()?;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
        Some(Frame { kind: head[3], flags: head[4], stream, payload })
    }

    /// Reads the next frame other than SETTINGS, PING and `WINDOW_UPDATE`, and acknowledges SETTINGS and, if
    /// `answers_pings`, PING. `None` at the end of the connection.
    pub async fn next(&mut self) -> Option<Frame> {
        loop {
            let frame = self.read().await?;
            match (frame.kind, frame.flags & ACK) {
                (SETTINGS, 0) => self.write(SETTINGS, ACK, 0, &[]).await,
                (PING, 0) if self.answers_pings => self.write(PING, ACK, 0, &frame.payload).await,
                (SETTINGS | WINDOW_UPDATE, _) | (PING, ACK) => {}
                _ => return Some(frame),
            }
        }
    }

    /// Reads the next complete request and returns the id of its stream.
    pub async fn request(&mut self) -> u32 {
        loop {
            let frame = self.next().await.expect("a request before the connection ends");
            if matches!(frame.kind, HEADERS | DATA) && frame.flags & END_STREAM != 0 {
                return frame.stream;
            }
        }
    }

    /// Waits for a reset by the client.
    pub async fn reset_by_client(&mut self) -> StreamReset {
        loop {
            let frame = self.next().await.expect("a reset before the connection ends");
            if frame.kind == RST_STREAM {
                let code = u32::from_be_bytes(frame.payload.try_into().expect("an error code of four bytes"));
                return StreamReset { stream: frame.stream, code };
            }
        }
    }

    /// Writes the header of a response with a status and an optional Retry-After; `ends` ends the response with it.
    pub async fn head(&mut self, stream: u32, status: u16, retry_after: Option<&str>, ends: bool) {
        // Literals without indexing (RFC 7541, 6.2.2): names 8 (:status) and 53 (retry-after) of the static table.
        let mut block = vec![0x08, 3];
        block.extend(status.to_string().bytes());
        if let Some(value) = retry_after {
            block.extend([0x0f, 53 - 15, u8::try_from(value.len()).expect("a value shorter than 256 bytes")]);
            block.extend(value.bytes());
        }
        let flags = END_HEADERS | if ends { END_STREAM } else { 0 };
        self.write(HEADERS, flags, stream, &block).await;
    }

    /// Writes a part of a response body.
    pub async fn data(&mut self, stream: u32, data: &[u8]) {
        self.write(DATA, 0, stream, data).await;
    }

    /// Writes trailers that end a response.
    pub async fn trailers(&mut self, stream: u32) {
        // A literal without indexing and with a new name (RFC 7541, 6.2.2).
        self.write(HEADERS, END_HEADERS | END_STREAM, stream, b"\x00\x04x-ok\x011").await;
    }

    /// Writes `RST_STREAM`.
    pub async fn reset(&mut self, stream: u32, code: u32) {
        self.write(RST_STREAM, 0, stream, &code.to_be_bytes()).await;
    }

    /// Writes GOAWAY with the id of the last stream that the gateway processes.
    pub async fn go_away(&mut self, last_stream: u32, code: u32) {
        self.write(GOAWAY, 0, 0, &[last_stream.to_be_bytes(), code.to_be_bytes()].concat()).await;
    }

    /// Writes a PING and waits for its acknowledgement, after which the client has read all earlier frames. Other frames
    /// that arrive meanwhile are dropped.
    pub async fn ping(&mut self) {
        self.write(PING, 0, 0, b"read it?").await;
        loop {
            let frame = self.read().await.expect("an acknowledged PING before the connection ends");
            if frame.kind == PING && frame.flags & ACK != 0 {
                return;
            }
        }
    }

    /// Increases the flow-control window of a stream, or of the connection for stream 0, by a number of bytes.
    pub async fn increase_window(&mut self, stream: u32, increment: u32) {
        self.write(WINDOW_UPDATE, 0, stream, &increment.to_be_bytes()).await;
    }
}
