//! A streamed answer of an upstream on its way to a client.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::request::gate::Permit;
use firweir_policy::work::Ending;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Sleep;

use crate::connection_pool::PooledConnection;
use crate::failed_requests::FailedRequests;
use crate::fingerprint::Fingerprint;
use crate::model::Instance;

/// A streamed answer that returns its connection and its slot when it ends.
pub(crate) struct AnswerStream {
    /// What was read of the body before; sent first.
    pub(crate) read: Blocks,
    pub(crate) body: Incoming,
    pub(crate) connection: Option<PooledConnection>,
    pub(crate) permit: Option<Permit>,
    pub(crate) failed_requests: FailedRequests,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) upstream: Instance,
    /// The answer is broken off then.
    pub(crate) deadline: Pin<Box<Sleep>>,
}

impl AnswerStream {
    fn finish(&mut self, ending: Ending) {
        if let Some(permit) = self.permit.take() {
            permit.finish(ending, 0);
        }
        if let Some(connection) = self
            .connection
            .take()
            .filter(|_| ending == Ending::Answered)
        {
            connection.return_to_pool();
        }
    }
}

impl HttpBody for AnswerStream {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        // An upstream that never ends its answer, or sends nothing more, says nothing of the request.
        if self.deadline.as_mut().poll(context).is_ready() {
            self.finish(Ending::Failed);
            return Poll::Ready(Some(Err(std::io::ErrorKind::TimedOut.into())));
        }
        if let Some(block) = self.read.pop() {
            return Poll::Ready(Some(Ok(Frame::data(block))));
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            // Passed on as an error: a stream that just ends would look complete to the client.
            Poll::Ready(Some(Err(error))) => {
                self.failed_requests
                    .record_lost_upstream(self.fingerprint, &self.upstream);
                self.finish(Ending::Failed);
                Poll::Ready(Some(Err(std::io::Error::other(error))))
            }
            Poll::Ready(None) => {
                self.failed_requests.clear(self.fingerprint);
                self.finish(Ending::Answered);
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
