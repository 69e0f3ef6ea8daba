//! The HTTP endpoints for servers and operators.
use crate::api::ControlServices;
use crate::api::endpoint::{Matcher, PendingResponse};
use crate::control::configuration_state::{Change, Verdict};
use crate::control::{self, ChangeError};
use crate::platform::defects::rules;
use crate::platform::http::Response;
use crate::platform::query;
use crate::platform::request::Request;
use sparrouter_codec::Blob;
use std::rc::Rc;
use std::time::Duration;

/// Maximum length of the body of a configuration change: the maximum length of a configuration, with a margin, so that a
/// longer one gets a response which says what to do.
const MAX_CHANGE_BYTES: usize = 9 << 20;
/// Timeout of a configuration change; shorter than the second for which an operator's client waits for the response.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Retry-After of a response to a change that was not applied.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// A request handler. Its arguments are the services of the process, the request, and the path segments that wildcards
/// matched.
type Handler = fn(Rc<ControlServices>, Rc<Request>, Vec<String>) -> PendingResponse;

/// The tree of handlers for servers and operators.
pub fn tree(services: &Rc<ControlServices>) -> Matcher {
    let with = |handler: Handler| {
        let services = services.clone();
        move |request, segments| handler(services.clone(), request, segments)
    };
    Matcher::default()
        .on(
            "PUT",
            "/api/instances/*",
            with(|s, r, segments| Box::pin(handle_heartbeat(s, r, segments))),
        )
        .on(
            "DELETE",
            "/api/instances/*",
            with(|s, _, segments| Box::pin(handle_leaving_server(s, segments))),
        )
        .on_body(
            "PUT",
            "/api/config",
            MAX_CHANGE_BYTES,
            with(|s, r, _| Box::pin(replace_configuration(s, r))),
        )
        .on_body(
            "PATCH",
            "/api/config",
            MAX_CHANGE_BYTES,
            with(|s, r, _| Box::pin(patch_configuration(s, r))),
        )
        .on(
            "GET",
            "/api/config",
            with(|s, _, _| Box::pin(read_configuration(s))),
        )
        .on(
            "POST",
            "/api/version-put",
            with(|s, r, _| Box::pin(name_version(s, r))),
        )
        .on(
            "GET",
            "/api/status",
            with(|s, r, _| Box::pin(show_status(s, r))),
        )
}

async fn handle_heartbeat(
    services: Rc<ControlServices>,
    request: Rc<Request>,
    segments: Vec<String>,
) -> Response {
    let id = segments.first().map(String::as_str).unwrap_or_default();
    let (node, control) = (&services.node, services.control.as_ref());
    let registry = &services.registry;
    registry
        .handle_heartbeat(node, control, id, &request.body.contiguous())
        .await
}

async fn handle_leaving_server(services: Rc<ControlServices>, segments: Vec<String>) -> Response {
    let id = segments.first().map(String::as_str).unwrap_or_default();
    let (node, control) = (&services.node, services.control.as_ref());
    services.registry.leave(node, control, id).await
}

/// A configuration or patch as submitted: the version that it builds on, and its text.
struct Submission {
    if_match: Option<u64>,
    body: Blob,
}

impl Submission {
    /// Reads a submission from a request.
    ///
    /// # Errors
    ///
    /// The 4xx response to a request that is too large or has an invalid `If-Match`.
    fn read(request: &Request) -> Result<Submission, Response> {
        if request.body.len() > sparrouter_config::MAX_BYTES {
            let text = "a configuration or patch may have at most 8 MiB: split the change";
            return Err(Response::plain(413, text));
        }
        let field = request.head.fields.text("if-match");
        let if_match = field
            .map(|version| version.trim().trim_matches('"').parse())
            .transpose()
            .map_err(|_| {
                let text = "If-Match must be the number of the version that the change builds on";
                Response::plain(400, text)
            })?;
        let body = Blob(request.body.contiguous().into_owned());
        Ok(Submission { if_match, body })
    }
}

async fn replace_configuration(services: Rc<ControlServices>, request: Rc<Request>) -> Response {
    let submission = Submission::read(&request);
    // The submission has its own copy of the body.
    drop(request);
    match submission {
        Ok(Submission { if_match, body }) => {
            submit(&services, &Change::Put { if_match, body }).await
        }
        Err(refusal) => refusal,
    }
}

async fn patch_configuration(services: Rc<ControlServices>, request: Rc<Request>) -> Response {
    let submission = Submission::read(&request);
    // The submission has its own copy of the body.
    drop(request);
    match submission {
        Ok(Submission { if_match, body }) => {
            submit(&services, &Change::Patch { if_match, body }).await
        }
        Err(refusal) => refusal,
    }
}

#[derive(miniserde::Deserialize)]
struct NamedVersionBody {
    model: String,
    version: u64,
}

async fn name_version(services: Rc<ControlServices>, request: Rc<Request>) -> Response {
    let body = request.body.contiguous();
    let text = std::str::from_utf8(&body).unwrap_or_default();
    let Ok(body) = miniserde::json::from_str::<NamedVersionBody>(text) else {
        let text = "the body must be a JSON object with model and version";
        return Response::plain(400, text);
    };
    let change = Change::Name {
        model: body.model,
        version: body.version,
    };
    submit(&services, &change).await
}

/// Submits a change of the configuration; the response reports whether it was applied.
async fn submit(services: &ControlServices, change: &Change) -> Response {
    match change_configuration(services, change).await {
        Ok(answer) => match control::decode_verdict(&answer) {
            Some(verdict) if !verdict.binding && rules::early_copies_stay_unknown() => {
                Response::plain(504, early_order(&verdict))
            }
            Some(verdict) => Response::plain(verdict.status, verdict.text),
            None => other_release(),
        },
        Err(ChangeError::Unknown) if !rules::acks_need_quorum() => Response::plain(200, "taken"),
        Err(ChangeError::Unknown) => unknown_outcome(services),
        Err(not_applied) => retry_later(services, not_applied.to_string()),
    }
}

/// Reads the configuration in force at the moment of the call.
async fn read_configuration(services: Rc<ControlServices>) -> Response {
    match change_configuration(&services, &Change::Get).await {
        Ok(answer) => match control::decode_verdict(&answer) {
            Some(verdict) if verdict.status == 200 => Response::json(200, verdict.text),
            Some(verdict) => Response::plain(verdict.status, verdict.text),
            None => other_release(),
        },
        // A read is idempotent, so the caller may retry it.
        Err(ChangeError::Unknown) => retry_later(
            &services,
            "no quorum answered in time, so the newest configuration is not known here".to_owned(),
        ),
        Err(not_applied) => retry_later(&services, not_applied.to_string()),
    }
}

async fn change_configuration(
    services: &ControlServices,
    change: &Change,
) -> Result<Vec<u8>, ChangeError> {
    control::change(
        &services.node,
        services.control.as_ref(),
        control::CONFIG,
        control::encode(change),
        CHANGE_TIMEOUT,
    )
    .await
}

/// Why an order has no clear answer whose base has not been in force: it is not refused, since a copy of it, which the
/// operator sent to another node, may find that base in force later.
fn early_order(verdict: &Verdict) -> String {
    format!(
        "{}; if that version is on its way, send the same change again, else read the configuration and build on it",
        verdict.text
    )
}

/// The response if the replica group's answer cannot be decoded.
fn other_release() -> Response {
    let text = "the answer has the format of another release: bring all nodes to one";
    Response::plain(500, text)
}

/// The response to a call that had no effect and may be retried.
fn retry_later(services: &ControlServices, reason: String) -> Response {
    Response {
        body: reason,
        ..Response::retry_later(services.node.jitter(RETRY_AFTER))
    }
}

/// The response if it is unknown whether a change was applied.
fn unknown_outcome(services: &ControlServices) -> Response {
    let reason = ChangeError::Unknown.to_string();
    let text = match &services.control {
        Some(control) => control.with_disk_failure(&reason),
        None => reason,
    };
    Response::plain(504, text)
}

async fn show_status(services: Rc<ControlServices>, request: Rc<Request>) -> Response {
    let tenant = match request.query("tenant").map(query::decode) {
        Some(None) => {
            let text = "tenant is not UTF-8 in percent-encoding: encode its name";
            return Response::plain(400, text);
        }
        Some(tenant) => tenant,
        None => None,
    };
    let control = services.control.as_deref();
    let status = crate::api::status::show(&services.node, control, tenant.as_deref());
    Response::json(200, status)
}
