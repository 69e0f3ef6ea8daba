//! Requests a permit from one of the lease holders of a tenant's quota.
use super::holder::Grant;
use super::limits::{PERMIT_LIFETIME, division_of, quota_settings};
use super::permit::HeldPermit;
use crate::node::Node;
use crate::node::counters::count;
use crate::peer::messages::{Call, Reply};
use crate::platform::defects::rules;
use crate::settings::nanos;
use sparrouter_config::TenantQuota;
use sparrouter_quota::{NextStep, Permit};
use sparrouter_routing::Nanos;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time-out of a call for permits.
const TAKE_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum number of nodes that are asked for one shard: the last known lease holder, and the nodes that rank highest
/// for the lease.
const MAX_CANDIDATES: usize = 3;
/// Maximum number of nodes that are tried as relays if this node cannot reach the lease holder.
const MAX_RELAYS: usize = 2;
/// How long a shard is not asked again after no lease holder answered for it.
const UNAVAILABLE_FOR: Duration = Duration::from_millis(150);
/// Maximum time for which a shard is not asked if its next lease holder states when it becomes active.
const MAX_UNAVAILABLE_FOR: Duration = Duration::from_millis(500);
/// How long a node that did not answer is not asked.
const SUSPECTED_FOR: Duration = Duration::from_millis(1_000);
/// How long a request waits if no lease holder can be reached. A lease may just be moving to another holder.
const MAX_WAIT_FOR_HOLDER: Duration = Duration::from_millis(200);
/// Interval between attempts during that wait.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
const NANOS_PER_MS: u64 = 1_000_000;

/// Why a request gets no permit. The request has not been sent; the client may retry after the given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitError {
    /// The tenant's quota is used up.
    LimitReached(Duration),
    /// No lease holder of the quota can be reached.
    Unavailable(Duration),
}

/// A node's answer to a request for permits.
#[derive(Clone, Copy)]
struct Answer {
    /// When the node was asked.
    asked_at: Nanos,
    grant: Grant,
}

impl Node {
    /// Returns [`PermitError::LimitReached`] if this node already knows that all parts of a tenant's quota are used up.
    /// No message is sent.
    pub(crate) fn known_quota_refusal(
        &self,
        tenant: &str,
        quota: TenantQuota,
    ) -> Option<PermitError> {
        let settings = quota_settings(self);
        let shards = division_of(quota, &settings).shards(tenant, &settings);
        let permits = self.quotas.permits.borrow();
        match permits.next_step(tenant, &shards, &[], self.now()) {
            NextStep::LimitReached(after) => {
                count(&self.counters.quota_refused);
                Some(PermitError::LimitReached(Duration::from_nanos(after)))
            }
            _ => None,
        }
    }

    /// Takes a permit of a tenant's quota from any of its lease holders.
    ///
    /// # Errors
    ///
    /// Returns a [`PermitError`] if no lease holder has a permit left, or none can be reached.
    pub(crate) async fn take_permit(
        self: &Rc<Self>,
        tenant: &str,
        quota: TenantQuota,
    ) -> Result<HeldPermit, PermitError> {
        let settings = quota_settings(self);
        let mut shards = division_of(quota, &settings).shards(tenant, &settings);
        // The first shard is chosen at random, so that requests are spread over all parts of the quota.
        let first_index = self.rng.borrow_mut().usize(..shards.len());
        shards.rotate_left(first_index);
        let started_at = Instant::now();
        let mut asked = Vec::new();
        loop {
            let step = {
                let permits = self.quotas.permits.borrow();
                permits.next_step(tenant, &shards, &asked, self.now())
            };
            match step {
                NextStep::Ask(shard) => {
                    asked.push(shard);
                    if let Some(permit) = self.ask_shard(shard, tenant).await {
                        return Ok(HeldPermit::new(self, tenant, permit));
                    }
                }
                NextStep::LimitReached(after) => {
                    count(&self.counters.quota_refused);
                    return Err(PermitError::LimitReached(Duration::from_nanos(after)));
                }
                NextStep::Unavailable(_) if started_at.elapsed() < MAX_WAIT_FOR_HOLDER => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                    asked.clear();
                }
                NextStep::Unavailable(after) => {
                    count(&self.counters.quota_unavailable);
                    let after = Duration::from_nanos(after).max(UNAVAILABLE_FOR);
                    return Err(PermitError::Unavailable(after));
                }
            }
        }
    }

    /// Asks the lease holder of a shard for a permit and records the answer.
    async fn ask_shard(&self, shard: u16, tenant: &str) -> Option<Permit> {
        let mut answer = self.ask_holders(shard, tenant, 1).await;
        if answer.is_none() {
            answer = self.ask_relays(shard, tenant).await;
        }
        let now = self.now();
        let mut permits = self.quotas.permits.borrow_mut();
        let Some(Answer { asked_at, grant }) = answer else {
            permits.record_unavailable(shard, nanos(UNAVAILABLE_FOR), now);
            return None;
        };
        match grant {
            Grant::Permits {
                fencing_token,
                granted_at,
                ..
            } => {
                permits.record_answer(shard);
                return Some(Permit {
                    shard,
                    fencing_token,
                    granted_at,
                    expires_at: self.permit_start(asked_at) + nanos(PERMIT_LIFETIME),
                });
            }
            Grant::Exhausted { retry_after } => {
                permits.record_answer(shard);
                permits.record_refusal(tenant, shard, retry_after, now);
            }
            Grant::NotHolder { active_in } => {
                let retry_after = active_in.unwrap_or(nanos(UNAVAILABLE_FOR));
                let retry_after = retry_after.min(nanos(MAX_UNAVAILABLE_FOR));
                permits.record_unavailable(shard, retry_after, now);
            }
        }
        None
    }

    /// Asks the nodes that may have the lease of a shard, until one of them has it or one does not answer. Returns
    /// `None` if a node did not answer, or if there is no node to ask.
    async fn ask_holders(&self, shard: u16, tenant: &str, wanted: u32) -> Option<Answer> {
        let mut not_holder: Option<Answer> = None;
        for address in HolderCandidates::of(self, shard) {
            let Some(answer) = self.ask_holder(address, shard, tenant, wanted).await else {
                self.quotas.holders.borrow_mut().remove(&shard);
                return None;
            };
            match answer.grant {
                Grant::NotHolder { active_in: None } if not_holder.is_some() => {}
                Grant::NotHolder { .. } => not_holder = Some(answer),
                _ => {
                    self.quotas.holders.borrow_mut().insert(shard, address);
                    return Some(answer);
                }
            }
        }
        self.quotas.holders.borrow_mut().remove(&shard);
        not_holder
    }

    /// Asks one node for permits; `None` if the node does not answer.
    async fn ask_holder(
        &self,
        address: SocketAddr,
        shard: u16,
        tenant: &str,
        wanted: u32,
    ) -> Option<Answer> {
        if address == self.own_address() {
            return Some(Answer {
                asked_at: self.now(),
                grant: self.grant_permits(shard, tenant, wanted),
            });
        }
        let call = Call::TakePermits {
            shard,
            tenant: tenant.to_owned(),
            wanted,
        };
        self.call_for_permits(address, &call).await
    }

    /// Asks for a permit through other nodes, which may be able to reach the lease holder when this node is not.
    async fn ask_relays(&self, shard: u16, tenant: &str) -> Option<Answer> {
        let call = Call::RelayTakePermits {
            shard,
            tenant: tenant.to_owned(),
            wanted: 1,
        };
        for _ in 0..MAX_RELAYS {
            let relay = self.quotas.relay.get().or_else(|| self.random_proxy())?;
            let answer = self.call_for_permits(relay, &call).await;
            self.quotas.relay.set(answer.is_some().then_some(relay));
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Sends a call for permits. A node that does not answer is suspected for a while.
    async fn call_for_permits(&self, to: SocketAddr, call: &Call) -> Option<Answer> {
        // The lifetime of a permit starts before the call, so a permit that arrives late has already expired.
        let asked_at = self.now();
        let reply = self.quota_links.call(to, call, TAKE_TIMEOUT).await;
        let grant = reply.ok().as_ref().and_then(parse_grant);
        if grant.is_none() {
            self.quotas.suspect(to, self.now() + nanos(SUSPECTED_FOR));
        }
        Some(Answer {
            asked_at,
            grant: grant?,
        })
    }

    /// Asks the lease holder of a shard on behalf of a node that cannot reach it.
    pub(crate) async fn relay_take(&self, shard: u16, tenant: &str, wanted: u32) -> Grant {
        let answer = self.ask_holders(shard, tenant, wanted).await;
        answer.map_or(Grant::NotHolder { active_in: None }, |answer| answer.grant)
    }

    /// A random other node that accepts clients and is not suspected.
    fn random_proxy(&self) -> Option<SocketAddr> {
        let live = self.live_nodes();
        let now = self.now();
        let proxies: Vec<SocketAddr> = (0..live.owners().members().len())
            .filter_map(|index| live.owner_address_at(index))
            .filter(|address| !self.quotas.is_suspected(*address, now))
            .collect();
        if proxies.is_empty() {
            return None;
        }
        let index = self.rng.borrow_mut().usize(..proxies.len());
        Some(proxies[index])
    }

    /// The start of the lifetime of a permit that was requested at `asked_at`.
    fn permit_start(&self, asked_at: Nanos) -> Nanos {
        if rules::permits_run_from_asking() {
            asked_at
        } else {
            self.now()
        }
    }

    /// The control nodes in the order in which they take over the lease of a shard. Leaving and unresponsive nodes come
    /// last.
    fn ranked_holders(&self, shard: u16) -> Vec<SocketAddr> {
        let live = self.live_nodes();
        let members = live.control_records().iter();
        let members = members.map(|m| (sparrouter_rendezvous::hash(m.name.as_bytes()), m));
        let key = sparrouter_rendezvous::hash(&shard.to_le_bytes());
        let ranked = sparrouter_rendezvous::order(members, key);
        let (available, unavailable): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|record| !record.unresponsive && !record.leaving);
        let in_order = available.into_iter().chain(unavailable);
        in_order
            .filter_map(|record| record.internal_address.parse().ok())
            .collect()
    }
}

/// Iterator over the nodes that may have the lease of a shard, most likely first: the last known holder, then the nodes
/// that may have acquired the lease since.
struct HolderCandidates<'a> {
    node: &'a Node,
    shard: u16,
    /// The last known holder, until it has been returned.
    last: Option<SocketAddr>,
    /// The addresses that have been returned.
    yielded: Vec<SocketAddr>,
    /// The other nodes by rank; computed only after the last known holder has turned out not to have the lease.
    ranked: Option<std::vec::IntoIter<SocketAddr>>,
}

impl<'a> HolderCandidates<'a> {
    fn of(node: &'a Node, shard: u16) -> HolderCandidates<'a> {
        HolderCandidates {
            node,
            shard,
            last: node.quotas.holders.borrow().get(&shard).copied(),
            yielded: Vec::new(),
            ranked: None,
        }
    }

    fn next_ranked(&mut self) -> Option<SocketAddr> {
        let (node, shard) = (self.node, self.shard);
        let now = node.now();
        let ranked = self
            .ranked
            .get_or_insert_with(|| node.ranked_holders(shard).into_iter());
        ranked.find(|address| {
            !self.yielded.contains(address) && !node.quotas.is_suspected(*address, now)
        })
    }
}

impl Iterator for HolderCandidates<'_> {
    type Item = SocketAddr;

    fn next(&mut self) -> Option<SocketAddr> {
        if self.yielded.len() >= MAX_CANDIDATES {
            return None;
        }
        let now = self.node.now();
        let last = self.last.take();
        let last = last.filter(|address| !self.node.quotas.is_suspected(*address, now));
        let next = last.or_else(|| self.next_ranked())?;
        self.yielded.push(next);
        Some(next)
    }
}

/// Converts a reply to a [`Grant`]; `None` if the reply is of another kind.
fn parse_grant(reply: &Reply) -> Option<Grant> {
    let from_ms = |ms: u32| u64::from(ms) * NANOS_PER_MS;
    match *reply {
        Reply::Permits {
            fencing_token,
            granted_at,
            count,
        } => Some(Grant::Permits {
            fencing_token,
            granted_at,
            count,
        }),
        Reply::QuotaExhausted { retry_after_ms } => Some(Grant::Exhausted {
            retry_after: from_ms(retry_after_ms),
        }),
        Reply::NotLeaseHolder { active_in_ms } => Some(Grant::NotHolder {
            active_in: active_in_ms.map(from_ms),
        }),
        _ => None,
    }
}
