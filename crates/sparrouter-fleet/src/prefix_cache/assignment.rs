//! Selects the event sources that this node follows: the stores and the servers with a prompt cache whose keys this
//! node owns.
use crate::node::Node;
use sparrouter_config::{RouteTable, Service};
use sparrouter_rendezvous::SlotTable;
use sparrouter_routing::Server;
use std::net::SocketAddr;
use std::rc::Rc;

/// A server or store whose cache events are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EventSource {
    /// Hash that identifies the source in the prefix index: of a server's id or a store's address.
    pub(super) name: u64,
    pub(super) address: SocketAddr,
    pub(super) is_store: bool,
}

/// The inputs from which the assigned sources are computed. The sources are computed again only when the inputs change.
#[derive(Clone, Debug, Default)]
pub(super) struct AssignmentInputs {
    owners: Rc<SlotTable>,
    server_changes: u64,
    config_slot: u64,
}

impl AssignmentInputs {
    pub(super) fn current(node: &Node) -> AssignmentInputs {
        AssignmentInputs {
            owners: node.live_nodes().owners().clone(),
            server_changes: node.server_table.borrow().changes(),
            config_slot: node.active_configuration().slot,
        }
    }

    pub(super) fn is_same(&self, other: &AssignmentInputs) -> bool {
        Rc::ptr_eq(&self.owners, &other.owners)
            && self.server_changes == other.server_changes
            && self.config_slot == other.config_slot
    }
}

/// The sources that are currently assigned to this node.
pub(super) fn assigned_sources(node: &Node) -> Vec<EventSource> {
    let config = node.active_configuration();
    let Some(table) = &config.table else {
        return Vec::new();
    };
    let server_table = node.server_table.borrow();
    let servers = table
        .services
        .iter()
        .filter(|service| caches_prompts(service))
        .flat_map(|service| server_table.of_service(&service.name))
        .filter(|(_, server)| !server.is_unresponsive())
        .map(|(_, server)| server_source(server));
    stores(table)
        .chain(servers)
        .filter(|source| node.keeps(source.name))
        .collect()
}

/// Whether a source still exists with the same address and kind. A server is looked up by its hash, without a search of
/// all servers.
pub(super) fn exists(node: &Node, source: &EventSource) -> bool {
    let config = node.active_configuration();
    let Some(table) = &config.table else {
        return false;
    };
    if source.is_store {
        return stores(table).any(|store| store.address == source.address);
    }
    let server_table = node.server_table.borrow();
    server_table.by_id_hash(source.name).is_some_and(|server| {
        !server.is_unresponsive()
            && server_source(server) == *source
            && table.service(&server.service).is_some_and(caches_prompts)
    })
}

/// The stores of a configuration.
fn stores(table: &RouteTable) -> impl Iterator<Item = EventSource> {
    table
        .services
        .iter()
        .filter_map(|service| service.store.as_ref())
        .map(|store| EventSource {
            name: sparrouter_rendezvous::hash(store.address.to_string().as_bytes()),
            address: store.address,
            is_store: true,
        })
}

fn server_source(server: &Server) -> EventSource {
    EventSource {
        name: server.hash(),
        address: server.address,
        is_store: false,
    }
}

/// Whether the servers of a service cache prompts and report cache events.
fn caches_prompts(service: &Service) -> bool {
    service
        .engine
        .as_ref()
        .is_some_and(|engine| engine.max_concurrent > 0)
}
