//! The log of changes of a server's KV cache, as nodes follow it by long polls.

use super::MODEL;
use crate::http_messages::response_text;
use sparrouter_http::head::RequestHead;
use std::cell::RefCell;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A long poll is answered after so long at the latest, in ms.
const MAX_WAIT_MS: u64 = 1_000;
/// How often a long poll looks for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All events so far, as JSON, the oldest first. Events are numbered from 1.
#[derive(Debug, Default)]
pub(super) struct CacheEvents(RefCell<Vec<String>>);

impl CacheEvents {
    /// A block was added to the cache, or removed from it with `tokens` 0.
    pub(super) fn record(&self, salt: &str, id: &str, tokens: u32) {
        let mut events = self.0.borrow_mut();
        let number = events.len() + 1;
        let sign = if tokens > 0 { "+" } else { "-" };
        events.push(format!(
            "[{number},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"{MODEL}\"]"
        ));
    }

    fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Answers a long poll: once there are events after the given one, or when its time is over.
    pub(super) async fn respond(&self, path: &str, head: &RequestHead) -> String {
        let after = path.split("since_time=").nth(1);
        let after: usize = after.and_then(|n| n.parse().ok()).unwrap_or(0);
        let wait_ms = head.fields.text("wait-ms");
        let wait_ms: u64 = wait_ms.and_then(|w| w.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        while self.len() <= after && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
        let events = self.0.borrow();
        let new = events.get(after..).unwrap_or_default().join(",");
        let next = events.len();
        let body = format!(
            "{{\"epoch\":1,\"next_page_token\":{next},\"lost_count\":false,\"events\":[{new}]}}"
        );
        response_text(200, "", &body)
    }
}
