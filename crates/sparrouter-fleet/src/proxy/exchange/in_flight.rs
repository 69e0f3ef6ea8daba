//! Accounting of one in-flight request in the server table.
use crate::node::Node;
use crate::proxy::backlogs::WaitingPrompt;
use sparrouter_routing::{RequestOutcome, ServerHandle};
use std::rc::Rc;

/// A request in flight, counted at its server until this guard is dropped.
pub(super) struct InFlight<'a> {
    node: &'a Rc<Node>,
    pub(super) server: ServerHandle,
    /// The key by which the server was selected.
    key: u64,
    /// The request's outcome; `Withdrawn` until the actual outcome is known.
    pub(super) outcome: RequestOutcome,
    /// The prompt while it is in the server's backlog.
    waiting: Option<WaitingPrompt>,
}

impl<'a> InFlight<'a> {
    pub(super) fn begin(
        node: &'a Rc<Node>,
        server: ServerHandle,
        key: u64,
        waiting: Option<WaitingPrompt>,
    ) -> InFlight<'a> {
        let mut server_table = node.server_table.borrow_mut();
        server_table.start_request(server);
        InFlight {
            node,
            server,
            key,
            outcome: RequestOutcome::Withdrawn,
            waiting,
        }
    }

    /// Records that the response has begun, so that the prompt no longer counts as waiting.
    pub(super) fn end_wait(&mut self) {
        self.dequeue(true);
    }

    fn dequeue(&mut self, has_first_token: bool) {
        if let Some(prompt) = self.waiting.take() {
            self.node
                .dequeue(prompt.server, prompt.token, has_first_token);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.dequeue(false);
        if matches!(
            self.outcome,
            RequestOutcome::ConnectionLost | RequestOutcome::Failed
        ) {
            self.node.report_failure(self.server, self.key);
        }
        let now = self.node.now();
        let mut server_table = self.node.server_table.borrow_mut();
        server_table.finish_request(self.server, self.outcome, now);
    }
}
