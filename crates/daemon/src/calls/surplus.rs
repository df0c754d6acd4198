//! Responses that answer no call: their log, their count, and the endpoints that write them.

use super::attribution::ResponseFilter;
use crate::reasons::ReasonCounts;
use notchpoint_policy::EndpointId;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// What is known of surplus responses.
pub(super) struct SurplusResponses {
    reasons: Rc<ReasonCounts>,
    /// Endpoints that have written a surplus response since one of theirs announced the end of its
    /// connection as asked. It may have been no copy: an endpoint that does not heed the request to close
    /// answers in the same way.
    suspects: RefCell<BTreeSet<EndpointId>>,
}

impl SurplusResponses {
    /// Creates the record, which counts in `reasons`.
    pub(super) fn new(reasons: Rc<ReasonCounts>) -> Rc<Self> {
        Rc::new(Self { reasons, suspects: RefCell::default() })
    }

    /// Records a surplus response on a connection to an endpoint.
    pub(super) fn record(&self, endpoint: EndpointId, filter: &ResponseFilter) {
        self.reasons.count_surplus_response();
        self.suspects.borrow_mut().insert(endpoint);
        let (last, earlier) = (filter.messages(), filter.earlier_messages());
        tracing::warn!(
            "endpoint {:016x}: a response that answers no call, on the connection of the messages {last:x?}, \
             before that {earlier:x?}",
            endpoint.0
        );
    }

    /// Records a response that announced the end of its connection as asked.
    pub(super) fn record_announcement(&self, endpoint: EndpointId) {
        self.suspects.borrow_mut().remove(&endpoint);
    }

    /// Forgets an endpoint that has left the list.
    pub(super) fn forget(&self, endpoint: EndpointId) {
        self.suspects.borrow_mut().remove(&endpoint);
    }

    /// Whether each connection to an endpoint carries one call only, which asks for its end.
    pub(super) fn is_suspect(&self, endpoint: EndpointId) -> bool {
        self.suspects.borrow().contains(&endpoint)
    }
}
