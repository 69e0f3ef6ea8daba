//! Commands to load new weights.

use super::{MODEL, Server};
use crate::http_messages::response_text;
use sparrouter_http::head::RequestHead;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How often a server that is to load weights looks whether its runs have ended.
const IDLE_POLL: Duration = Duration::from_millis(5);

/// A command as it goes over the wire.
#[derive(miniserde::Deserialize)]
struct Command {
    operation: String,
    model: String,
    version: u64,
    method: String,
    #[serde(rename = "holder_id")]
    lease_owner: String,
    #[serde(rename = "fence_token")]
    fencing_token: u64,
    expected_count: Option<u64>,
}

impl Server {
    /// The response to a command. A load that it starts goes on behind it.
    pub(super) fn accept_command(
        self: Rc<Self>,
        head: &RequestHead,
        body: &[u8],
        from: SocketAddr,
    ) -> String {
        let expected = head.fields.text("sparrouter-expected-instance");
        if expected.is_some_and(|id| id != self.settings.id) {
            let own = format!("Sparrouter-Instance-Id: {}\r\n", self.settings.id);
            return response_text(421, &own, "");
        }
        let text = std::str::from_utf8(body).unwrap_or_default();
        let Ok(command) = miniserde::json::from_str::<Command>(text) else {
            return response_text(400, "", "");
        };
        self.monitor.command_received(
            &self.settings.id,
            &command.lease_owner,
            command.fencing_token,
            from.ip(),
        );
        let status = self.status_of(&command);
        if status == 202 {
            self.commands.set(self.commands.get() + 1);
            self.monitor
                .load_started(&self.settings.id, command.version);
            self.is_loading.set(true);
            spawn_local(self.load(command.version));
        }
        response_text(status, "", "")
    }

    /// 202 if the server is to load the version now. Raises the fencing token.
    fn status_of(&self, command: &Command) -> u16 {
        let is_known =
            command.operation == "version" && command.model == MODEL && command.method == "queue";
        if !is_known {
            return 400;
        }
        if command.fencing_token < self.fencing_token.get() && self.monitor.bounds.fencing {
            return 412;
        }
        self.fencing_token.set(command.fencing_token);
        if command.version <= self.version.get() {
            return 200;
        }
        let is_expected = command
            .expected_count
            .is_none_or(|count| count == self.commands.get());
        if self.is_loading.get() || !is_expected {
            return 409;
        }
        202
    }

    /// Loads weights once its runs have ended. Its KV cache is lost.
    async fn load(self: Rc<Self>, version: u64) {
        while self.running.get() > 0 {
            sleep(IDLE_POLL).await;
        }
        sleep(self.settings.load_time).await;
        let dropped = std::mem::take(&mut *self.cache.borrow_mut());
        for key in dropped.keys() {
            self.cache_events.record(&key.salt, &key.id, 0);
        }
        self.version.set(version);
        self.is_loading.set(false);
    }
}
