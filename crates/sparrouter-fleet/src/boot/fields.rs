//! One field at a time out of a settings file: read, checked, and noted for `show` and for errors.
use crate::boot::BootError;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

/// Longest text of a field, in bytes, that an error repeats.
const REPEATED: usize = 80;

/// One field as it is used.
pub struct Noted {
    pub field: String,
    pub value: String,
    /// It stands in the file; else it was filled in.
    pub given: bool,
}

/// The fields of a file, and what was made of them.
pub struct Fields<'a> {
    path: &'a Path,
    map: BTreeMap<String, String>,
    noted: RefCell<Vec<Noted>>,
}

impl<'a> Fields<'a> {
    pub fn read(path: &'a Path, text: &str) -> Result<Fields<'a>, BootError> {
        let malformed = |e: java_properties::PropertiesError| BootError::Malformed {
            path: path.display().to_string(),
            why: e.to_string(),
        };
        let map = java_properties::read(text.as_bytes()).map_err(malformed)?;
        // A field that is left empty counts as left out.
        let filled = map
            .into_iter()
            .map(|(k, v)| (k, v.trim().to_owned()))
            .filter(|(_, v)| !v.is_empty());
        Ok(Fields {
            path,
            map: filled.collect(),
            noted: RefCell::default(),
        })
    }

    fn note(&self, field: &str, value: impl Display, given: bool) {
        self.noted.borrow_mut().push(Noted {
            field: field.to_owned(),
            value: value.to_string(),
            given,
        });
    }

    pub fn wrong(&self, field: &str, value: &str, wanted: impl Display) -> BootError {
        let shown: String = value.chars().take(REPEATED).collect();
        BootError::Value {
            path: self.path.display().to_string(),
            field: field.to_owned(),
            value: shown,
            wanted: wanted.to_string(),
        }
    }

    fn missing(&self, field: &str) -> BootError {
        BootError::Missing {
            path: self.path.display().to_string(),
            field: field.to_owned(),
        }
    }

    /// A field that must be there.
    pub fn needed<T: FromStr + Display>(&self, field: &str, wanted: &str) -> Result<T, BootError> {
        self.optional(field, wanted)?
            .ok_or_else(|| self.missing(field))
    }

    pub fn optional<T: FromStr + Display>(
        &self,
        field: &str,
        wanted: &str,
    ) -> Result<Option<T>, BootError> {
        let Some(text) = self.map.get(field) else {
            return Ok(None);
        };
        let value = text
            .parse::<T>()
            .map_err(|_| self.wrong(field, text, wanted))?;
        self.note(field, &value, true);
        Ok(Some(value))
    }

    /// Free text; empty where it is left out.
    pub fn text(&self, field: &str) -> String {
        let text = self.map.get(field);
        self.note(field, text.map_or("", String::as_str), text.is_some());
        text.cloned().unwrap_or_default()
    }

    pub fn flag(&self, field: &str, usual: bool) -> Result<bool, BootError> {
        let given = self.optional(field, "true or false")?;
        if given.is_none() {
            self.note(field, usual, false);
        }
        Ok(given.unwrap_or(usual))
    }

    pub fn number(
        &self,
        field: &str,
        range: RangeInclusive<f64>,
        usual: f64,
    ) -> Result<f64, BootError> {
        let Some(text) = self.map.get(field) else {
            self.note(field, usual, false);
            return Ok(usual);
        };
        let wanted = || format!("a number from {} to {}", range.start(), range.end());
        let value: f64 = text
            .parse()
            .map_err(|_| self.wrong(field, text, wanted()))?;
        if !range.contains(&value) {
            return Err(self.wrong(field, text, wanted()));
        }
        self.note(field, value, true);
        Ok(value)
    }

    /// A whole number; `260.0` is one too.
    pub fn whole(
        &self,
        field: &str,
        range: RangeInclusive<u64>,
        usual: u64,
    ) -> Result<u64, BootError> {
        let Some(text) = self.map.get(field) else {
            self.note(field, usual, false);
            return Ok(usual);
        };
        let decimal = || {
            text.parse::<f64>()
                .ok()
                .filter(|n| n.fract() == 0.0 && *n >= 0.0 && *n < 9e15)
        };
        let value = text
            .parse::<u64>()
            .ok()
            .or_else(|| decimal().map(|n| n as u64));
        let Some(value) = value.filter(|n| range.contains(n)) else {
            let wanted = format!("a whole number from {} to {}", range.start(), range.end());
            return Err(self.wrong(field, text, wanted));
        };
        self.note(field, value, true);
        Ok(value)
    }

    /// A time, written in parts of a second: `per_s` of them.
    pub fn span(
        &self,
        field: &str,
        per_s: f64,
        least: f64,
        usual: f64,
    ) -> Result<Duration, BootError> {
        Ok(Duration::from_secs_f64(
            self.number(field, least..=1e9, usual)? / per_s,
        ))
    }

    pub fn address(&self, field: &str) -> Result<Option<SocketAddr>, BootError> {
        let wanted = "an address such as 10.1.0.21:8683";
        let address: Option<SocketAddr> = self.optional(field, wanted)?;
        match address {
            Some(a) if a.port() == 0 => Err(self.wrong(field, &a.to_string(), wanted)),
            address => Ok(address),
        }
    }

    /// Words joined by commas, each of them read.
    pub fn list<T: FromStr + Display>(
        &self,
        field: &str,
        wanted: &str,
    ) -> Result<Vec<T>, BootError> {
        let text = self.map.get(field);
        let words = text
            .map(String::as_str)
            .unwrap_or_default()
            .split(',')
            .map(str::trim);
        let read = |w: &str| w.parse::<T>().map_err(|_| self.wrong(field, w, wanted));
        let all = words
            .filter(|w| !w.is_empty())
            .map(read)
            .collect::<Result<Vec<T>, _>>()?;
        let shown: Vec<String> = all.iter().map(T::to_string).collect();
        self.note(field, shown.join(","), text.is_some());
        Ok(all)
    }

    /// All fields whose name begins so, without that beginning.
    pub fn under(&self, prefix: &str) -> Vec<(String, String)> {
        let fields = self.map.iter().filter(|(k, _)| k.starts_with(prefix));
        fields
            .map(|(k, v)| {
                self.note(k, v, true);
                (k[prefix.len()..].to_owned(), v.clone())
            })
            .collect()
    }

    /// The settings as they are used, themselves a settings file: what was given, what was filled in, and the names of
    /// fields that this release does not know.
    pub fn show(self) -> String {
        let noted = self.noted.into_inner();
        let known: BTreeSet<&str> = noted.iter().map(|n| n.field.as_str()).collect();
        let unknown: Vec<&str> = self
            .map
            .keys()
            .map(String::as_str)
            .filter(|f| !known.contains(f))
            .collect();
        let mut out = format!("# as given in {}\n", self.path.display());
        let line = |n: &Noted| format!("{}={}\n", n.field, n.value);
        out.extend(noted.iter().filter(|n| n.given).map(line));
        out.push_str("# left out, filled in\n");
        out.extend(noted.iter().filter(|n| !n.given).map(line));
        if !unknown.is_empty() {
            out.push_str(&format!(
                "# not known to this release, passed over: {}\n",
                unknown.join(", ")
            ));
        }
        out
    }
}
