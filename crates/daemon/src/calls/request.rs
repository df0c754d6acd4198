//! The form of the request of a call: how it is written, and how its response shows that it answers it.

use super::attribution::ExpectedResponse;
use super::pool::Connection;
use super::progress::Progress;
use super::{CallItem, Calls, Target};
use crate::state::record::RequestId;
use bytes::Bytes;
use http_body_util::Full as Body;
use hyper::Request;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST};
use notchpoint_policy::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;

/// How the request of a call is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestForm {
    /// In the form for several messages. The response tells the result of each by its id.
    pub(super) is_batch: bool,
    /// The request asks the endpoint to close the connection after its response.
    pub(super) closes: bool,
}

impl Calls {
    /// Returns the form of the next request on a connection. If the connection has carried a call before,
    /// the form is one whose response cannot be mistaken for a copy of the earlier one.
    pub(super) fn request_form(
        &self,
        endpoint: EndpointId,
        target: &Target,
        connection: &Connection,
        items: &[CallItem],
    ) -> RequestForm {
        if !connection.is_proven {
            return RequestForm { is_batch: items.len() > 1, closes: self.surplus.is_suspect(endpoint) };
        }
        let filter = connection.progress.filter.borrow();
        let lists_others = !items.iter().any(|item| filter.messages().contains(&item.request_id));
        let is_batch = items.len() > 1 || target.max_bundle > 1 && lists_others;
        RequestForm { is_batch, closes: !(is_batch && lists_others) }
    }
}

impl RequestForm {
    /// Prepares the connection for the response to this request.
    pub(super) fn expect_response(self, connection: &Connection, items: &[CallItem]) {
        let messages: Vec<RequestId> = items.iter().map(|item| item.request_id).collect();
        let listed = if self.closes { Vec::new() } else { messages.clone() };
        let expected =
            if connection.is_proven { ExpectedResponse::Later { listed } } else { ExpectedResponse::First };
        connection.progress.filter.borrow_mut().start_call(expected, messages);
    }

    /// Builds the request; `None` if no message is left or the request is malformed.
    pub(super) fn build(
        self,
        host: SocketAddr,
        items: &[CallItem],
        elapsed: Duration,
        progress: &Progress,
    ) -> Option<Request<Body<Bytes>>> {
        let longest = items.iter().map(|i| i.timeout).max()?;
        let timeout_ms = longest.saturating_sub(elapsed).as_millis().max(1) as u64;
        let mut builder = Request::post(if self.is_batch { "/v1/messages:batch" } else { "/v1/messages" })
            .header(HOST, host.to_string())
            .header("X-Timeout-Ms", timeout_ms);
        if self.closes {
            builder = builder.header(CONNECTION, "close");
        }
        let body = match items {
            [one] if !self.is_batch => {
                builder = builder.header("X-Request-ID", one.request_id.to_string());
                if !one.idempotency_key.is_empty() {
                    builder = builder.header("Idempotency-Key", &one.idempotency_key);
                }
                one.body.clone()
            }
            many => batch_body(many),
        };
        progress.start_request(body.len());
        builder.header(CONTENT_LENGTH, body.len()).body(Body::new(body)).ok()
    }
}

/// Returns the body of a request for several messages.
fn batch_body(items: &[CallItem]) -> Bytes {
    let mut lines = Vec::new();
    for item in items {
        let key = if item.idempotency_key.is_empty() { "-" } else { &item.idempotency_key };
        lines.extend(format!("{} {key} {}\r\n", item.request_id, item.body.len()).into_bytes());
        lines.extend(&item.body);
        lines.extend(b"\r\n");
    }
    lines.into()
}
