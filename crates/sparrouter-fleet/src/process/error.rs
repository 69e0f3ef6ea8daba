//! Errors that keep a process from starting.
use crate::control::disk::DiskError;
use std::io;
use std::net::SocketAddr;

/// An error that keeps a process from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A listener cannot be opened.
    #[error("cannot listen at {address} ({source}): free the port or change listen_addresses")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings lack an address that the role needs. Holds the name of the missing field.
    #[error("this role needs {0}: use a machine class and served roles that provide it")]
    Role(&'static str),
    /// Handlers for the signals of the operating system cannot be installed.
    #[error("signals cannot be received: {0}")]
    Signals(io::Error),
    /// The data directory cannot be opened, for example because a newer release wrote it.
    #[error("the data directory cannot be opened, and is left unchanged: {0}")]
    Data(#[from] DiskError),
}
