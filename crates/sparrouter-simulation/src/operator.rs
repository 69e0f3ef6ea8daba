//! The operator: configurations and versions, each sent until there is a clear answer, to any node of a lagging list.
use crate::checkers::Monitor;
use crate::configuration::Configuration;
use crate::history::{OrderCall, Outcome};
use crate::http_messages::{self, Reply};
use crate::network::interface::NetworkInterface;
use crate::server::MODEL;
use fastrand::Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Nothing is sent for longer.
const SEND_TIMEOUT: Duration = Duration::from_secs(40);

pub struct Operator {
    net: NetworkInterface,
    monitor: Rc<Monitor>,
    rng: RefCell<Rng>,
    control: Rc<RefCell<Vec<SocketAddr>>>,
}

/// How a configuration is sent.
#[derive(Clone, Debug)]
pub enum Encoding {
    Full,
    Patch(Configuration),
    /// This body instead of the plan's.
    Body(String),
}

/// One order as it goes over the wire.
#[derive(Clone, Debug)]
pub struct Order {
    pub method: &'static str,
    pub base: u64,
    pub body: String,
    /// The configuration that is in force once it is taken.
    pub configuration: Configuration,
    /// Whether it may be taken at all.
    pub valid: bool,
}

impl Order {
    pub fn new(configuration: &Configuration, base: u64, how: Encoding, valid: bool) -> Order {
        let (method, body) = match how {
            Encoding::Full => ("PUT", configuration.json()),
            Encoding::Patch(before) => ("PATCH", configuration.patch_json(&before)),
            Encoding::Body(body) => ("PUT", body),
        };
        Order {
            method,
            base,
            body,
            configuration: configuration.clone(),
            valid,
        }
    }

    fn request(&self) -> String {
        format!("{} {}", self.method, self.body)
    }

    fn recorded(&self) -> OrderCall {
        OrderCall {
            base: self.base,
            number: self.configuration.version,
            request: self.request(),
            document: self.configuration.json(),
            valid: self.valid,
        }
    }
}

impl Operator {
    pub fn new(
        net: NetworkInterface,
        monitor: Rc<Monitor>,
        rng: Rng,
        control: Rc<RefCell<Vec<SocketAddr>>>,
    ) -> Operator {
        Operator {
            net,
            monitor,
            rng: RefCell::new(rng),
            control,
        }
    }

    fn any(&self) -> SocketAddr {
        let list = self.control.borrow();
        list[self.rng.borrow_mut().usize(..list.len())]
    }

    /// Sends a whole configuration on top of `base`; gives back the status that ended it, 0 where none did.
    pub async fn put(&self, configuration: &Configuration, base: u64) -> u16 {
        self.change(configuration, base, Encoding::Full, true)
            .await
            .0
    }

    pub async fn patch(&self, configuration: &Configuration, before: &Configuration) -> u16 {
        self.change(
            configuration,
            before.version,
            Encoding::Patch(before.clone()),
            true,
        )
        .await
        .0
    }

    /// The status that ended it, and who answered. `valid`: whether it may be taken at all.
    pub async fn change(
        &self,
        configuration: &Configuration,
        base: u64,
        how: Encoding,
        valid: bool,
    ) -> (u16, Option<SocketAddr>) {
        self.change_at(None, configuration, base, how, valid).await
    }

    /// The same, asking this node first.
    pub async fn change_at(
        &self,
        mut first: Option<SocketAddr>,
        configuration: &Configuration,
        base: u64,
        how: Encoding,
        valid: bool,
    ) -> (u16, Option<SocketAddr>) {
        let order = Order::new(configuration, base, how, valid);
        let index = self
            .monitor
            .submit(configuration, base, valid, order.request());
        let began = Instant::now();
        let mut told = false;
        let mut others = 0;
        let mut pause = Duration::from_millis(50);
        while began.elapsed() < SEND_TIMEOUT {
            let to = first.take().unwrap_or_else(|| self.any());
            let status = self.send(to, &order).await;
            match status {
                200..=299 => {
                    self.monitor.configuration_acknowledged(index);
                    return (status, Some(to));
                }
                400 | 409 | 412 | 413 | 422 => {
                    // Had an earlier send been taken, unheard, it would be 200: so none was, and none may be.
                    self.monitor.configuration_rejected(index, status);
                    return (status, Some(to));
                }
                404 | 405 if others >= 2 => return (status, Some(to)),
                404 | 405 => others += 1,
                _ => {}
            }
            if !told && valid && began.elapsed() > self.monitor.bounds.ack_timeout {
                let now = Instant::now();
                if self.monitor.core_stable(began, now)
                    && !self.monitor.any_unplanned_fault(began, now)
                {
                    told = true;
                    self.monitor.report_violation(
                        "ACKS",
                        format!(
                            "{} has no acknowledgement after {:?}",
                            configuration.version,
                            now - began
                        ),
                    );
                }
            }
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_millis(800));
        }
        (0, None)
    }

    /// One call to one node, recorded for the check of the history; the status, 0 where no answer came.
    pub async fn send(&self, to: SocketAddr, order: &Order) -> u16 {
        let call = self
            .monitor
            .history
            .borrow_mut()
            .order_invoked(order.recorded());
        let base = order.base.to_string();
        let fields = [
            ("If-Match", base.as_str()),
            ("Content-Type", "application/json"),
        ];
        let reply = http_messages::call(
            &self.net,
            to,
            order.method,
            "/api/config",
            &fields,
            &order.body,
            CALL_TIMEOUT,
        )
        .await;
        let text = |r: &Reply| {
            format!(
                "{} {}",
                r.status,
                r.text().chars().take(80).collect::<String>()
            )
        };
        self.monitor
            .trace_detail(|| format!("{to} answers the operator: {:?}", reply.as_ref().map(text)));
        let status = reply.map_or(0, |r| r.status);
        let outcome = match status {
            200..=299 => Some(Outcome::Acknowledged),
            400 | 409 | 412 | 413 | 422 => Some(Outcome::Refused),
            _ => None,
        };
        if let Some(outcome) = outcome {
            self.monitor
                .history
                .borrow_mut()
                .response_received(call, outcome);
        }
        status
    }

    /// Names new weights until that is acknowledged.
    pub async fn name_version(&self, version: u64) -> bool {
        let began = Instant::now();
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        while began.elapsed() < SEND_TIMEOUT {
            let to = self.any();
            let call = http_messages::call(
                &self.net,
                to,
                "POST",
                "/api/version-put",
                &[],
                &body,
                CALL_TIMEOUT,
            );
            if call.await.is_ok_and(|r| r.status < 300) {
                self.monitor.weights_acknowledged(version);
                return true;
            }
            sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// One question to one node, recorded for the check of the history.
    pub async fn get_from(&self, to: SocketAddr) -> Option<Reply> {
        let call = self.monitor.history.borrow_mut().read_invoked();
        let reply = http_messages::call(&self.net, to, "GET", "/api/config", &[], "", CALL_TIMEOUT)
            .await
            .ok()?;
        let outcome = match reply.status {
            200 => Some(Outcome::Document(reply.text().to_owned())),
            404 => Some(Outcome::NoDocument),
            _ => None,
        };
        if let Some(outcome) = outcome {
            self.monitor
                .history
                .borrow_mut()
                .response_received(call, outcome);
        }
        Some(reply)
    }

    /// Reads the configuration back, as at the end of a day.
    pub async fn read_back(&self) {
        let began = Instant::now();
        let mut last = (0, String::new());
        while began.elapsed() < self.monitor.bounds.contact * 2 {
            if let Some(reply) = self.get_from(self.any()).await {
                last = (reply.status, reply.text().to_owned());
                if reply.status == 200 {
                    break;
                }
            }
            sleep(Duration::from_millis(200)).await;
        }
        self.monitor.read_back(last.0, &last.1);
    }
}
