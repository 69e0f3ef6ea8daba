//! What the operator sent and was told, versions of weights, and orders to servers: CONFIG, VERSION, ONE.
use super::Monitor;
use crate::configuration::Configuration;
use crate::history::OrderCall;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use tokio::time::Instant;

/// A configuration that was sent.
#[derive(Clone, Debug)]
pub struct Submission {
    pub configuration: Configuration,
    pub base: u64,
    pub valid: bool,
    pub sent: Instant,
    pub acknowledged: Option<Instant>,
    pub refused: bool,
    /// What was sent, to know it when it is sent again.
    pub body: String,
}

#[derive(Clone, Debug)]
struct LastOrder {
    holder: String,
    fencing_token: u64,
    at: Instant,
}

#[derive(Default)]
pub(super) struct Orders {
    pub(super) sent: Vec<Submission>,
    /// Versions of weights, and when each was acknowledged.
    pub(super) named: Vec<(u64, Instant)>,
    /// When a machine in touch acknowledged that a server drains or is gone.
    pub(super) drains: BTreeMap<String, Instant>,
    /// Orders to each server: the last of each holder.
    servers: BTreeMap<String, Vec<LastOrder>>,
    pub(super) loads: BTreeMap<(String, u64), u32>,
    thawed: BTreeMap<IpAddr, Instant>,
}

impl Monitor {
    /// A configuration leaves the operator, for the first time or again. Gives back its place. Its calls are not
    /// recorded one by one: for the history it may be taken at any later moment.
    pub fn configuration_submitted(
        &self,
        configuration: &Configuration,
        base: u64,
        valid: bool,
    ) -> usize {
        self.history.borrow_mut().order_invoked(OrderCall {
            base,
            number: configuration.version,
            request: format!("PUT {}", configuration.json()),
            document: configuration.json(),
            valid,
        });
        self.submit(configuration, base, valid, configuration.json())
    }

    /// The same for another body than the plan's: a PATCH, or one that is invalid.
    pub fn submit(
        &self,
        configuration: &Configuration,
        base: u64,
        valid: bool,
        body: String,
    ) -> usize {
        self.trace(format!(
            "operator sends {} on {base}{}",
            configuration.version,
            if valid { "" } else { ", invalid" }
        ));
        let sent = Submission {
            configuration: configuration.clone(),
            base,
            valid,
            sent: Instant::now(),
            acknowledged: None,
            refused: false,
            body,
        };
        let mut orders = self.orders.borrow_mut();
        orders.sent.push(sent);
        orders.sent.len() - 1
    }

    pub fn configuration_acknowledged(&self, index: usize) {
        let (configuration, base, valid, others) = {
            let mut orders = self.orders.borrow_mut();
            let sent = &mut orders.sent[index];
            if sent.acknowledged.is_some() {
                return;
            }
            sent.acknowledged = Some(Instant::now());
            let (configuration, base, valid) = (sent.configuration.clone(), sent.base, sent.valid);
            let rival = |s: &&Submission| {
                s.base == base && s.acknowledged.is_some() && s.configuration != configuration
            };
            let others: Vec<u64> = orders
                .sent
                .iter()
                .filter(rival)
                .map(|s| s.configuration.version)
                .collect();
            (configuration, base, valid, others)
        };
        self.trace(format!("config {} is acknowledged", configuration.version));
        if !valid {
            self.report_violation(
                "CONFIG",
                format!("the invalid {} was acknowledged", configuration.version),
            );
        }
        if !others.is_empty() {
            let what = format!(
                "{} and {others:?}, both on {base}, were acknowledged",
                configuration.version
            );
            self.report_violation("CONFIG", what);
        }
    }

    pub fn configuration_rejected(&self, index: usize, status: u16) {
        let (version, taken) = {
            let mut orders = self.orders.borrow_mut();
            let sent = orders.sent[index].clone();
            let same = |s: &Submission| {
                s.acknowledged.is_some() && (&s.body, s.base) == (&sent.body, sent.base)
            };
            let taken = orders.sent.iter().any(same);
            orders.sent[index].refused = !taken;
            (sent.configuration.version, taken)
        };
        self.trace(format!("config {version} is refused with {status}"));
        if taken {
            self.report_violation(
                "CONFIG",
                format!("{version} is refused with {status}, and has been taken"),
            );
        }
    }

    /// The newest that was acknowledged.
    pub fn newest_acknowledged(&self) -> Option<Submission> {
        let orders = self.orders.borrow();
        let known = orders.sent.iter().filter(|s| s.acknowledged.is_some());
        known.max_by_key(|s| s.configuration.version).cloned()
    }

    /// The last configurations that were sent, taken or not.
    pub fn last_sent(&self, most: usize) -> Vec<Configuration> {
        let orders = self.orders.borrow();
        orders
            .sent
            .iter()
            .rev()
            .filter(|s| s.valid)
            .take(most)
            .map(|s| s.configuration.clone())
            .collect()
    }

    /// What was read back at the end.
    pub fn read_back(&self, status: u16, text: &str) {
        let Some(newest) = self.newest_acknowledged() else {
            return;
        };
        let version = text
            .split("\"version\":")
            .nth(1)
            .and_then(|t| t.split([',', '}']).next());
        let version: Option<u64> = version.and_then(|v| v.trim().parse().ok());
        if status != 200 || version.is_none_or(|v| v < newest.configuration.version) {
            let what = format!(
                "{} was acknowledged, read back: {status} {version:?}",
                newest.configuration.version
            );
            return self.report_violation("LOST", what);
        }
        let is = |s: &Submission| s.valid && !s.refused && text == s.configuration.json();
        if !self.orders.borrow().sent.iter().any(is) {
            let what =
                format!("{version:?} is read back, which is not what was sent under that number");
            self.report_violation("CONFIG", what);
        }
    }

    /// New weights are acknowledged.
    pub fn weights_acknowledged(&self, version: u64) {
        self.trace(format!("weights {version} are named and acknowledged"));
        self.orders
            .borrow_mut()
            .named
            .push((version, Instant::now()));
    }

    /// A node acknowledged that a server drains, or has left.
    pub fn drain_acknowledged(&self, instance: &str, by: SocketAddr) {
        self.trace(format!(
            "{} acknowledges that {instance} drains or left",
            by.ip()
        ));
        // It binds also where the machine that gave it was not in touch.
        self.orders
            .borrow_mut()
            .drains
            .entry(instance.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Orders of a machine that was just thawed, or joined again, are not counted for a moment.
    pub fn resumed(&self, ip: IpAddr) {
        self.orders.borrow_mut().thawed.insert(ip, Instant::now());
    }

    /// An order reached a server.
    pub fn command_received(&self, instance: &str, holder: &str, fencing_token: u64, by: IpAddr) {
        self.trace(format!("{holder} orders {instance} under {fencing_token}"));
        let now = Instant::now();
        let mut broken = None;
        {
            let mut orders = self.orders.borrow_mut();
            if orders
                .thawed
                .get(&by)
                .is_some_and(|at| now - *at <= self.bounds.thaw)
            {
                return;
            }
            let last = orders.servers.entry(instance.to_owned()).or_default();
            if last
                .iter()
                .any(|l| l.fencing_token == fencing_token && l.holder != holder)
            {
                broken = Some(format!(
                    "two holders order {instance} under {fencing_token}"
                ));
            }
            // A holder, another, and the first one again.
            let own = last.iter().rposition(|l| l.holder == holder);
            if let Some(own) = own
                && last[own + 1..].iter().any(|l| l.holder != holder)
                && now - last[own].at <= self.bounds.lease
            {
                broken = Some(format!("{holder} and another take turns at {instance}"));
            }
            if !self.bounds.fencing && last.iter().any(|l| l.fencing_token > fencing_token) {
                broken = Some(format!(
                    "{holder} orders {instance} under {fencing_token}, lower than before"
                ));
            }
            last.push(LastOrder {
                holder: holder.to_owned(),
                fencing_token,
                at: now,
            });
        }
        if let Some(what) = broken {
            self.report_violation("ONE", what);
        }
    }

    /// Who ordered last.
    pub fn last_lease_owner(&self) -> Option<String> {
        self.last_order().map(|(holder, _)| holder)
    }

    /// The same, and when that was.
    pub fn last_order(&self) -> Option<(String, Instant)> {
        let orders = self.orders.borrow();
        let last = orders
            .servers
            .values()
            .filter_map(|all| all.last())
            .max_by_key(|l| l.at);
        last.map(|l| (l.holder.clone(), l.at))
    }

    /// A server takes new weights.
    pub fn load_started(&self, instance: &str, version: u64) {
        self.trace(format!("{instance} loads weights {version}"));
        *self
            .orders
            .borrow_mut()
            .loads
            .entry((instance.to_owned(), version))
            .or_default() += 1;
    }

    /// How often each server took each version.
    pub fn load_counts(&self) -> BTreeMap<(String, u64), u32> {
        self.orders.borrow().loads.clone()
    }
}
