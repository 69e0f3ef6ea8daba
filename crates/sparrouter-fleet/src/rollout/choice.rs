//! Which servers this node's rollout leases ask it to bring to newer weights, and in which order.
use super::calls::report;
use super::{DirectiveKind, Held, RolloutTask};
use crate::control::shard_of;
use sparrouter_membership::LifecycleState;
use sparrouter_routing::{OutdatedServer, Server, next_step};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Servers that are asked at most before the work on a version begins.
const MOST_ASKED: usize = 64;

impl RolloutTask {
    /// Whether a server of this shard runs an older version than the newest.
    pub(super) fn has_work(&self) -> bool {
        let server_table = self.node.server_table.borrow();
        let is_outdated = |server: &Server, model: &str, version: u64| {
            shard_of(&server.service) == self.shard
                && server.version_of(model).is_some_and(|v| v < version)
        };
        let has_work = server_table.versions.newest().any(|(model, wanted)| {
            let mut servers = server_table.iter();
            servers.any(|(_, server)| is_outdated(server, model, wanted.version))
        });
        if !has_work {
            self.announced.borrow_mut().clear();
        }
        has_work
    }

    /// Asks all servers once, when the work on a version begins, how much they have to finish: the idle go first.
    pub(super) async fn ask_loads(&self) {
        let newest = {
            let server_table = self.node.server_table.borrow();
            let newest = server_table.versions.newest();
            newest
                .max_by_key(|(_, wanted)| wanted.named_at)
                .map(|(model, wanted)| (model.to_owned(), wanted.version))
        };
        if newest.is_none() || *self.asked_for.borrow() == newest {
            return;
        }
        *self.asked_for.borrow_mut() = newest;
        let mut asked = Vec::new();
        for (id, address) in self.servers_with_models() {
            let net = self.node.net.clone();
            let answer = spawn_local(async move { report(&*net, address).await });
            asked.push((id, answer));
        }
        let mut loads = HashMap::new();
        for (id, answer) in asked {
            if let Ok(Some(report)) = answer.await {
                loads.insert(id, report.load());
            }
        }
        *self.loads.borrow_mut() = loads;
    }

    fn servers_with_models(&self) -> Vec<(String, SocketAddr)> {
        let server_table = self.node.server_table.borrow();
        server_table
            .iter()
            .filter(|(_, s)| shard_of(&s.service) == self.shard && !s.models().is_empty())
            .take(MOST_ASKED)
            .map(|(_, s)| (s.id.clone(), s.address))
            .collect()
    }

    /// Begins with as many servers of each service as may be without service at a time.
    pub(super) fn begin_loads(self: Rc<Self>, held: Held) {
        let newest: Vec<(String, u64)> = {
            let server_table = self.node.server_table.borrow();
            let newest = server_table.versions.newest();
            newest
                .map(|(model, wanted)| (model.to_owned(), wanted.version))
                .collect()
        };
        for (model, version) in newest {
            for service in self.services() {
                self.clone().begin_loads_of(held, &service, &model, version);
            }
        }
    }

    /// The services of this shard.
    fn services(&self) -> Vec<String> {
        let server_table = self.node.server_table.borrow();
        let mut names: Vec<&str> = server_table
            .iter()
            .map(|(_, server)| server.service.as_str())
            .filter(|name| shard_of(name) == self.shard)
            .collect();
        names.sort_unstable();
        names.dedup();
        names.into_iter().map(str::to_owned).collect()
    }

    fn begin_loads_of(self: Rc<Self>, held: Held, service: &str, model: &str, version: u64) {
        let (outdated, ready) = self.outdated(service, model, version);
        let step = next_step(outdated, ready, self.seconds_each.get(), self.node.now());
        for id in step.announce {
            let key = (id, model.to_owned());
            if self.announced.borrow_mut().insert(key.clone()) {
                self.direct(held, DirectiveKind::Soon, &key.0, model, version, false);
            }
        }
        for id in step.begin {
            self.loading.borrow_mut().insert(id.clone());
            let (task, model) = (self.clone(), model.to_owned());
            spawn_local(async move {
                task.bring_to_newest(held, &id, &model, version).await;
                task.loading.borrow_mut().remove(&id);
            });
        }
    }

    /// The outdated servers of a service that are ready, and how many are ready in all.
    fn outdated(&self, service: &str, model: &str, version: u64) -> (Vec<OutdatedServer>, usize) {
        let server_table = self.node.server_table.borrow();
        let (loading, announced) = (self.loading.borrow(), self.announced.borrow());
        let loads = self.loads.borrow();
        let announced: HashSet<&str> = announced
            .iter()
            .filter(|(_, of)| of == model)
            .map(|(id, _)| id.as_str())
            .collect();
        let (mut outdated, mut ready) = (Vec::new(), 0);
        for (_, server) in server_table.of_service(service) {
            if server.state() != LifecycleState::Ready || server.is_unresponsive() {
                continue;
            }
            ready += 1;
            let Some(runs) = server.version_of(model).filter(|runs| *runs < version) else {
                continue;
            };
            let limit = server_table.versions.limit_of(model, runs);
            outdated.push(OutdatedServer {
                id: server.id.clone(),
                limit: limit.unwrap_or(i64::MAX),
                is_loading: loading.contains(&server.id),
                is_announced: announced.contains(server.id.as_str()),
                load: loads.get(&server.id).copied().unwrap_or(u32::MAX),
                in_flight: server.in_flight(),
            });
        }
        (outdated, ready)
    }
}
