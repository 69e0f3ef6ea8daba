//! A server's life as the fleet hears of it: beats, draining, leaving.
use super::{MODEL, Server, State};
use crate::http_messages;
use crate::network::interface::SimulatedListener;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// A caller waits a second for an acknowledgement.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// It serves on so long beyond its drain time, and waits so long where nobody acknowledges.
const LINGER: Duration = Duration::from_millis(800);
const UNHEARD: Duration = Duration::from_secs(5);

impl Server {
    /// Its whole life: it ends by itself only after `drain`.
    pub async fn run(self: Rc<Self>, listener: SimulatedListener) {
        let serving = self.clone();
        spawn_local(async move {
            loop {
                let (stream, from) = listener.next().await;
                let server = serving.clone();
                spawn_local(async move { server.serve_connection(stream, from).await });
            }
        });
        sleep(self.settings.first_heartbeat_after).await;
        let first = self.heartbeat_body();
        while self.state.get() == State::Ready {
            self.beat().await;
            let pause = self
                .settings
                .heartbeat
                .mul_f64(0.9 + 0.2 * self.rng.borrow_mut().f64());
            let until = Instant::now() + pause;
            while self.state.get() == State::Ready && Instant::now() < until {
                sleep(Duration::from_millis(20)).await;
            }
        }
        let began = Instant::now();
        let mut acknowledged = None;
        while acknowledged.is_none() && began.elapsed() < UNHEARD {
            acknowledged = self.beat().await;
            if acknowledged.is_none() {
                sleep(Duration::from_millis(50)).await;
            }
        }
        if let Some(by) = acknowledged {
            self.drained_by.set(Some(by));
            self.monitor.drain_acknowledged(&self.settings.id, by);
            if self.duplicate_first_heartbeat.get() {
                let path = format!("/api/instances/{}", self.settings.id);
                let _ = http_messages::call(&self.net, by, "PUT", &path, &[], &first, CALL_TIMEOUT)
                    .await;
            }
            sleep(self.settings.drain_timeout + LINGER).await;
        }
        for _ in 0..3 {
            let path = format!("/api/instances/{}", self.settings.id);
            if let Some(to) = self.whom()
                && let Ok(reply) =
                    http_messages::call(&self.net, to, "DELETE", &path, &[], "", CALL_TIMEOUT).await
                && reply.status < 300
            {
                self.monitor.drain_acknowledged(&self.settings.id, to);
                break;
            }
            self.target.set(None);
        }
        // What it is still working on may end.
        let until = Instant::now() + LINGER;
        while self.running.get() > 0 && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn is_draining(&self) -> bool {
        self.state.get() == State::Draining
    }

    /// Whom it calls next: one of its list where none is given.
    pub fn call_next(&self, node: Option<SocketAddr>) {
        self.target.set(node);
    }

    /// Announces its end.
    pub fn drain(&self) {
        self.state.set(State::Draining);
    }

    fn whom(&self) -> Option<SocketAddr> {
        let list = self.settings.control.borrow();
        let any = || (!list.is_empty()).then(|| list[self.rng.borrow_mut().usize(..list.len())]);
        self.target.get().or_else(any)
    }

    fn heartbeat_body(&self) -> String {
        self.call_sequence.set(self.call_sequence.get() + 1);
        let t = &self.settings;
        let state = if self.state.get() == State::Ready {
            "ready"
        } else {
            "draining"
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slot_count\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"serving_stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\
             \"version\":{},\"adapters\":[]}}],\"call_sequence\":{}}}",
            t.service,
            t.address,
            t.zone,
            t.slots,
            self.version.get(),
            self.call_sequence.get()
        )
    }

    /// One beat; gives back who acknowledged it.
    async fn beat(&self) -> Option<SocketAddr> {
        for _ in 0..3 {
            let to = self.whom()?;
            let path = format!("/api/instances/{}", self.settings.id);
            let body = self.heartbeat_body();
            match http_messages::call(&self.net, to, "PUT", &path, &[], &body, CALL_TIMEOUT).await {
                Ok(reply) if reply.status < 300 && reply.body.len() <= 4 << 10 => {
                    let told = reply.text().split("\"heartbeat_target\":\"").nth(1);
                    let told = told
                        .and_then(|t| t.split('"').next())
                        .and_then(|t| t.parse().ok());
                    if told.is_some() {
                        self.target.set(told);
                    }
                    return Some(to);
                }
                _ => self.target.set(None),
            }
        }
        None
    }
}
