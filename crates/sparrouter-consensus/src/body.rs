//! Content-addressed references to large bodies, and the chunks in which bodies are transferred.
use crate::codec::{read_bytes, write_bytes};
use nanoserde::{DeBin, DeBinErr, SerBin};
use sha2::{Digest, Sha256};

/// Identifies a body by its content. Invariant: two bodies with equal references are equal, barring a SHA-256
/// collision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct BodyReference {
    /// Length of the body in bytes.
    pub length: u32,
    /// SHA-256 digest of the body.
    pub digest: [u8; 32],
}

impl BodyReference {
    /// The reference to the body with these bytes.
    pub fn of(body: &[u8]) -> BodyReference {
        BodyReference {
            length: body.len() as u32,
            digest: Sha256::digest(body).into(),
        }
    }
}

/// Consecutive bytes of a body, encoded as a length and the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk(pub Vec<u8>);

impl From<&[u8]> for Chunk {
    fn from(bytes: &[u8]) -> Chunk {
        Chunk(bytes.to_vec())
    }
}

impl SerBin for Chunk {
    fn ser_bin(&self, out: &mut Vec<u8>) {
        write_bytes(&self.0, out);
    }
}

impl DeBin for Chunk {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<Chunk, DeBinErr> {
        Ok(Chunk(read_bytes(offset, input, input.len())?))
    }
}
