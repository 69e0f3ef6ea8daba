//! Names of files: the record's name, the record's version, and a suffix while the file is being written.
use std::fmt;

/// Maximum length of a record's name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Suffix of the name of a file that is still being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The name of a file, such as `part-1.8` or `part-1.8.tmp`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FileName<'a> {
    /// Name of the record.
    pub record: &'a str,
    /// Version of the record.
    pub version: u64,
    /// Whether the file may be incomplete.
    pub is_temporary: bool,
}

impl<'a> FileName<'a> {
    /// The name of the file that holds a version of a record.
    pub fn complete(record: &'a str, version: u64) -> FileName<'a> {
        FileName {
            record,
            version,
            is_temporary: false,
        }
    }

    /// The name of this file while it is being written.
    pub fn temporary(self) -> FileName<'a> {
        FileName {
            is_temporary: true,
            ..self
        }
    }

    /// Parses a file name; `None` if this package did not write the file, which the store then ignores.
    pub fn parse(file: &'a str) -> Option<FileName<'a>> {
        let without_suffix = file.strip_suffix(TEMPORARY_SUFFIX);
        let (record, version) = without_suffix.unwrap_or(file).split_once('.')?;
        let is_number = !version.is_empty() && version.bytes().all(|byte| byte.is_ascii_digit());
        if !is_record_name(record) || !is_number {
            return None;
        }
        Some(FileName {
            record,
            version: version.parse().ok()?,
            is_temporary: without_suffix.is_some(),
        })
    }
}

impl fmt::Display for FileName<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suffix = if self.is_temporary {
            TEMPORARY_SUFFIX
        } else {
            ""
        };
        write!(formatter, "{}.{}{suffix}", self.record, self.version)
    }
}

/// Whether `name` is a valid record name, which is safe as part of a file name.
pub(crate) fn is_record_name(name: &str) -> bool {
    let is_allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_'
    };
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
