//! Bounded lists and byte strings for `nanoserde`'s binary form.
//!
//! `nanoserde` reserves memory for a `Vec` according to the length that the input claims, so a few hostile bytes could
//! exhaust memory. The types of this crate first check the claimed length against the remaining input.
//!
//! Wire format: the length as a little-endian `u32`, then the items or bytes.
//!
//! [`read`] decodes a message or file that consists of exactly one value.
#[cfg(not(panic = "unwind"))]
compile_error!("`read` needs panics that unwind, so that malformed bytes do not abort the process");

use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::{Deref, DerefMut};

/// A list of items. Decoding reserves memory for at most as many items as the remaining input has bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seq<T>(pub Vec<T>);

/// A byte string. Decoding allocates at most as many bytes as remain in the input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl<T> Default for Seq<T> {
    fn default() -> Seq<T> {
        Seq(Vec::new())
    }
}

impl<T> Deref for Seq<T> {
    type Target = Vec<T>;

    fn deref(&self) -> &Vec<T> {
        &self.0
    }
}

impl<T> DerefMut for Seq<T> {
    fn deref_mut(&mut self) -> &mut Vec<T> {
        &mut self.0
    }
}

impl<T> From<Vec<T>> for Seq<T> {
    fn from(items: Vec<T>) -> Seq<T> {
        Seq(items)
    }
}

impl<T> FromIterator<T> for Seq<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Seq<T> {
        Seq(items.into_iter().collect())
    }
}

impl<T> IntoIterator for Seq<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<'a, T> IntoIterator for &'a Seq<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.iter()
    }
}

impl Deref for Blob {
    type Target = Vec<u8>;

    fn deref(&self) -> &Vec<u8> {
        &self.0
    }
}

/// Largest number of items for which memory is reserved before decoding. Without a limit, a list could reserve far more memory
/// than the size of the input, since items may be larger in memory than on the wire.
const MAX_RESERVED_ITEMS: usize = 64;

/// Reads a length. Fails if it exceeds the remaining bytes of input, since each item takes at least one byte.
fn read_length(offset: &mut usize, input: &[u8]) -> Result<usize, DeBinErr> {
    let claimed_length = u32::de_bin(offset, input)? as usize;
    let remaining = input.len().saturating_sub(*offset);
    if claimed_length > remaining {
        return Err(DeBinErr::new(*offset, claimed_length, remaining));
    }
    Ok(claimed_length)
}

impl<T: SerBin> SerBin for Seq<T> {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        (self.0.len() as u32).ser_bin(output);
        self.0.iter().for_each(|item| item.ser_bin(output));
    }
}

impl<T: DeBin> DeBin for Seq<T> {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<Seq<T>, DeBinErr> {
        let length = read_length(offset, input)?;
        let mut items = Vec::with_capacity(length.min(MAX_RESERVED_ITEMS));
        for _ in 0..length {
            items.push(T::de_bin(offset, input)?);
        }
        Ok(Seq(items))
    }
}

impl SerBin for Blob {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        (self.0.len() as u32).ser_bin(output);
        output.extend_from_slice(&self.0);
    }
}

impl DeBin for Blob {
    fn de_bin(offset: &mut usize, input: &[u8]) -> Result<Blob, DeBinErr> {
        let length = read_length(offset, input)?;
        let end = *offset + length;
        let bytes = input[*offset..end].to_vec();
        *offset = end;
        Ok(Blob(bytes))
    }
}

/// Decodes one value that occupies all of `bytes`; `None` if they are malformed. Bytes after the value also count as
/// malformed: another release wrote them, and updating the value without them would lose them.
///
/// `nanoserde` adds the claimed length of a text to its offset without a check, which panics on overflow. This function
/// catches that panic.
pub fn read<T: DeBin>(bytes: &[u8]) -> Option<T> {
    let decode = || {
        let mut offset = 0;
        let value = T::de_bin(&mut offset, bytes).ok()?;
        let is_complete = offset == bytes.len();
        is_complete.then_some(value)
    };
    std::panic::catch_unwind(decode).ok().flatten()
}
