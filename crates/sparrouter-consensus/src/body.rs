//! Names of large bodies by content, and the chunks in which they travel.
use crate::codec::{read_bytes, write_bytes};
use nanoserde::{DeBin, DeBinErr, SerBin};
use sha2::{Digest, Sha256};

/// Names a body by its content. Invariant: two bodies with one reference are equal, but for a collision of SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, SerBin, DeBin)]
pub struct BodyReference {
    /// Length in bytes.
    pub length: u32,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
}

impl BodyReference {
    /// The reference of these bytes.
    pub fn of(body: &[u8]) -> BodyReference {
        BodyReference {
            length: body.len() as u32,
            digest: Sha256::digest(body).into(),
        }
    }
}

/// Consecutive bytes of a body, encoded as one block.
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
