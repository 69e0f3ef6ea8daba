//! Selects the servers of the shard that are updated to newer weights next.
use super::directives::{DirectiveKind, ServerModel};
use super::server_calls::request_report;
use super::{RolloutTask, TargetVersion};
use crate::control::shard_lease::ActiveLease;
use crate::control::shard_of;
use sparrouter_membership::LifecycleState;
use sparrouter_routing::{OutdatedServer, Server, next_step};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Maximum number of servers that are asked for a report before the rollout of a version begins.
const MAX_REPORTS: usize = 64;

/// State of a service's servers with regard to one target version.
struct ServiceState {
    /// Ready servers that run an older version.
    outdated: Vec<OutdatedServer>,
    /// Number of ready servers of any version.
    ready_count: usize,
}

impl RolloutTask {
    /// Whether any server of this shard runs an older version than the newest. If none does, clears the set of
    /// announced servers.
    pub(super) fn has_work(&self) -> bool {
        let server_table = self.node.server_table.borrow();
        let is_outdated = |server: &Server, model: &str, version: u64| {
            shard_of(&server.service) == self.shard
                && server.version_of(model).is_some_and(|v| v < version)
        };
        let has_work = server_table.versions.newest().any(|(model, newest)| {
            let mut servers = server_table.iter();
            servers.any(|(_, server)| is_outdated(server, model, newest.version))
        });
        if !has_work {
            self.announced.borrow_mut().clear();
        }
        has_work
    }

    /// Requests the load of each server once, when the rollout of a version begins: idle servers are updated first.
    pub(super) async fn request_loads(&self) {
        let latest = self.latest_target();
        if latest.is_none() || *self.loads_requested_for.borrow() == latest {
            return;
        }
        *self.loads_requested_for.borrow_mut() = latest;
        let mut requests = Vec::new();
        for (id, address) in self.servers_with_models() {
            let net = self.node.net.clone();
            let request = spawn_local(async move { request_report(&*net, address).await });
            requests.push((id, request));
        }
        let mut loads = HashMap::new();
        for (id, request) in requests {
            if let Ok(Some(report)) = request.await {
                loads.insert(id, report.load());
            }
        }
        *self.loads.borrow_mut() = loads;
    }

    /// The target version that was set most recently.
    fn latest_target(&self) -> Option<TargetVersion> {
        let server_table = self.node.server_table.borrow();
        let newest = server_table.versions.newest();
        let (model, latest) = newest.max_by_key(|(_, newest)| newest.named_at)?;
        Some(TargetVersion {
            model: model.to_owned(),
            version: latest.version,
        })
    }

    fn servers_with_models(&self) -> Vec<(String, SocketAddr)> {
        let server_table = self.node.server_table.borrow();
        server_table
            .iter()
            .filter(|(_, s)| shard_of(&s.service) == self.shard && !s.models().is_empty())
            .take(MAX_REPORTS)
            .map(|(_, s)| (s.id.clone(), s.address))
            .collect()
    }

    /// For each service, starts updates of as many servers as may be unavailable at the same time.
    pub(super) fn begin_loads(self: &Rc<Self>, lease: ActiveLease) {
        for target in self.targets() {
            for service in self.services() {
                self.begin_loads_of(lease, &service, &target);
            }
        }
    }

    /// The newest version of each model.
    fn targets(&self) -> Vec<TargetVersion> {
        let server_table = self.node.server_table.borrow();
        let newest = server_table.versions.newest();
        newest
            .map(|(model, newest)| TargetVersion {
                model: model.to_owned(),
                version: newest.version,
            })
            .collect()
    }

    /// Names of the services of this shard.
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

    fn begin_loads_of(self: &Rc<Self>, lease: ActiveLease, service: &str, target: &TargetVersion) {
        let state = self.service_state(service, target);
        let seconds = self.load_seconds.get();
        let step = next_step(state.outdated, state.ready_count, seconds, self.node.now());
        for id in step.announce {
            self.announce(lease, id, target);
        }
        for id in step.begin {
            self.loading.borrow_mut().insert(id.clone());
            let (task, target) = (self.clone(), target.clone());
            spawn_local(async move {
                task.update_server(lease, &id, &target).await;
                task.loading.borrow_mut().remove(&id);
            });
        }
    }

    /// Sends a `LoadSoon` directive about a server, unless one has already been sent.
    fn announce(&self, lease: ActiveLease, id: String, target: &TargetVersion) {
        let key = (id, target.model.clone());
        if self.announced.borrow_mut().insert(key.clone()) {
            let server = ServerModel {
                id: &key.0,
                model: &key.1,
            };
            self.issue_directive(lease, DirectiveKind::LoadSoon, server, target.version);
        }
    }

    fn service_state(&self, service: &str, target: &TargetVersion) -> ServiceState {
        let TargetVersion { model, version } = target;
        let server_table = self.node.server_table.borrow();
        let (loading, announced) = (self.loading.borrow(), self.announced.borrow());
        let loads = self.loads.borrow();
        let announced: HashSet<&str> = announced
            .iter()
            .filter(|(_, announced_model)| announced_model == model)
            .map(|(id, _)| id.as_str())
            .collect();
        let (mut outdated, mut ready_count) = (Vec::new(), 0);
        for (_, server) in server_table.of_service(service) {
            if server.state() != LifecycleState::Ready || server.is_unresponsive() {
                continue;
            }
            ready_count += 1;
            let Some(running_version) = server
                .version_of(model)
                .filter(|running_version| running_version < version)
            else {
                continue;
            };
            let limit = server_table.versions.limit_of(model, running_version);
            outdated.push(OutdatedServer {
                id: server.id.clone(),
                limit: limit.unwrap_or(i64::MAX),
                is_loading: loading.contains(&server.id),
                is_announced: announced.contains(server.id.as_str()),
                load: loads.get(&server.id).copied().unwrap_or(u32::MAX),
                in_flight: server.in_flight(),
            });
        }
        ServiceState {
            outdated,
            ready_count,
        }
    }
}
