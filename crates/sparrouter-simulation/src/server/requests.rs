//! A request at a server: declined, queued, run, and its answer with what may be wrong with it.
use super::{Server, ServerConnection};
use crate::checkers::{CachedBlock, Run};
use crate::http_messages::response_text;
use crate::network::connection::End;
use bytes::{Bytes, BytesMut};
use sparrouter_http::head::{Fields, RequestHead};
use sparrouter_http::reading;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};

impl Server {
    /// Declines with the words that prove it.
    async fn decline(&self, stream: &mut End, status: u16, id: &str) -> Option<bool> {
        let fields = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Not-Executed: 1\r\nSparrouter-Instance-Id: {}\r\nVersions: {}\r\n",
            self.settings.id,
            self.version.get()
        );
        Some(
            stream
                .write_all(response_text(status, &fields, "").as_bytes())
                .await
                .is_ok(),
        )
    }

    /// One request. Whether the connection may carry another; None: it is to be reset.
    pub(super) async fn serve(
        &self,
        stream: &mut End,
        talk: &mut ServerConnection,
        head: &RequestHead,
        body: &Bytes,
        path: &str,
        from: SocketAddr,
    ) -> Option<bool> {
        let fields = &head.fields;
        let text = |name: &str| fields.text(name).unwrap_or_default().to_owned();
        let id = text("sparrouter-attempt-id");
        let expected = fields.text("sparrouter-expected-instance");
        if expected.is_some_and(|e| e != self.settings.id) {
            return self.decline(stream, 421, &id).await;
        }
        if id.is_empty() {
            return self.decline(stream, 400, &id).await;
        }
        self.monitor
            .request_arrived(&self.settings.service, &id, &self.settings.id, from.ip());
        let wanted = |v: u64| {
            fields
                .text("expect-version")
                .is_none_or(|e| e.parse() == Ok(v))
        };
        if !wanted(self.version.get()) && !self.loading.get() {
            return self.decline(stream, 421, &id).await;
        }
        if self.loading.get() || self.queued.get() > self.settings.slots * 3 {
            return self.decline(stream, 503, &id).await;
        }
        let left = text("sparrouter-deadline-ms").parse().unwrap_or(30_000);
        let until = Instant::now() + Duration::from_millis(left);
        self.queued.set(self.queued.get() + 1);
        let got = tokio::select! {
            biased;
            got = self.slots.acquire() => got.ok(),
            () = gone(stream, &mut talk.buffer) => None,
            () = tokio::time::sleep_until(until) => None,
        };
        self.queued.set(self.queued.get() - 1);
        let Some(slot) = got else {
            return self.decline(stream, 503, &id).await;
        };
        if self.loading.get() {
            drop(slot);
            return self.decline(stream, 503, &id).await;
        }
        if !wanted(self.version.get()) {
            drop(slot);
            return self.decline(stream, 421, &id).await;
        }
        let run = self.begin(fields, head, body, path, &id, from);
        self.running.set(self.running.get() + 1);
        let _working = Working(&self.running);
        let ended = tokio::select! {
            biased;
            ended = self.answer(stream, path, fields, &id, run, &mut talk.late) => ended,
            () = tokio::time::sleep_until(until) => Some(false),
        };
        drop(slot);
        ended.map(|keep| keep && head.keep_alive)
    }

    fn begin(
        &self,
        fields: &Fields,
        head: &RequestHead,
        body: &Bytes,
        path: &str,
        id: &str,
        from: SocketAddr,
    ) -> u64 {
        let salt = fields.text("cache-salt").unwrap_or_default().to_owned();
        let version = self.version.get();
        let tenant = fields.text("sparrouter-tenant").map(str::to_owned);
        let own = CachedBlock {
            version,
            tenant: tenant.clone(),
        };
        let mut cached_blocks = Vec::new();
        let memory = |name: &str| {
            let at: SocketAddr = fields.text(name)?.parse().ok()?;
            self.settings.block_stores.borrow().get(&at).cloned()
        };
        let (fetch, save) = (memory("kv-fetch"), memory("kv-save"));
        for part in fields
            .text("sparrouter-prompt-prefix")
            .unwrap_or_default()
            .split(',')
        {
            let key = (
                salt.clone(),
                part.split(':').next().unwrap_or_default().to_owned(),
            );
            let held = self.kept.borrow().get(&key).cloned();
            let fetched = || fetch.as_ref().and_then(|m| m.borrow().get(&key).cloned());
            let new = held.is_none();
            let at = held.or_else(|| {
                let moved = fetched();
                self.moves
                    .set(self.moves.get() + u32::from(moved.is_some()));
                moved
            });
            let at = at.unwrap_or_else(|| own.clone());
            self.kept.borrow_mut().insert(key.clone(), at.clone());
            if new {
                let tokens = part
                    .split(':')
                    .nth(1)
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(0);
                self.tell(&key.0, &key.1, tokens);
            }
            if let Some(store) = &save {
                // What it has stays as it was first made.
                store.borrow_mut().entry(key).or_insert_with(|| at.clone());
            }
            cached_blocks.push(at);
        }
        self.monitor.run_started(Run {
            attempt: id.to_owned(),
            service: self.settings.service.clone(),
            instance: self.settings.id.clone(),
            by: from.ip(),
            method: String::from_utf8_lossy(&head.method).into_owned(),
            path: path.to_owned(),
            body: body.clone(),
            tenant,
            key: fields.text("sparrouter-key").map(str::to_owned),
            version,
            cached_blocks,
            resumed: fields
                .text("last-event-id")
                .and_then(|l| l.trim().parse().ok())
                .unwrap_or(0),
        })
    }

    async fn answer(
        &self,
        stream: &mut End,
        path: &str,
        fields: &Fields,
        id: &str,
        run: u64,
        late: &mut String,
    ) -> Option<bool> {
        let chance = |of: f64| of > 0.0 && self.rng.borrow_mut().f64() < of;
        let faults = self.faults.get();
        if chance(faults.resets) {
            self.monitor.server_faulted(run);
            return None;
        }
        sleep(self.settings.work).await;
        if chance(faults.hangs) {
            self.monitor.server_faulted(run);
            std::future::pending::<()>().await;
        }
        if chance(faults.garbles) {
            self.monitor.server_faulted(run);
            // No more can come of it, whether it is heard or not.
            let _ = stream
                .write_all(b"\x16\x03\x01 no answer at all\r\n\r\n")
                .await;
            return Some(false);
        }
        let own = format!(
            "Sparrouter-Attempt-Id: {id}\r\nSparrouter-Response-Seal: seal-{run}\r\nVersions: {}\r\n\
             Sparrouter-Instance-Load: {},{},{}\r\n",
            self.version.get(),
            self.running.get(),
            self.queued.get(),
            self.settings.slots
        );
        let word = path
            .split('?')
            .next()
            .unwrap_or_default()
            .rsplit('/')
            .next()
            .unwrap_or_default();
        let count: u64 = word.get(1..).and_then(|n| n.parse().ok()).unwrap_or(1);
        if !word.starts_with('s') {
            let answer = response_text(200, &own, &body_of(run, count as usize));
            stream.write_all(answer.as_bytes()).await.ok()?;
            if chance(faults.surplus) {
                self.surplus(stream, answer, late).await?;
            }
            return Some(true);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        let first = fields
            .text("last-event-id")
            .and_then(|l| l.trim().parse::<u64>().ok())
            .unwrap_or(0);
        let breaks = chance(faults.breaks).then(|| self.rng.borrow_mut().u64(first..=count));
        for event in first + 1..=count {
            let text = event_of(run, event);
            if breaks == Some(event - 1) {
                self.monitor.server_faulted(run);
                // Anywhere in an event, and as often at its end.
                let upto = self
                    .rng
                    .borrow_mut()
                    .usize(..text.len() * 2)
                    .min(text.len());
                if upto > 0 {
                    let piece = &text[..upto];
                    stream
                        .write_all(format!("{upto:x}\r\n{piece}\r\n").as_bytes())
                        .await
                        .ok()?;
                }
                return None;
            }
            stream
                .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                .await
                .ok()?;
            if event < count {
                sleep(self.settings.gap).await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.ok()?;
        if chance(faults.surplus) {
            self.surplus(stream, response_text(200, &own, "surplus"), late)
                .await?;
        }
        Some(true)
    }

    async fn surplus(&self, stream: &mut End, answer: String, late: &mut String) -> Option<()> {
        if self.rng.borrow_mut().bool() {
            *late = answer;
            return Some(());
        }
        stream.write_all(answer.as_bytes()).await.ok()
    }
}

/// One event of a run.
pub fn event_of(run: u64, event: u64) -> String {
    format!("id: {event}\ndata: run {run} event {event}\n\n")
}

/// The body of a run, as long as was asked for.
pub fn body_of(run: u64, length: usize) -> String {
    format!("run {run} ")
        .chars()
        .cycle()
        .take(length.max(1))
        .collect()
}

/// Ends once the caller has left.
async fn gone(stream: &mut End, buffer: &mut BytesMut) {
    while reading::more(stream, buffer).await.is_ok() {}
}

struct Working<'a>(&'a Cell<u32>);

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
