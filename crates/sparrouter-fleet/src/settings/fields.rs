//! Typed access to the fields of a settings file. Each field that is read is recorded for [`Fields::show`].
use super::SettingsError;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

/// Milliseconds in a second: the divisor that converts a field whose name ends in `_ms` to seconds.
pub(super) const MS_PER_SECOND: f64 = 1e3;
/// Maximum number of characters of a value that an error message quotes.
const MAX_VALUE_CHARS: usize = 80;

/// Longest duration, in the unit of the field.
const MAX_DURATION: f64 = 1e9;
/// Largest whole number that an `f64` represents exactly, rounded down.
const MAX_EXACT: f64 = 9e15;

/// A field that was read.
struct UsedField {
    field: String,
    value: String,
    /// Whether the file has the field; otherwise the value is the default.
    is_given: bool,
}

/// The fields of a settings file, and which of them were read.
pub(super) struct Fields<'a> {
    path: &'a Path,
    map: BTreeMap<String, String>,
    used: RefCell<Vec<UsedField>>,
}

impl<'a> Fields<'a> {
    /// Parses a text; `path` is for error messages only.
    pub(super) fn read(path: &'a Path, text: &str) -> Result<Fields<'a>, SettingsError> {
        let malformed = |e: java_properties::PropertiesError| SettingsError::Malformed {
            path: path.display().to_string(),
            reason: e.to_string(),
        };
        let map = java_properties::read(text.as_bytes()).map_err(malformed)?;
        // An empty field counts as absent.
        let filled = map
            .into_iter()
            .map(|(k, v)| (k, v.trim().to_owned()))
            .filter(|(_, v)| !v.is_empty());
        Ok(Fields {
            path,
            map: filled.collect(),
            used: RefCell::default(),
        })
    }

    fn record(&self, field: &str, value: impl Display, is_given: bool) {
        self.used.borrow_mut().push(UsedField {
            field: field.to_owned(),
            value: value.to_string(),
            is_given,
        });
    }

    /// Builds the error for an invalid value.
    pub(super) fn invalid(
        &self,
        field: &str,
        value: &str,
        expected: impl Display,
    ) -> SettingsError {
        let shortened: String = value.chars().take(MAX_VALUE_CHARS).collect();
        SettingsError::Value {
            path: self.path.display().to_string(),
            field: field.to_owned(),
            value: shortened,
            expected: expected.to_string(),
        }
    }

    fn missing(&self, field: &str) -> SettingsError {
        SettingsError::Missing {
            path: self.path.display().to_string(),
            field: field.to_owned(),
        }
    }

    /// Reads a field that must be present.
    pub(super) fn required<T: FromStr + Display>(
        &self,
        field: &str,
        expected: &str,
    ) -> Result<T, SettingsError> {
        self.optional(field, expected)?
            .ok_or_else(|| self.missing(field))
    }

    /// Reads a field that may be absent.
    pub(super) fn optional<T: FromStr + Display>(
        &self,
        field: &str,
        expected: &str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(text) = self.map.get(field) else {
            return Ok(None);
        };
        let value = text
            .parse::<T>()
            .map_err(|_| self.invalid(field, text, expected))?;
        self.record(field, &value, true);
        Ok(Some(value))
    }

    /// Reads a field of any text; empty if absent.
    pub(super) fn text(&self, field: &str) -> String {
        let text = self.map.get(field);
        self.record(field, text.map_or("", String::as_str), text.is_some());
        text.cloned().unwrap_or_default()
    }

    /// Reads a field that is `true` or `false`.
    pub(super) fn flag(&self, field: &str, default: bool) -> Result<bool, SettingsError> {
        let value = self.optional(field, "true or false")?;
        if value.is_none() {
            self.record(field, default, false);
        }
        Ok(value.unwrap_or(default))
    }

    /// Reads a number within a range.
    pub(super) fn number(
        &self,
        field: &str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> Result<f64, SettingsError> {
        let Some(text) = self.map.get(field) else {
            self.record(field, default, false);
            return Ok(default);
        };
        let expected = || format!("a number from {} to {}", range.start(), range.end());
        let value: f64 = text
            .parse()
            .map_err(|_| self.invalid(field, text, expected()))?;
        if !range.contains(&value) {
            return Err(self.invalid(field, text, expected()));
        }
        self.record(field, value, true);
        Ok(value)
    }

    /// Reads a whole number within a range; `260.0` is accepted too.
    pub(super) fn integer(
        &self,
        field: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, SettingsError> {
        let Some(text) = self.map.get(field) else {
            self.record(field, default, false);
            return Ok(default);
        };
        let decimal = || {
            text.parse::<f64>()
                .ok()
                .filter(|n| n.fract() == 0.0 && *n >= 0.0 && *n < MAX_EXACT)
        };
        let value = text
            .parse::<u64>()
            .ok()
            .or_else(|| decimal().map(|n| n as u64));
        let Some(value) = value.filter(|n| range.contains(n)) else {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            return Err(self.invalid(field, text, expected));
        };
        self.record(field, value, true);
        Ok(value)
    }

    /// Reads a duration. `min` and `default` are in the unit of the field; `per_second` is the number of these units in a
    /// second.
    pub(super) fn duration(
        &self,
        field: &str,
        per_second: f64,
        min: f64,
        default: f64,
    ) -> Result<Duration, SettingsError> {
        Ok(Duration::from_secs_f64(
            self.number(field, min..=MAX_DURATION, default)? / per_second,
        ))
    }

    /// Reads an address with a port above 0; `None` if absent.
    pub(super) fn address(&self, field: &str) -> Result<Option<SocketAddr>, SettingsError> {
        let expected = "an address such as 10.1.0.21:8683";
        let address: Option<SocketAddr> = self.optional(field, expected)?;
        match address {
            Some(a) if a.port() == 0 => Err(self.invalid(field, &a.to_string(), expected)),
            address => Ok(address),
        }
    }

    /// Reads values separated by commas; empty if absent.
    pub(super) fn list<T: FromStr + Display>(
        &self,
        field: &str,
        expected: &str,
    ) -> Result<Vec<T>, SettingsError> {
        let text = self.map.get(field);
        let values = text
            .map(String::as_str)
            .unwrap_or_default()
            .split(',')
            .map(str::trim);
        let parse = |value: &str| {
            let parsed = value.parse::<T>();
            parsed.map_err(|_| self.invalid(field, value, expected))
        };
        let all = values
            .filter(|value| !value.is_empty())
            .map(parse)
            .collect::<Result<Vec<T>, _>>()?;
        let texts: Vec<String> = all.iter().map(T::to_string).collect();
        self.record(field, texts.join(","), text.is_some());
        Ok(all)
    }

    /// Reads all fields whose name begins with `prefix`; the names are returned without the prefix.
    pub(super) fn with_prefix(&self, prefix: &str) -> Vec<(String, String)> {
        let fields = self.map.iter().filter(|(k, _)| k.starts_with(prefix));
        fields
            .map(|(k, v)| {
                self.record(k, v, true);
                (k[prefix.len()..].to_owned(), v.clone())
            })
            .collect()
    }

    /// The settings as text of a settings file: the given fields, the fields with default values, and the names of
    /// unknown fields.
    pub(super) fn show(self) -> String {
        let used = self.used.into_inner();
        let known: BTreeSet<&str> = used.iter().map(|n| n.field.as_str()).collect();
        let unknown: Vec<&str> = self
            .map
            .keys()
            .map(String::as_str)
            .filter(|f| !known.contains(f))
            .collect();
        let mut out = format!("# as given in {}\n", self.path.display());
        let line = |n: &UsedField| format!("{}={}\n", n.field, n.value);
        out.extend(used.iter().filter(|n| n.is_given).map(line));
        out.push_str("# left out, filled in\n");
        out.extend(used.iter().filter(|n| !n.is_given).map(line));
        if !unknown.is_empty() {
            out.push_str(&format!(
                "# not known to this release, passed over: {}\n",
                unknown.join(", ")
            ));
        }
        out
    }
}
