//! The body of a response, whose bytes are accounted for until the caller has read them.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use workshold_http::write_progress::TrackedBody;

use crate::callers::responses::BodyCut;
use crate::callers::responses::ResponseBody;
use crate::node::Node;
use crate::node::Reader;

/// A body that reports to the node what was handed over to the caller's connection.
struct ReportedBody {
    body: TrackedBody<ResponseBody>,
    node: Arc<Node>,
    reader: Arc<Reader>,
}

/// Accounts for the bytes of a response until `reader` has read them.
pub fn report(
    node: Arc<Node>,
    reader: Arc<Reader>,
    res: Response<ResponseBody>,
) -> Response<ResponseBody> {
    res.map(|body| {
        let body = TrackedBody::new(body, Arc::clone(reader.progress()));
        ReportedBody { body, node, reader }.boxed_unsync()
    })
}

impl Body for ReportedBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &frame {
            self.node.note_reader(&self.reader);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ReportedBody {
    fn drop(&mut self) {
        self.reader.set_over();
    }
}
