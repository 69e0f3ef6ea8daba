//! What each subcommand asks, and what it prints: results on standard output, remarks on standard error.
use crate::boot::Boot;
use crate::client::call::Call;
use crate::client::error::ClientError;
use crate::client::fleet::Fleet;
use crate::client::options::Ask;
use crate::client::page;
use crate::net::SharedNet;
use crate::status::Status;
use miniserde::{Serialize, json};
use sparrouter_config::{Document, Method, Refusal, Table};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Where a subcommand writes.
pub struct Out<'a> {
    pub result: &'a mut dyn Write,
    pub remark: &'a mut dyn Write,
}

impl Out<'_> {
    fn say(&mut self, text: &str) -> Result<(), ClientError> {
        writeln!(self.result, "{text}").map_err(ClientError::Output)
    }
    fn remark(&mut self, text: &str) {
        // A remark that nobody can read is no reason to stop.
        let _ = writeln!(self.remark, "sparrouter: {text}");
    }
}

/// Carries out what is asked of the fleet. Without addresses the seeds of the settings file are asked.
pub async fn run(
    ask: &Ask,
    at: Vec<SocketAddr>,
    patience: Duration,
    net: SharedNet,
    out: &mut Out<'_>,
) -> Result<(), ClientError> {
    let at = if at.is_empty() { seeds()? } else { at };
    let fleet = Fleet::new(net, at, patience)?;
    match ask {
        Ask::Get => {
            let (_, reply) = fleet.ask(&Call::get("/api/config")).await?;
            out.say(&reply.body)
        }
        Ask::Put { file, if_match } => change(&fleet, Method::Put, file, *if_match, out).await,
        Ask::Patch { file, if_match } => change(&fleet, Method::Patch, file, *if_match, out).await,
        Ask::NameVersion { model, version } => name_version(&fleet, model, *version, out).await,
        Ask::Status { all, json } => status(&fleet, *all, *json, out).await,
    }
}

fn seeds() -> Result<Vec<SocketAddr>, ClientError> {
    match Boot::load() {
        Ok(boot) => {
            let mut all: Vec<SocketAddr> =
                boot.listen.control.into_iter().chain(boot.seeds).collect();
            all.dedup();
            Ok(all)
        }
        Err(crate::boot::BootError::NoVariable) => Err(ClientError::NoAddress),
        Err(why) => Err(why.into()),
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ClientError> {
    std::fs::read(path).map_err(|e| ClientError::File {
        path: path.display().to_string(),
        why: e.to_string(),
    })
}

/// Checked here first, as far as that can be done without the one in force; the fleet has the last word.
async fn change(
    fleet: &Fleet,
    method: Method,
    file: &Path,
    if_match: Option<u64>,
    out: &mut Out<'_>,
) -> Result<(), ClientError> {
    let body = read(file)?;
    let invalid = |refusal| ClientError::Invalid {
        path: file.display().to_string(),
        refusal,
    };
    let number = match if_match {
        Some(number) => {
            if method == Method::Put {
                // On top of nothing: what is wrong with it in itself.
                sparrouter_config::change(method, &body, Some(0), None).map_err(invalid)?;
            }
            number
        }
        None => {
            let current = current(fleet).await?;
            let number = current.as_ref().map_or(0, |d| d.version);
            out.remark(&match number {
                0 => "no configuration is in force yet: this is the first".to_owned(),
                number => format!("builds on version {number}, which is in force now"),
            });
            sparrouter_config::change(method, &body, Some(number), current.as_ref())
                .map_err(invalid)?;
            number
        }
    };
    let method = if method == Method::Put {
        "PUT"
    } else {
        "PATCH"
    };
    let call = Call {
        method,
        path: "/api/config".into(),
        if_match: Some(number),
        body: Some(body),
    };
    let (from, reply) = fleet.ask(&call).await?;
    out.say(&format!(
        "{} ({from}, on top of version {number})",
        reply.body.trim()
    ))
}

async fn current(fleet: &Fleet) -> Result<Option<Document>, ClientError> {
    match fleet.ask(&Call::get("/api/config")).await {
        Ok((address, reply)) => match document(reply.body.as_bytes()) {
            Ok(document) => Ok(Some(document)),
            Err(_) => Err(ClientError::Misread { address }),
        },
        Err(ClientError::Refused { status: 404, .. }) => Ok(None),
        Err(why) => Err(why),
    }
}

/// A configuration as it was read back.
fn document(body: &[u8]) -> Result<Document, Refusal> {
    sparrouter_config::change(Method::Put, body, Some(0), None)
}

/// Checks a file as the fleet would: a whole configuration, or a patch on top of `against`.
pub fn check(file: &Path, against: Option<&Path>, out: &mut Out<'_>) -> Result<(), ClientError> {
    let invalid = |path: &Path| {
        let path = path.display().to_string();
        move |refusal| ClientError::Invalid { path, refusal }
    };
    let current = match against {
        Some(against) => Some(document(&read(against)?).map_err(invalid(against))?),
        None => None,
    };
    let body = read(file)?;
    let method = if is_patch(&body) {
        Method::Patch
    } else {
        Method::Put
    };
    if method == Method::Patch && current.is_none() {
        return Err(ClientError::Against {
            path: file.display().to_string(),
        });
    }
    let number = current.as_ref().map_or(0, |d| d.version);
    let next = sparrouter_config::change(method, &body, Some(number), current.as_ref())
        .map_err(invalid(file))?;
    let table = Table::read(&next).map_err(invalid(file))?;
    out.say(&format!(
        "{}: may be sent; version {}, {} routes, {} services, {} tenants, {} bytes",
        file.display(),
        table.version,
        table.routes.len(),
        table.services.len(),
        table.tenants.len(),
        next.text.len(),
    ))
}

fn is_patch(body: &[u8]) -> bool {
    let tree = std::str::from_utf8(body)
        .ok()
        .and_then(|t| json::from_str::<json::Value>(t).ok());
    matches!(tree, Some(json::Value::Object(o))
        if o.contains_key("upsert_items") || o.contains_key("remove_names"))
}

#[derive(Serialize)]
struct Named<'a> {
    model: &'a str,
    version: u64,
}

async fn name_version(
    fleet: &Fleet,
    model: &str,
    version: u64,
    out: &mut Out<'_>,
) -> Result<(), ClientError> {
    if version == 0 {
        return Err(ClientError::Word {
            what: "VERSION 0".into(),
            wanted: "1 or more",
        });
    }
    if model.is_empty() {
        return Err(ClientError::Word {
            what: "an empty MODEL".into(),
            wanted: "a model's name",
        });
    }
    let body = json::to_string(&Named { model, version }).into_bytes();
    let call = Call {
        method: "POST",
        path: "/api/version-put".into(),
        if_match: None,
        body: Some(body),
    };
    let (from, _) = fleet.ask(&call).await?;
    out.say(&format!(
        "{model} is to run version {version} ({from}); `sparrouter status` shows servers loading it"
    ))
}

async fn status(
    fleet: &Fleet,
    all: bool,
    as_json: bool,
    out: &mut Out<'_>,
) -> Result<(), ClientError> {
    let call = Call::get("/api/status");
    let read = |address, body: &str| {
        json::from_str::<Status>(body).map_err(|_| ClientError::Misread { address })
    };
    let (from, reply) = fleet.ask(&call).await?;
    let first = read(from, &reply.body)?;
    let mut heard = vec![(from, first.node.clone(), reply.body, first)];
    let mut silent = Vec::new();
    if all {
        let others: Vec<(String, SocketAddr)> = heard[0]
            .3
            .nodes
            .iter()
            .filter_map(|n| Some((n.name.clone(), n.control.parse().ok()?)))
            .filter(|(name, address)| *address != from && *name != heard[0].1)
            .collect();
        for (name, address) in others {
            match fleet.only(address, Duration::from_secs(2)).ask(&call).await {
                Ok((_, reply)) => {
                    let one = read(address, &reply.body)?;
                    heard.push((address, name, reply.body, one));
                }
                Err(why) => silent.push((name, why)),
            }
        }
    }
    for (_, _, body, _) in heard.iter().filter(|_| as_json) {
        out.say(body)?;
    }
    if !as_json {
        let pages: Vec<(SocketAddr, &Status)> = heard.iter().map(|h| (h.0, &h.3)).collect();
        out.say(page::of(&pages).trim_end())?;
    }
    for (name, why) in silent {
        out.remark(&format!("{name}: {why}"));
    }
    Ok(())
}
