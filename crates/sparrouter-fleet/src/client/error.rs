//! What may go wrong between an operator and the fleet: each kind names its remedy, and has an exit code.
use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    #[error(
        "no node is named: give --at ADDRESS[,ADDRESS..], or let SPARROUTER_BOOT name a settings file with seed_nodes"
    )]
    NoAddress,
    #[error(transparent)]
    Settings(#[from] crate::boot::BootError),
    #[error("{path}: cannot be read ({why}): check the path and that you may read it")]
    File { path: String, why: String },
    #[error("{path}: {refusal}")]
    Invalid {
        path: String,
        refusal: sparrouter_config::Refusal,
    },
    #[error(
        "{path} is a patch: give --against FILE with what it changes, as `sparrouter config get` prints it"
    )]
    Against { path: String },
    #[error("{what} is not {wanted}: mend it and ask again")]
    Word { what: String, wanted: &'static str },
    #[error("the fleet refuses this ({status}): {text}")]
    Refused { status: u16, text: String },
    #[error(
        "no node could be reached within {patience_s} s, nothing was sent (last: {address}: {last}): check --at against \
         listen_addresses.control_plane of the nodes, and that they run"
    )]
    Unreached {
        address: SocketAddr,
        last: String,
        patience_s: u64,
    },
    #[error(
        "not done within {patience_s} s, and nothing was changed (last: {address}: {last}): look at `sparrouter status` \
         for a lost quorum, then send it again"
    )]
    NotMade {
        address: SocketAddr,
        last: String,
        patience_s: u64,
    },
    #[error(
        "no clear answer within {patience_s} s (last: {address}: {last}): a change may be in force or not; send the \
         same again unchanged, or look with `sparrouter config get`"
    )]
    Unclear {
        address: SocketAddr,
        last: String,
        patience_s: u64,
    },
    #[error(
        "{address} answered what this release cannot read: use the client of the fleet's own release"
    )]
    Misread { address: SocketAddr },
    #[error("the answer cannot be written out ({0}): check where standard output goes")]
    Output(std::io::Error),
}

impl ClientError {
    /// 1 refused by the fleet, 2 bad input, 3 no clear answer.
    pub fn exit_code(&self) -> u8 {
        match self {
            ClientError::Refused { .. } => 1,
            ClientError::NoAddress
            | ClientError::Settings(_)
            | ClientError::File { .. }
            | ClientError::Invalid { .. }
            | ClientError::Against { .. }
            | ClientError::Word { .. } => 2,
            ClientError::Unreached { .. }
            | ClientError::NotMade { .. }
            | ClientError::Unclear { .. }
            | ClientError::Misread { .. }
            | ClientError::Output(_) => 3,
        }
    }
}
