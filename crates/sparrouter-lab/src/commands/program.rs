//! Finds the program that a command line names: a path, or one of the built-in names.
use super::CommandError;
use clap::ValueEnum;
use sparrouter_lab::play::Program;
use sparrouter_lab::stand_ins::bad_node::BadNodeKind;
use std::path::{Path, PathBuf};

/// Resolves `node`, `relay`, `direct`, `bad:NAME` or the path of a node's program.
pub(super) fn resolve(name: &str) -> Result<Program, CommandError> {
    let own = std::env::current_exe().map_err(CommandError::OwnProgram)?;
    match name {
        "direct" => return Ok(Program::Direct),
        "relay" => return Ok(Program::Relay(own)),
        "node" => return Ok(Program::Node(node_beside(&own)?)),
        _ => {}
    }
    if let Some(kind) = name.strip_prefix("bad:") {
        return Ok(Program::Bad(bad_node(kind)?));
    }
    if Path::new(name).is_file() {
        return Ok(Program::Node(name.into()));
    }
    Err(CommandError::UnknownProgram(name.into()))
}

fn bad_node(name: &str) -> Result<BadNodeKind, CommandError> {
    let kinds = BadNodeKind::value_variants();
    kinds
        .iter()
        .copied()
        .find(|kind| kind_name(*kind) == name)
        .ok_or_else(|| CommandError::UnknownBadNode {
            name: name.into(),
            known: kinds.iter().map(|kind| kind_name(*kind)).collect(),
        })
}

fn kind_name(kind: BadNodeKind) -> String {
    kind.to_possible_value()
        .map_or(String::new(), |value| value.get_name().to_string())
}

/// The node's program that was built beside this one.
fn node_beside(own: &Path) -> Result<PathBuf, CommandError> {
    let path = own.with_file_name("sparrouter-node");
    if path.is_file() {
        Ok(path)
    } else {
        Err(CommandError::NodeNotBuilt(path))
    }
}
