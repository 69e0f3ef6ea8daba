//! The readiness endpoint: the platform routes clients to ready nodes only.
use crate::api::endpoint::Matcher;
use crate::node::Node;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use std::rc::Rc;

/// The handler of `GET /api/readiness`.
pub fn readiness_tree(node: Rc<Node>) -> Matcher {
    Matcher::default().on("GET", "/api/readiness", move |_, _| {
        let response = if is_ready(&node) {
            Response::plain(200, "ready")
        } else {
            Response::plain(503, "not ready")
        };
        async move { response }
    })
}

fn is_ready(node: &Node) -> bool {
    let is_leaving = node.is_leaving() && rules::leaving_nodes_are_not_ready();
    node.is_confirmed() && !is_leaving && node.active_configuration().table.is_some()
}
