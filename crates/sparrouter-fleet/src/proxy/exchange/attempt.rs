//! One attempt: sends the request to a server once and reads the head of the response.
use super::Exchange;
use super::api_key::KeyState;
use super::client_side::{ClientSide, ResponseProgress};
use super::request_head::ForwardedRequest;
use super::withdrawal;
use crate::node::counters::count;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::platform::upstream::{SendOutcome, Upstream};
use sparrouter_http::head::ResponseHead;
use sparrouter_membership::LifecycleState;
use sparrouter_routing::Selection;
use std::net::SocketAddr;

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// Nothing was sent: the server could not be reached, or stopped accepting requests before the send.
    Unsent,
    /// Nothing was sent: the client's API key is no longer valid, or may no longer be valid.
    KeyRejected,
    /// Nothing was sent: the permit of the tenant's quota had expired and no other was available. Holds the response to
    /// send to the client.
    NoPermit(Box<Response>),
    /// The server stated that it has not run the request and will not run it.
    NotRun {
        /// HTTP status of the server's response.
        status: u16,
    },
    /// The server may have run the request.
    MayHaveRun,
    /// The head of a response that may be relayed has arrived.
    Responded(Box<ResponseHead>, Box<Upstream>),
    /// The client disconnected.
    ClientDisconnected,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The request waited at a server on outdated weights until it must not begin there any more. The server may have
    /// run it all the same.
    Withdrawn,
}

/// Id and address of the server of an attempt.
struct Target {
    id: String,
    address: SocketAddr,
}

impl Exchange<'_> {
    /// Sends the request to one server and waits for the head of the response, until the client disconnects or the
    /// deadline passes.
    pub(super) async fn attempt(
        &mut self,
        selection: &Selection,
        last_event_id: Option<&str>,
        client: &mut ClientSide<'_>,
    ) -> AttemptOutcome {
        let Some(target) = self.target(selection) else {
            return AttemptOutcome::Unsent;
        };
        let deadline = tokio::time::sleep_until(self.deadline);
        let withdrawal = withdrawal::limit_passed(self.awaited_run(selection));
        let sent_before = self.sent_count;
        let response = self.send(selection, &target, last_event_id, client.progress);
        if !rules::client_checked_before_send() {
            return tokio::select! {
                biased;
                outcome = response => outcome,
                () = client.disconnected() => AttemptOutcome::ClientDisconnected,
                () = deadline => AttemptOutcome::DeadlinePassed,
            };
        }
        // The disconnect and the deadline are polled first: nothing is sent for a client that disconnected while the
        // request waited for its server, and nothing after the deadline.
        let outcome = tokio::select! {
            biased;
            () = client.disconnected() => AttemptOutcome::ClientDisconnected,
            () = deadline => AttemptOutcome::DeadlinePassed,
            outcome = response => outcome,
            () = withdrawal => AttemptOutcome::Withdrawn,
        };
        match outcome {
            AttemptOutcome::Withdrawn if self.sent_count == sent_before => AttemptOutcome::Unsent,
            outcome => outcome,
        }
    }

    fn target(&self, selection: &Selection) -> Option<Target> {
        let server_table = self.node.server_table.borrow();
        let server = server_table.get(selection.server)?;
        Some(Target {
            id: server.id.clone(),
            address: server.address,
        })
    }

    async fn send(
        &mut self,
        selection: &Selection,
        target: &Target,
        last_event_id: Option<&str>,
        progress: ResponseProgress,
    ) -> AttemptOutcome {
        let prefix = self.locate_prefix(selection, &target.id).await;
        loop {
            let Some(mut connection) = self.connect(target).await else {
                return AttemptOutcome::Unsent;
            };
            if let Err(rejection) = self.renew_permit().await {
                return AttemptOutcome::NoPermit(Box::new(rejection));
            }
            // Establishing a connection may take long; the server may have started to drain or to load weights since it
            // was selected.
            if !self.may_send_to(selection) {
                return AttemptOutcome::Unsent;
            }
            if self.key_state() != KeyState::Valid {
                return AttemptOutcome::KeyRejected;
            }
            let head = self.forwarded_head(&ForwardedRequest {
                server_id: &target.id,
                version: selection.version.unwrap_or(0),
                last_event_id,
                prefix: &prefix,
            });
            let was_pooled = connection.was_used;
            // Last check before the bytes are sent: the process may have been frozen since the permit was taken.
            if !self.spend_permit() {
                continue;
            }
            match connection.send(&head, self.request.body.segments()).await {
                SendOutcome::NotSent => {
                    // No byte was sent, so the server can't have run the request.
                    self.undo_permit();
                    // The server may just have closed a pooled connection.
                    if was_pooled {
                        continue;
                    }
                    return AttemptOutcome::Unsent;
                }
                SendOutcome::Begun => {}
            }
            self.sent_count += 1;
            self.count_older_weights(selection);
            return self.await_response(selection, connection, progress).await;
        }
    }

    /// Takes another permit if the request's permit expired while the connection was being established.
    ///
    /// # Errors
    ///
    /// Returns the response to send if no permit is available.
    async fn renew_permit(&mut self) -> Result<(), Response> {
        if self.lacks_permit() {
            self.permit = self.take_permit().await?;
        }
        Ok(())
    }

    /// Takes a pooled connection to a server, or opens a new one.
    async fn connect(&self, target: &Target) -> Option<Upstream> {
        match self.pool.take(&target.id) {
            Some(pooled) => Some(pooled),
            None => Upstream::dial(&*self.node.net, target.address).await,
        }
    }

    /// Whether the request may be sent to this server now.
    fn may_send_to(&self, selection: &Selection) -> bool {
        let server_table = self.node.server_table.borrow();
        let Some(server) = server_table.get(selection.server) else {
            return false;
        };
        if server.state() != LifecycleState::Ready || server.is_loading() {
            return false;
        }
        let (Some(model), Some(version)) = (&self.model, selection.version) else {
            return true;
        };
        let now = self.node.now();
        server_table.versions.allows(model, version, now)
    }

    fn count_older_weights(&self, selection: &Selection) {
        let (Some(model), Some(version)) = (&self.model, selection.version) else {
            return;
        };
        let newest = self.node.server_table.borrow().versions.required(model);
        if newest.is_some_and(|newest| newest.version > version) {
            count(&self.node.counters.sent_to_older_weights);
        }
    }
}
