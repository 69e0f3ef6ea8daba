//! Percent-encoding of values in a URL's query (RFC 3986, section 2.1).
use std::fmt::Write;

/// Encodes a value for a query: all bytes but letters, digits, `-`, `.`, `_` and `~` are encoded.
pub fn encode(value: &str) -> String {
    let mut encoded = String::new();
    for byte in value.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing into a `String` never fails.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Decodes a value; `None` if it is not a percent-encoding of UTF-8.
pub fn decode(encoded: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = encoded.as_bytes();
    while let Some((&byte, behind)) = rest.split_first() {
        rest = behind;
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let (digits, behind) = rest.split_at_checked(2)?;
        let digits = std::str::from_utf8(digits).ok()?;
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = behind;
    }
    String::from_utf8(bytes).ok()
}
