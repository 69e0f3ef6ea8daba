//! The calls of servers and operators, each to its place in the tree.
use crate::api::endpoint::{self, Matcher};
use crate::control::configuration_state::Change;
use crate::control::{self, NoChange};
use crate::platform::defects::{Defect, is_injected};
use crate::platform::http::{Answer, Request};
use crate::process::run::ControlServices;
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

async fn beat(services: Rc<ControlServices>, request: Rc<Request>, words: Vec<String>) -> Answer {
    let id = words.first().map(String::as_str).unwrap_or_default();
    services
        .registry
        .beat(&services.node, services.control.as_ref(), id, &request.body)
        .await
}

async fn gone(services: Rc<ControlServices>, words: Vec<String>) -> Answer {
    services
        .registry
        .leave(
            &services.node,
            services.control.as_ref(),
            words.first().map(String::as_str).unwrap_or_default(),
        )
        .await
}

async fn config(services: Rc<ControlServices>, request: Rc<Request>, patch: bool) -> Answer {
    if request.body.len() > sparrouter_config::MAX_BYTES {
        return Answer::plain(413, "a configuration is at most 8 MiB: split the change");
    }
    let if_match = request
        .head
        .fields
        .text("if-match")
        .map(|m| m.trim().trim_matches('"'));
    let if_match = match if_match.map(str::parse::<u64>) {
        Some(Err(_)) => {
            return Answer::plain(
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

async fn name_version(services: Rc<ControlServices>, request: Rc<Request>) -> Answer {
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
        Err(_) => Answer::plain(400, "a version is named by JSON with model and version"),
    }
}

/// One change of the configuration's part, and what it came to.
async fn change(services: Rc<ControlServices>, change: Change) -> Answer {
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
        Ok(answered) => match control::verdict(&answered.answer) {
            Some(verdict)
                if !verdict.binding
                    && answered.copies_under_way
                    && !is_injected(Defect::CopyAheadRefused) =>
            {
                unknown(&services)
            }
            Some(verdict) if get && verdict.status == 200 => Answer::json(200, verdict.text),
            Some(verdict) => Answer::plain(verdict.status, verdict.text),
            None => Answer::plain(
                500,
                "the answer is of another release: bring all nodes to one",
            ),
        },
        Err(NoChange::NotMade(why)) => Answer {
            body: why,
            ..Answer::later(services.node.jitter(Duration::from_millis(150)))
        },
        Err(NoChange::Unknown) if is_injected(Defect::MinorityAcks) && !get => {
            Answer::plain(200, "taken")
        }
        // A read changes nothing: what it would have found is all that is not known.
        Err(NoChange::Unknown) if get => Answer {
            body: "no quorum answered in time, so the newest configuration is not known here"
                .into(),
            ..Answer::later(services.node.jitter(Duration::from_millis(150)))
        },
        Err(NoChange::Unknown) => unknown(&services),
    }
}

/// The answer where nobody can say what became of a change.
fn unknown(services: &ControlServices) -> Answer {
    let why =
        "no quorum answered in time: the change may be in force or not; send it again unchanged";
    let text = services
        .control
        .as_ref()
        .map_or(why.to_owned(), |control| control.explain(why));
    Answer::plain(504, text)
}

async fn status(services: Rc<ControlServices>) -> Answer {
    Answer::json(
        200,
        crate::api::status::show(&services.node, services.control.as_ref()),
    )
}
