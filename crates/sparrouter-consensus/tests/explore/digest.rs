//! Digests of states, so that each is visited once and none is kept as text.
use std::collections::hash_map::DefaultHasher;
use std::fmt::{self, Debug, Write};
use std::hash::Hasher;

/// Hashes what is written to it, so that no text of a state is ever kept.
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

/// 128 bits of all that `Debug` shows of a value.
pub fn digest_of(value: &impl Debug) -> u128 {
    let mut writer = DigestWriter {
        low: DefaultHasher::new(),
        high: DefaultHasher::new(),
    };
    writer.high.write_u8(1);
    write!(writer, "{value:?}").expect("a hasher takes any text");
    u128::from(writer.low.finish()) | u128::from(writer.high.finish()) << 64
}
