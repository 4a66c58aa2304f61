//! The body of an answer, whose end is the end of its request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connection::connection_state::ConnectionState;
use crate::connection::server::Body;

/// The body; its connection waits for the next request once it is dropped.
pub(crate) struct AnswerBody {
    body: Body,
    state: Arc<ConnectionState>,
}

impl AnswerBody {
    /// Wraps the body of the answer on a connection.
    pub(crate) const fn new(body: Body, state: Arc<ConnectionState>) -> Self {
        Self { body, state }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
