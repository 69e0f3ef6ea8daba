//! Digests of states, by which the search recognizes visited states without keeping them.
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Debug, Write};
use std::hash::Hasher;

/// Hashes the text that is written to it, so that the text of a state is never stored.
struct DigestWriter {
    low: DefaultHasher,
    high: DefaultHasher,
}

impl Write for DigestWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.low.write(text.as_bytes());
        self.high.write(text.as_bytes());
        Ok(())
    }
}

/// A 128-bit digest of the `Debug` output of a value.
pub fn digest_of(value: &impl Debug) -> u128 {
    let mut writer = DigestWriter {
        low: DefaultHasher::new(),
        high: DefaultHasher::new(),
    };
    writer.high.write_u8(1);
    write!(writer, "{value:?}").expect("hashing text never fails");
    u128::from(writer.low.finish()) | u128::from(writer.high.finish()) << 64
}
