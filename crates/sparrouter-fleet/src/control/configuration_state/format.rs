//! Encoding of the configuration's shard, on disk and between nodes, with the number of its format.
//!
//! | bytes | content |
//! | --- | --- |
//! | 8 | `HEADER`, with which no older format begins |
//! | 4 | number of the format, little-endian |
//! | rest | the state, in `nanoserde`'s binary form |
//!
//! Format 1 had neither header nor number and began with the version in force. It is read and converted. Its 64-bit
//! digests prove nothing and are dropped, so that orders applied before are neither confirmed nor refused.

use super::history::OrderHistory;
use super::{ConfigurationState, NamedVersion};
use crate::platform::defects::rules;
use nanoserde::{DeBin, SerBin};
use sparrouter_codec::Seq;

/// First bytes of a state since format 2. No state in format 1 begins with them: its first field is the version in
/// force, which these bytes would make larger than 18 * 10^18.
const HEADER: [u8; 8] = *b"config\xff\xff";
/// The number of the format that this release writes.
pub const FORMAT_VERSION: u32 = 2;

const HEAD_BYTES: usize = HEADER.len() + size_of::<u32>();

/// Why bytes cannot be read as the configuration's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateFormatError {
    /// A newer release wrote the bytes.
    #[error(
        "the configuration's shard has format {found}, this release reads formats 1 to {FORMAT_VERSION}: bring all nodes to \
         one release, the newest that runs"
    )]
    Newer {
        /// Number of the format found.
        found: u32,
    },
    /// The bytes are damaged, or have a format that neither this release nor an earlier one wrote.
    #[error(
        "the configuration's shard has a format that this release does not know: bring all nodes to one release"
    )]
    Unreadable,
}

/// The state in format 1.
#[derive(DeBin)]
struct FirstFormat {
    version: u64,
    text: String,
    #[expect(dead_code, reason = "part of format 1; 64-bit digests prove nothing")]
    taken: Seq<FirstFormatOrder>,
    models: Seq<NamedVersion>,
}

/// An applied order as stored in format 1; decoded only to be skipped.
#[derive(DeBin)]
struct FirstFormatOrder {
    #[expect(dead_code, reason = "part of format 1")]
    digest: u64,
    #[expect(dead_code, reason = "part of format 1")]
    version: u64,
}

impl ConfigurationState {
    /// Decodes a state; an empty body is the state before the first change.
    ///
    /// # Errors
    ///
    /// A [`StateFormatError`] if the body is damaged or has a newer format.
    pub fn read(body: &[u8]) -> Result<ConfigurationState, StateFormatError> {
        if body.is_empty() {
            return Ok(ConfigurationState::default());
        }
        match body.strip_prefix(&HEADER) {
            Some(rest) => read_with_header(rest),
            None => read_first_format(body),
        }
    }

    /// Encodes the state in the format of this release.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD_BYTES + self.text.len());
        out.extend_from_slice(&HEADER);
        let format_number = if rules::state_form_is_known() {
            FORMAT_VERSION
        } else {
            u32::MAX
        };
        format_number.ser_bin(&mut out);
        self.ser_bin(&mut out);
        out
    }
}

fn read_with_header(rest: &[u8]) -> Result<ConfigurationState, StateFormatError> {
    let Some((format_number, state)) = rest.split_first_chunk() else {
        return Err(StateFormatError::Unreadable);
    };
    match u32::from_le_bytes(*format_number) {
        FORMAT_VERSION => read_state(state),
        found if found > FORMAT_VERSION => Err(StateFormatError::Newer { found }),
        _ => Err(StateFormatError::Unreadable),
    }
}

fn read_state(bytes: &[u8]) -> Result<ConfigurationState, StateFormatError> {
    let state: ConfigurationState =
        sparrouter_codec::read(bytes).ok_or(StateFormatError::Unreadable)?;
    if state.orders.newest() == state.version {
        Ok(state)
    } else {
        Err(StateFormatError::Unreadable)
    }
}

fn read_first_format(body: &[u8]) -> Result<ConfigurationState, StateFormatError> {
    let first: FirstFormat = sparrouter_codec::read(body).ok_or(StateFormatError::Unreadable)?;
    Ok(ConfigurationState {
        version: first.version,
        text: first.text,
        orders: OrderHistory::unknown_before(first.version),
        models: first.models,
    })
}
