//! Lists and blobs for `nanoserde`'s binary form. Its own `Vec` reserves as much as the input claims to hold, so a
//! few hostile bytes would take all memory; these reserve no more than the input has left.
use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::{Deref, DerefMut};

/// A list of items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seq<T>(pub Vec<T>);

/// Bytes, copied whole.
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

fn short(o: usize, l: usize, s: usize) -> DeBinErr {
    DeBinErr::new(o, l, s)
}

/// The length that stands next, if the input can hold that many items of a byte or more.
fn length(o: &mut usize, d: &[u8]) -> Result<usize, DeBinErr> {
    let claimed = u32::de_bin(o, d)? as usize;
    let left = d.len().saturating_sub(*o);
    if claimed > left {
        Err(short(*o, claimed, left))
    } else {
        Ok(claimed)
    }
}

impl<T: SerBin> SerBin for Seq<T> {
    fn ser_bin(&self, s: &mut Vec<u8>) {
        (self.0.len() as u32).ser_bin(s);
        self.0.iter().for_each(|item| item.ser_bin(s));
    }
}
impl<T: DeBin> DeBin for Seq<T> {
    fn de_bin(o: &mut usize, d: &[u8]) -> Result<Seq<T>, DeBinErr> {
        let length = length(o, d)?;
        // Items may be larger in memory than on the wire: the list grows as they come.
        let mut items = Vec::with_capacity(length.min(64));
        for _ in 0..length {
            items.push(T::de_bin(o, d)?);
        }
        Ok(Seq(items))
    }
}
impl SerBin for Blob {
    fn ser_bin(&self, s: &mut Vec<u8>) {
        (self.0.len() as u32).ser_bin(s);
        s.extend_from_slice(&self.0);
    }
}
impl DeBin for Blob {
    fn de_bin(o: &mut usize, d: &[u8]) -> Result<Blob, DeBinErr> {
        let length = length(o, d)?;
        let bytes = d[*o..*o + length].to_vec();
        *o += length;
        Ok(Blob(bytes))
    }
}

/// Reads one value that takes up all of the bytes: what is left over is of another release, and a change made without
/// it would lose it. `nanoserde` adds a claimed text length to the offset unchecked, which panics when it overflows:
/// caught here, so that hostile bytes end as None like all that is malformed.
pub fn read<T: DeBin>(bytes: &[u8]) -> Option<T> {
    let reading = || {
        let mut at = 0;
        let value = T::de_bin(&mut at, bytes).ok()?;
        (at == bytes.len()).then_some(value)
    };
    std::panic::catch_unwind(reading).ok().flatten()
}
