//! A response body of lines that are sent as they become available.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc::UnboundedReceiver;

/// Source of the lines of a body, without line breaks.
pub(crate) trait LineSource: Unpin {
    /// Polls for the next line; `None` at the end of the body.
    fn poll_line(&mut self, cx: &mut Context<'_>) -> Poll<Option<String>>;
}

impl LineSource for UnboundedReceiver<String> {
    fn poll_line(&mut self, cx: &mut Context<'_>) -> Poll<Option<String>> {
        self.poll_recv(cx)
    }
}

/// A response body with one frame for each line of its source.
pub(crate) struct LineBody<S>(pub(crate) S);

impl<S: LineSource> Body for LineBody<S> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_line(cx).map(|line| line.map(|line| Ok(Frame::data(Bytes::from(line + "\n")))))
    }
}
