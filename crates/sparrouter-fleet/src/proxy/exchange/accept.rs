//! First phase of an exchange: determines route, tenant, deadline and prompt of a request, or rejects it.
use super::{Exchange, IncomingRequest, api_key};
use crate::node::Node;
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::platform::request::Request;
use crate::platform::upstream::Pool;
use sparrouter_config::{Route, RouteTable, Tenant};
use sparrouter_routing::Prompt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time-out of a request if neither the client nor the route sets one, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Retry delay for a client that was rejected because this node is shutting down. It is short since other nodes have
/// capacity.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(40);

impl<'a> Exchange<'a> {
    /// Creates the exchange of a request that is accepted.
    ///
    /// # Errors
    ///
    /// Returns the response to a rejected request.
    pub(super) fn accept(
        node: &'a Rc<Node>,
        pool: &'a Pool,
        table: &'a RouteTable,
        incoming: &IncomingRequest<'a>,
    ) -> Result<Exchange<'a>, Response> {
        let IncomingRequest {
            request,
            received_at,
            keep_alive,
        } = *incoming;
        let fields = &request.head.fields;
        let Some(route) = table.route(fields.text("host").unwrap_or_default(), request.path())
        else {
            return Err(Response::plain(404, "no route has this host and path"));
        };
        let tenant = identify_tenant(node, table, route, request)?;
        let client_timeout_ms = client_timeout_ms(request);
        let deadline = received_at + timeout(route, client_timeout_ms);
        check_shutdown(node, route, deadline)?;
        let model = fields.text("sparrouter-model").map(str::to_owned);
        let prompt = read_prompt(request);
        let is_long_generation = observe_output(node, &prompt);
        let key = selection_key(request, &prompt, model.as_deref(), tenant);
        let service = route.select_service(key).to_owned();
        node.record_request(&service);
        Ok(Exchange {
            node,
            pool,
            request,
            keep_alive,
            route,
            table,
            tenant,
            service,
            model,
            prompt,
            is_long_generation,
            received_at,
            deadline,
            client_timeout_ms,
            key,
            attempted: Vec::new(),
            sent_count: 0,
            failed: Vec::new(),
            is_proven_not_run: true,
            permit: None,
            is_under_permit: false,
        })
    }
}

/// The tenant whose API key the request carries; `None` if the request carries no known key and doesn't need one.
///
/// # Errors
///
/// Returns the response if the key is unknown, or may no longer be valid.
fn identify_tenant<'a>(
    node: &Node,
    table: &'a RouteTable,
    route: &Route,
    request: &Request,
) -> Result<Option<&'a Tenant>, Response> {
    let key = request.head.fields.text("sparrouter-key");
    if key.is_some() && !api_key::has_lease(node) {
        return Err(api_key::reject_unconfirmed(node));
    }
    let tenant = key.and_then(|key| table.tenant_of(key));
    if tenant.is_none() && !table.tenants.is_empty() && !route.public_access {
        let text = "Sparrouter-Key is missing or not known";
        return Err(Response::plain(401, text));
    }
    Ok(tenant)
}

/// How long the client waits for the response according to its `Sparrouter-Deadline-Ms`, in milliseconds.
fn client_timeout_ms(request: &Request) -> Option<u64> {
    let text = request.head.fields.text("sparrouter-deadline-ms")?;
    text.parse().ok()
}

/// Time-out of a request: the shorter of the client's and the route's.
fn timeout(route: &Route, client_timeout_ms: Option<u64>) -> Duration {
    let route_timeout_ms = if route.timeout_ms == 0 {
        DEFAULT_TIMEOUT_MS
    } else {
        route.timeout_ms
    };
    let client_timeout_ms = client_timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    Duration::from_millis(client_timeout_ms.min(route_timeout_ms))
}

/// Checks that a request which has just arrived can complete before the process exits, if a graceful shutdown has
/// begun.
///
/// # Errors
///
/// Returns a response that asks the client to retry at another node.
fn check_shutdown(node: &Node, route: &Route, deadline: Instant) -> Result<(), Response> {
    let Some(shutdown) = node.shutdown.get() else {
        return Ok(());
    };
    let longest = node.traffic.durations.borrow().longest(&route.name);
    let can_complete = shutdown.admits(Instant::now(), deadline, longest);
    if can_complete || !rules::shutdown_limits_admission() {
        return Ok(());
    }
    Err(Response::retry_later(node.jitter(RETRY_ELSEWHERE)))
}

/// Records the expected length of a response; returns whether it is long.
fn observe_output(node: &Node, prompt: &Prompt) -> bool {
    let mut typical_output = node.traffic.typical_output.borrow_mut();
    typical_output.observe(prompt.tokens_out)
}

fn read_prompt(request: &Request) -> Prompt {
    let fields = &request.head.fields;
    let prefix = fields.text("sparrouter-prompt-prefix");
    Prompt::parse(prefix, fields.text("sparrouter-token-usage"))
}

/// The key by which the request's server is selected: the key of the prompt's prefix, so that requests with the same
/// prefix go to the same server, or else the hash of the attempt id.
fn selection_key(
    request: &Request,
    prompt: &Prompt,
    model: Option<&str>,
    tenant: Option<&Tenant>,
) -> u64 {
    let isolated = tenant.filter(|t| t.isolated);
    let isolated_name = isolated.map(|t| t.name.as_str()).unwrap_or_default();
    let group = format!("{}/{isolated_name}", model.unwrap_or_default());
    prompt.key(&group).unwrap_or_else(|| {
        let attempt_id = request.head.fields.get("sparrouter-attempt-id");
        sparrouter_rendezvous::hash(&attempt_id.cloned().unwrap_or_default())
    })
}
