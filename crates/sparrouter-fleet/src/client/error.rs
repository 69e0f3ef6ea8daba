//! Errors of the operators' client. Each message names the remedy, and each kind has an exit code.
use std::net::SocketAddr;

/// The reason why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Neither the command line nor the settings name a node to call.
    #[error(
        "no node is named: give --at ADDRESS[,ADDRESS..], or let SPARROUTER_BOOT name a settings file with seed_nodes"
    )]
    NoAddress,
    /// The settings file cannot be used.
    #[error(transparent)]
    Settings(#[from] crate::settings::SettingsError),
    /// A file cannot be read.
    #[error("{path}: cannot be read ({reason}): check the path and that you may read it")]
    File {
        /// The file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A configuration or patch is invalid.
    #[error("{path}: {refusal}")]
    Invalid {
        /// The file.
        path: String,
        /// The validation error.
        refusal: sparrouter_config::ConfigError,
    },
    /// A patch cannot be checked without the configuration that it changes.
    #[error(
        "{path} is a patch: give --against FILE with what it changes, as `sparrouter config get` prints it"
    )]
    MissingBase {
        /// The file.
        path: String,
    },
    /// An argument is invalid.
    #[error("{argument} is not {expected}: correct it and try again")]
    InvalidArgument {
        /// The argument.
        argument: String,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// The fleet refused the call, and a retry would be refused too.
    #[error("the fleet refuses this ({status}): {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// The reason that the fleet gave.
        text: String,
    },
    /// No node that answered has the tenant in its configuration.
    #[error(
        "no tenant `{tenant}` is in the configuration in force (version {version}): look for its name in \
         `sparrouter config get`"
    )]
    UnknownTenant {
        /// Name of the tenant.
        tenant: String,
        /// The newest version at the nodes that answered.
        version: u64,
    },
    /// No node could be reached, so nothing was sent.
    #[error(
        "no node could be reached within {retry_timeout_s} s, nothing was sent (last: {address}: {last}): check --at against \
         listen_addresses.control_plane of the nodes, and that they run"
    )]
    Unreachable {
        /// The node of the last attempt.
        address: SocketAddr,
        /// Outcome of the last attempt.
        last: String,
        /// Time for which the call was retried, in seconds.
        retry_timeout_s: u64,
    },
    /// The retry time-out passed, and all nodes that answered had rejected the call without changing anything.
    #[error(
        "not done within {retry_timeout_s} s, and nothing was changed (last: {address}: {last}): look at `sparrouter status` \
         for a lost quorum, then send it again"
    )]
    NotApplied {
        /// The node of the last attempt.
        address: SocketAddr,
        /// Outcome of the last attempt.
        last: String,
        /// Time for which the call was retried, in seconds.
        retry_timeout_s: u64,
    },
    /// There was no definite answer, so a change may be in force or not.
    #[error(
        "no clear answer within {retry_timeout_s} s (last: {address}: {last}): a change may be in force or not; send the \
         same again unchanged, or look with `sparrouter config get`"
    )]
    Unclear {
        /// The node of the last attempt.
        address: SocketAddr,
        /// Outcome of the last attempt.
        last: String,
        /// Time for which the call was retried, in seconds.
        retry_timeout_s: u64,
    },
    /// A node sent an answer that this release cannot parse.
    #[error(
        "{address} sent an answer that this release cannot read: use the client of the fleet's own release"
    )]
    UnreadableAnswer {
        /// The node.
        address: SocketAddr,
    },
    /// The async runtime cannot be started.
    #[error(
        "the async runtime cannot be started ({0}): free file descriptors and memory on this machine"
    )]
    Runtime(std::io::Error),
    /// The result cannot be written.
    #[error("the answer cannot be written out ({0}): check where standard output goes")]
    Output(std::io::Error),
}

impl ClientError {
    /// Exit code of the program: 1 if the fleet refused the call or does not know the tenant, 2 for invalid input, 3 if
    /// there is no definite answer.
    pub fn exit_code(&self) -> u8 {
        match self {
            ClientError::Refused { .. } | ClientError::UnknownTenant { .. } => 1,
            ClientError::NoAddress
            | ClientError::Settings(_)
            | ClientError::File { .. }
            | ClientError::Invalid { .. }
            | ClientError::MissingBase { .. }
            | ClientError::InvalidArgument { .. } => 2,
            ClientError::Unreachable { .. }
            | ClientError::NotApplied { .. }
            | ClientError::Unclear { .. }
            | ClientError::UnreadableAnswer { .. }
            | ClientError::Runtime(_)
            | ClientError::Output(_) => 3,
        }
    }
}
