//! Health checks of unreachable servers: repeated attempts to connect until one succeeds.
use crate::node::Node;
use sparrouter_routing::ServerHandle;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time between two rounds of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks unreachable servers until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let unreachable = node.server_table.borrow_mut().due_health_checks(now);
        for server in unreachable {
            if let Some(address) = address_of(&node, server) {
                spawn_local(check(node.clone(), server, address));
            }
        }
    }
}

/// Tries to connect to a server once.
async fn check(node: Rc<Node>, server: ServerHandle, address: SocketAddr) {
    let connected = timeout(CONNECT_TIMEOUT, node.net.dial(address)).await;
    if matches!(connected, Ok(Ok(_))) {
        node.server_table.borrow_mut().mark_reachable(server);
    }
}

fn address_of(node: &Node, server: ServerHandle) -> Option<SocketAddr> {
    let server_table = node.server_table.borrow();
    server_table.get(server).map(|s| s.address)
}
