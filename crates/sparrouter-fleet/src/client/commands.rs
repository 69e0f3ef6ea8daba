//! The subcommands of the operators' client. They print results on standard output and diagnostics on standard error.
use crate::api::status::Status;
use crate::client::call::Call;
use crate::client::error::ClientError;
use crate::client::fleet::Fleet;
use crate::client::options::FleetCommand;
use crate::client::page;
use crate::client::quota::{NodeAnswers, Overview};
use crate::platform::net::SharedNet;
use crate::platform::query;
use crate::settings::{ProcessSettings, SettingsError};
use miniserde::{Serialize, json};
use sparrouter_config::{ConfigError, Document, Method, RouteTable};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The outputs of a subcommand.
pub struct Output<'a> {
    /// Output for the result.
    pub result: &'a mut dyn Write,
    /// Output for diagnostics.
    pub diagnostics: &'a mut dyn Write,
}

impl Output<'_> {
    /// Prints a line of the result.
    fn print(&mut self, text: &str) -> Result<(), ClientError> {
        writeln!(self.result, "{text}").map_err(ClientError::Output)
    }
    /// Prints a diagnostic line.
    fn diagnose(&mut self, text: &str) {
        // A diagnostic that cannot be written must not abort the command.
        let _ = writeln!(self.diagnostics, "sparrouter: {text}");
    }
}

/// Executes a command that calls the fleet. If `addresses` is empty, the nodes in the settings file are called.
///
/// # Errors
///
/// A [`ClientError`].
pub async fn run(
    command: &FleetCommand,
    addresses: Vec<SocketAddr>,
    retry_timeout: Duration,
    net: SharedNet,
    out: &mut Output<'_>,
) -> Result<(), ClientError> {
    let addresses = if addresses.is_empty() {
        addresses_of_settings()?
    } else {
        addresses
    };
    let fleet = Fleet::new(net, addresses, retry_timeout)?;
    match command {
        FleetCommand::Get => {
            let (_, reply) = fleet.submit(&Call::get("/api/config")).await?;
            out.print(&reply.body)
        }
        FleetCommand::Put { file, if_match } => {
            change(&fleet, Method::Put, file, *if_match, out).await
        }
        FleetCommand::Patch { file, if_match } => {
            change(&fleet, Method::Patch, file, *if_match, out).await
        }
        FleetCommand::NameVersion { model, version } => {
            name_version(&fleet, model, *version, out).await
        }
        FleetCommand::Status { all, json } => status(&fleet, *all, *json, out).await,
        FleetCommand::Quota { tenant, json } => quota(&fleet, tenant, *json, out).await,
    }
}

/// The addresses in the settings file: the control address of this machine, if it has one, and the seeds.
fn addresses_of_settings() -> Result<Vec<SocketAddr>, ClientError> {
    match ProcessSettings::load() {
        Ok(settings) => {
            let own = settings.listen.control.into_iter();
            let mut addresses: Vec<SocketAddr> = own.chain(settings.seeds).collect();
            addresses.dedup();
            Ok(addresses)
        }
        Err(SettingsError::NoVariable) => Err(ClientError::NoAddress),
        Err(error) => Err(error.into()),
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ClientError> {
    std::fs::read(path).map_err(|e| ClientError::File {
        path: path.display().to_string(),
        reason: e.to_string(),
    })
}

/// Sends a PUT or PATCH of the configuration. The change is validated locally first, as far as that is possible without
/// the configuration in force.
async fn change(
    fleet: &Fleet,
    method: Method,
    file: &Path,
    if_match: Option<u64>,
    out: &mut Output<'_>,
) -> Result<(), ClientError> {
    let body = read(file)?;
    let invalid = |refusal| ClientError::Invalid {
        path: file.display().to_string(),
        refusal,
    };
    let base = match if_match {
        Some(version) => {
            if method == Method::Put {
                // Validated as a first configuration, since the one in force is not known here.
                sparrouter_config::change(method, &body, Some(0), None).map_err(invalid)?;
            }
            version
        }
        None => match base_in_force(fleet, method, &body, out).await? {
            Base::Version(version) => version,
            Base::AlreadyInForce(version) => {
                return out.print(&format!(
                    "version {version} is in force already, with this change: nothing was sent"
                ));
            }
            Base::Refused(refusal) => return Err(invalid(refusal)),
        },
    };
    let method = if method == Method::Put {
        "PUT"
    } else {
        "PATCH"
    };
    let call = Call {
        method,
        path: "/api/config".into(),
        if_match: Some(base),
        body: Some(body),
    };
    let (from, reply) = fleet.submit(&call).await?;
    out.print(&format!(
        "{} ({from}, on top of version {base})",
        reply.body.trim()
    ))
}

/// What a change without `--if-match` builds on.
enum Base {
    /// The version in force; 0 before the first configuration.
    Version(u64),
    /// The configuration in force, of this version, has the change: it was taken before, and its answer was lost.
    AlreadyInForce(u64),
    /// The change is not valid on top of the configuration in force.
    Refused(ConfigError),
}

/// Reads the configuration in force and validates a change on top of it.
async fn base_in_force(
    fleet: &Fleet,
    method: Method,
    body: &[u8],
    out: &mut Output<'_>,
) -> Result<Base, ClientError> {
    let current = current(fleet).await?;
    if let Some(current) = &current
        && sparrouter_config::is_in_force(method, body, current).unwrap_or(false)
    {
        return Ok(Base::AlreadyInForce(current.version));
    }
    let version = current.as_ref().map_or(0, |d| d.version);
    out.diagnose(&match version {
        0 => "no configuration is in force yet: this is the first".to_owned(),
        version => format!("builds on version {version}, which is in force now"),
    });
    let valid = sparrouter_config::change(method, body, Some(version), current.as_ref());
    Ok(match valid {
        Ok(_) => Base::Version(version),
        Err(refusal) => Base::Refused(refusal),
    })
}

/// Reads the configuration in force; `None` before the first configuration.
async fn current(fleet: &Fleet) -> Result<Option<Document>, ClientError> {
    match fleet.submit(&Call::get("/api/config")).await {
        Ok((address, reply)) => match document(reply.body.as_bytes()) {
            Ok(document) => Ok(Some(document)),
            Err(_) => Err(ClientError::UnreadableAnswer { address }),
        },
        Err(ClientError::Refused { status: 404, .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Parses a complete configuration as the fleet returns it.
fn document(body: &[u8]) -> Result<Document, ConfigError> {
    sparrouter_config::change(Method::Put, body, Some(0), None)
}

/// Validates a file as the fleet would: a complete configuration, or a patch of the configuration in `against`.
///
/// # Errors
///
/// A [`ClientError`] that describes the first problem.
pub fn check(file: &Path, against: Option<&Path>, out: &mut Output<'_>) -> Result<(), ClientError> {
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
        return Err(ClientError::MissingBase {
            path: file.display().to_string(),
        });
    }
    let base = current.as_ref().map_or(0, |d| d.version);
    let next = sparrouter_config::change(method, &body, Some(base), current.as_ref())
        .map_err(invalid(file))?;
    let table = RouteTable::read(&next).map_err(invalid(file))?;
    out.print(&format!(
        "{}: may be sent; version {}, {} routes, {} services, {} tenants, {} bytes",
        file.display(),
        table.version,
        table.routes.len(),
        table.services.len(),
        table.tenants.len(),
        next.text.len(),
    ))
}

/// Whether a body is a patch, by the names of its fields.
fn is_patch(body: &[u8]) -> bool {
    let tree = std::str::from_utf8(body)
        .ok()
        .and_then(|t| json::from_str::<json::Value>(t).ok());
    matches!(tree, Some(json::Value::Object(o))
        if o.contains_key("upsert_items") || o.contains_key("remove_names"))
}

/// JSON body of the call that names a version of weights.
#[derive(Serialize)]
struct NameVersion<'a> {
    model: &'a str,
    version: u64,
}

async fn name_version(
    fleet: &Fleet,
    model: &str,
    version: u64,
    out: &mut Output<'_>,
) -> Result<(), ClientError> {
    if version == 0 {
        return Err(ClientError::InvalidArgument {
            argument: "VERSION 0".into(),
            expected: "1 or more",
        });
    }
    if model.is_empty() {
        return Err(ClientError::InvalidArgument {
            argument: "an empty MODEL".into(),
            expected: "a model's name",
        });
    }
    let body = json::to_string(&NameVersion { model, version }).into_bytes();
    let call = Call {
        method: "POST",
        path: "/api/version-put".into(),
        if_match: None,
        body: Some(body),
    };
    let (from, _) = fleet.submit(&call).await?;
    out.print(&format!(
        "{model} is to run version {version} ({from}); `sparrouter status` shows servers loading it"
    ))
}

/// Prints the status of the first node that answers; with `all`, also of all nodes that this node knows.
async fn status(
    fleet: &Fleet,
    all: bool,
    as_json: bool,
    out: &mut Output<'_>,
) -> Result<(), ClientError> {
    let (answers, failures) = ask_nodes(fleet, "/api/status", all).await?;
    if as_json {
        for answer in &answers {
            out.print(&answer.body)?;
        }
    } else {
        let pages: Vec<(SocketAddr, &Status)> =
            answers.iter().map(|a| (a.address, &a.status)).collect();
        out.print(page::of(&pages).trim_end())?;
    }
    for (name, error) in failures {
        out.diagnose(&format!("{name}: {error}"));
    }
    Ok(())
}

/// Prints one tenant's quota over all nodes known to the first node that answers.
async fn quota(
    fleet: &Fleet,
    tenant: &str,
    as_json: bool,
    out: &mut Output<'_>,
) -> Result<(), ClientError> {
    if tenant.is_empty() {
        return Err(ClientError::InvalidArgument {
            argument: "an empty TENANT".into(),
            expected: "a tenant's name",
        });
    }
    let path = format!("/api/status?tenant={}", query::encode(tenant));
    let (answers, failures) = ask_nodes(fleet, &path, true).await?;
    let node_answers = NodeAnswers {
        answers: answers.iter().map(|answer| &answer.status).collect(),
        no_answer: failures.iter().map(|(name, _)| name.clone()).collect(),
    };
    let overview = Overview::of(tenant, &node_answers);
    for (name, error) in failures {
        out.diagnose(&format!("{name}: {error}"));
    }
    let overview = overview?;
    if as_json {
        out.print(&json::to_string(&overview))
    } else {
        out.print(overview.text().trim_end())
    }
}

/// Calls nodes until one answers; with `all`, also calls all nodes that this node knows. Returns the answers, and the
/// names and errors of the nodes that did not answer.
async fn ask_nodes(
    fleet: &Fleet,
    path: &str,
    all: bool,
) -> Result<(Vec<StatusAnswer>, Vec<(String, ClientError)>), ClientError> {
    let call = Call::get(path);
    let (from, reply) = fleet.submit(&call).await?;
    let mut answers = vec![StatusAnswer::read(from, reply.body)?];
    let mut failures = Vec::new();
    if all {
        for (name, address) in other_nodes(&answers[0]) {
            let node = fleet.only(address, OTHER_NODE_RETRY_TIMEOUT);
            match node.submit(&call).await {
                Ok((_, reply)) => answers.push(StatusAnswer::read(address, reply.body)?),
                Err(error) => failures.push((name, error)),
            }
        }
    }
    Ok((answers, failures))
}

/// Time for which the call to each node after the first is retried.
const OTHER_NODE_RETRY_TIMEOUT: Duration = Duration::from_secs(2);

/// A node's status, both as JSON text and parsed.
struct StatusAnswer {
    address: SocketAddr,
    body: String,
    status: Status,
}

impl StatusAnswer {
    fn read(address: SocketAddr, body: String) -> Result<StatusAnswer, ClientError> {
        let status = json::from_str::<Status>(&body)
            .map_err(|_| ClientError::UnreadableAnswer { address })?;
        Ok(StatusAnswer {
            address,
            body,
            status,
        })
    }
}

/// Names and addresses of the other nodes that the first node knows and that serve operators.
fn other_nodes(first: &StatusAnswer) -> Vec<(String, SocketAddr)> {
    let nodes = first.status.nodes.iter();
    nodes
        .filter_map(|node| Some((node.name.clone(), node.control.parse().ok()?)))
        .filter(|(name, address)| *address != first.address && *name != first.status.node)
        .collect()
}
