//! The calls of servers and operators, each to its place in the tree.
use crate::api::ControlServices;
use crate::api::endpoint::{self, Matcher};
use crate::control::configuration_state::Change;
use crate::control::{self, ChangeError};
use crate::platform::defects::rules;
use crate::platform::http::{Request, Response};
use sparrouter_codec::Blob;
use std::rc::Rc;
use std::time::Duration;

/// An operator's call waits a second for an answer; a change has this much of it.
const PATIENCE: Duration = Duration::from_millis(900);

/// The calls of servers and operators.
pub fn tree(services: &Rc<ControlServices>) -> Matcher {
    let with = |f: fn(Rc<ControlServices>, Rc<Request>, Vec<String>) -> endpoint::Answering| {
        let services = services.clone();
        move |request, words| f(services.clone(), request, words)
    };
    Matcher::default()
        .on(
            "PUT",
            "/api/instances/*",
            with(|h, r, w| Box::pin(beat(h, r, w))),
        )
        .on(
            "DELETE",
            "/api/instances/*",
            with(|h, _, w| Box::pin(gone(h, w))),
        )
        .on(
            "PUT",
            "/api/config",
            with(|h, r, _| Box::pin(config(h, r, false))),
        )
        .on(
            "PATCH",
            "/api/config",
            with(|h, r, _| Box::pin(config(h, r, true))),
        )
        .on(
            "GET",
            "/api/config",
            with(|h, _, _| Box::pin(change(h, Change::Get))),
        )
        .on(
            "POST",
            "/api/version-put",
            with(|h, r, _| Box::pin(name_version(h, r))),
        )
        .on("GET", "/api/status", with(|h, _, _| Box::pin(status(h))))
}

async fn beat(services: Rc<ControlServices>, request: Rc<Request>, words: Vec<String>) -> Response {
    let id = words.first().map(String::as_str).unwrap_or_default();
    services
        .registry
        .handle_heartbeat(&services.node, services.control.as_ref(), id, &request.body)
        .await
}

async fn gone(services: Rc<ControlServices>, words: Vec<String>) -> Response {
    services
        .registry
        .leave(
            &services.node,
            services.control.as_ref(),
            words.first().map(String::as_str).unwrap_or_default(),
        )
        .await
}

async fn config(services: Rc<ControlServices>, request: Rc<Request>, patch: bool) -> Response {
    if request.body.len() > sparrouter_config::MAX_BYTES {
        return Response::plain(413, "a configuration is at most 8 MiB: split the change");
    }
    let if_match = request
        .head
        .fields
        .text("if-match")
        .map(|m| m.trim().trim_matches('"'));
    let if_match = match if_match.map(str::parse::<u64>) {
        Some(Err(_)) => {
            return Response::plain(
                400,
                "If-Match is the number of the version that this builds on",
            );
        }
        Some(Ok(number)) => Some(number),
        None => None,
    };
    let body = Blob(request.body.to_vec());
    let made = if patch {
        Change::Patch { if_match, body }
    } else {
        Change::Put { if_match, body }
    };
    change(services, made).await
}

#[derive(miniserde::Deserialize)]
struct NameVersion {
    model: String,
    version: u64,
}

async fn name_version(services: Rc<ControlServices>, request: Rc<Request>) -> Response {
    let text = std::str::from_utf8(&request.body).unwrap_or_default();
    match miniserde::json::from_str::<NameVersion>(text) {
        Ok(named) => {
            change(
                services,
                Change::Name {
                    model: named.model,
                    version: named.version,
                },
            )
            .await
        }
        Err(_) => Response::plain(400, "a version is named by JSON with model and version"),
    }
}

/// One change of the configuration's part, and what it came to.
async fn change(services: Rc<ControlServices>, change: Change) -> Response {
    let get = matches!(change, Change::Get);
    let bytes = control::encode(&change);
    match control::change(
        &services.node,
        services.control.as_ref(),
        control::CONFIG,
        bytes,
        PATIENCE,
    )
    .await
    {
        Ok(answered) => match control::decode_verdict(&answered.answer) {
            Some(verdict)
                if !verdict.binding
                    && answered.has_copies_in_flight
                    && rules::early_copies_stay_unknown() =>
            {
                unknown(&services)
            }
            Some(verdict) if get && verdict.status == 200 => Response::json(200, verdict.text),
            Some(verdict) => Response::plain(verdict.status, verdict.text),
            None => Response::plain(
                500,
                "the answer is of another release: bring all nodes to one",
            ),
        },
        Err(ChangeError::Unknown) if !rules::acks_need_quorum() && !get => {
            Response::plain(200, "taken")
        }
        // A read changes nothing: what it would have found is all that is not known.
        Err(ChangeError::Unknown) if get => Response {
            body: "no quorum answered in time, so the newest configuration is not known here"
                .into(),
            ..Response::retry_later(services.node.jitter(Duration::from_millis(150)))
        },
        Err(ChangeError::Unknown) => unknown(&services),
        Err(not_applied) => Response {
            body: not_applied.to_string(),
            ..Response::retry_later(services.node.jitter(Duration::from_millis(150)))
        },
    }
}

/// The answer where nobody can say what became of a change.
fn unknown(services: &ControlServices) -> Response {
    let reason = ChangeError::Unknown.to_string();
    let text = match &services.control {
        Some(control) => control.with_disk_failure(&reason),
        None => reason,
    };
    Response::plain(504, text)
}

async fn status(services: Rc<ControlServices>) -> Response {
    Response::json(
        200,
        crate::api::status::show(&services.node, services.control.as_ref()),
    )
}
