//! The first configuration of a deployment, and requests on its routes.

use crate::client::ClientRequest;
use crate::cluster::ZONES;
use crate::configuration::{Configuration, Route, RouteKind, Tenant};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Host of all routes.
pub const HOST: &str = "rota.example";
/// API key of the first tenant.
pub const KEY: &str = "key-of-kaje";

/// Address of the KV store.
pub fn kv_store_address() -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 0, 0, 9]), 8680)
}

/// Four routes, one of each kind, over one service; two tenants, of which one is isolated.
pub fn initial_configuration() -> Configuration {
    let routes = vec![
        Route::new("idem", RouteKind::Idempotent, "models"),
        Route::new("once", RouteKind::NonIdempotent, "models"),
        Route::new("stream", RouteKind::Streaming, "models"),
        Route::new("resume", RouteKind::Resumable, "models"),
    ];
    let tenant = |name: &str, key: &str, isolated| Tenant {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        isolated,
        quota: None,
    };
    Configuration {
        version: 1,
        routes,
        services: vec!["models".to_owned(), "others".to_owned()],
        kv_store: Some(kv_store_address()),
        tenants: vec![
            tenant("kaje", KEY, false),
            tenant("mela", "key-of-mela", true),
        ],
    }
}

/// A request on the route of this kind in [`initial_configuration`]. `response_spec`: what the server responds, see
/// [`crate::server::ResponseSpec`].
pub fn request(kind: RouteKind, response_spec: &str) -> ClientRequest {
    let route = match kind {
        RouteKind::Idempotent => "idem",
        RouteKind::NonIdempotent => "once",
        RouteKind::Streaming => "stream",
        RouteKind::Resumable => "resume",
    };
    ClientRequest {
        host: HOST.to_owned(),
        path: format!("/{route}/{response_spec}"),
        kind,
        key: KEY.to_owned(),
        zone: ZONES[0].to_owned(),
        deadline: Duration::from_secs(6),
        retries: 1,
        prompt_id: "5c1e07a2".to_owned(),
        shared_tokens: 800,
        disconnects_after: None,
    }
}
