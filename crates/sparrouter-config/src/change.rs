//! Applies a PUT or PATCH to the document in force.

use crate::error::ConfigError;
use crate::fields::Fields;
use crate::json;
use crate::order::Order;
use crate::route_table::RouteTable;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A whole configuration that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its version number, 1 or higher.
    pub version: u64,
    /// Its JSON without white space between tokens, with all fields that were sent, known or not, in their order.
    pub text: String,
}

impl Document {
    /// A hash of the text: the same in every process and release.
    pub fn digest(&self) -> u64 {
        sparrouter_rendezvous::hash(self.text.as_bytes())
    }
}

/// How a request changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// The body is a whole configuration.
    Put,
    /// The body names items to add, replace and remove.
    Patch,
}

/// An order that may be taken: what it is known by, and the document that it makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// What identifies it when it is sent again.
    pub order: Order,
    /// The resulting configuration.
    pub document: Document,
}

/// Reads what identifies an order, without judging it on any configuration.
///
/// # Errors
///
/// A [`ConfigError`] where the body is no JSON object with a version: no release takes such an order.
pub fn read_order(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
) -> Result<Order, ConfigError> {
    let (sent, tree) = json::read(body)?;
    let version = Fields::root(&tree)?.version()?;
    Ok(Order::new(method, base_of(if_match), version, &sent))
}

/// The version that an order builds on: a missing `If-Match` counts as 0.
pub fn base_of(if_match: Option<u64>) -> u64 {
    if_match.unwrap_or(0)
}

/// Applies a change to `current` and gives the resulting document. `None`: no configuration was accepted yet, which
/// counts as version 0. Pure: the same on every node.
///
/// `if_match` is the value of `If-Match` if it is a number. A missing one counts as 0, so it suits the first
/// configuration only and is stale (412) after that.
///
/// A PATCH replaces items in place by their name, appends new ones, ignores the removal of names that do not exist, and
/// replaces `limits` if given beside `upsert_items`. Its result is validated as a whole.
///
/// # Errors
///
/// A [`ConfigError`]. Staleness is checked first.
pub fn change(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Document, ConfigError> {
    accept(method, body, if_match, current).map(|accepted| accepted.document)
}

/// The same as [`change`], and what the order is known by when it is sent again.
///
/// # Errors
///
/// As [`change`].
pub fn accept(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Accepted, ConfigError> {
    let in_force = current.map_or(0, |document| document.version);
    if base_of(if_match) != in_force {
        return Err(ConfigError::Stale {
            sent: if_match,
            current: in_force,
        });
    }
    let (sent, tree) = json::read(body)?;
    let version = Fields::root(&tree)?.version()?;
    drop(tree);
    if version <= in_force {
        return Err(ConfigError::OldVersion {
            version,
            current: in_force,
        });
    }
    let order = Order::new(method, in_force, version, &sent);
    let text = match method {
        Method::Put => sent,
        Method::Patch => patch(&sent, current.ok_or(ConfigError::NothingToPatch)?)?,
    };
    let document = Document { version, text };
    RouteTable::read(&document)?;
    Ok(Accepted { order, document })
}

/// The fields of a patch, as slices of its text.
#[derive(Default)]
struct Patch<'a> {
    /// Fields that replace those of the document: `version` and `limits`.
    replaced: Vec<(Cow<'a, str>, &'a str)>,
    /// Items to replace or append, by list.
    upserts: Lists<'a>,
    /// Names of items to remove, as JSON strings, by list.
    removals: BTreeMap<Cow<'a, str>, Vec<&'a str>>,
}

/// Lists of items, by the name of the list in the document that they change.
type Lists<'a> = Vec<(Cow<'a, str>, Vec<&'a str>)>;

impl<'a> Patch<'a> {
    fn read(sent: &'a str) -> Result<Patch<'a>, ConfigError> {
        let mut patch = Patch::default();
        for (field, value) in json::fields(sent) {
            match field.as_ref() {
                "version" | "limits" => patch.replaced.push((field, value)),
                "upsert_items" => patch.upserts = read_lists(&field, value)?,
                "remove_names" => {
                    patch.removals = read_lists(&field, value)?.into_iter().collect();
                }
                // Ignoring these would acknowledge a change that was not made.
                "routes" | "services" | "tenants" => {
                    return Err(ConfigError::WholeListInPatch {
                        field: field.into_owned(),
                    });
                }
                _ => {}
            }
        }
        Ok(patch)
    }

    fn removals_of(&self, list: &str) -> &[&'a str] {
        self.removals.get(list).map_or(&[], Vec::as_slice)
    }
}

/// The text of `current` with the patch applied.
fn patch(sent: &str, current: &Document) -> Result<String, ConfigError> {
    let (base, _) = json::read(current.text.as_bytes())?;
    let patch = Patch::read(sent)?;
    let old_fields = json::fields(&base);
    let places: HashMap<&str, usize> = old_fields
        .iter()
        .enumerate()
        .map(|(place, (key, _))| (key.as_ref(), place))
        .collect();
    let mut new_values: Vec<(&str, Cow<str>)> = patch
        .replaced
        .iter()
        .map(|(key, value)| (key.as_ref(), Cow::Borrowed(*value)))
        .collect();
    for (list, items) in &patch.upserts {
        let old = places
            .get(list.as_ref())
            .map_or("[]", |&place| old_fields[place].1);
        let merged = merge(list, old, items, patch.removals_of(list))?;
        new_values.push((list, Cow::Owned(merged)));
    }
    let upserted: HashSet<&str> = patch.upserts.iter().map(|(l, _)| l.as_ref()).collect();
    for list in patch.removals.keys().map(Cow::as_ref) {
        // Nothing can be removed from a list that does not exist.
        let Some(&place) = places.get(list).filter(|_| !upserted.contains(list)) else {
            continue;
        };
        let merged = merge(list, old_fields[place].1, &[], patch.removals_of(list))?;
        new_values.push((list, Cow::Owned(merged)));
    }
    let mut whole: Vec<(&str, &str)> = old_fields
        .iter()
        .map(|(key, value)| (key.as_ref(), *value))
        .collect();
    for (key, value) in &new_values {
        match places.get(key) {
            Some(&place) => whole[place].1 = value,
            None => whole.push((key, value)),
        }
    }
    Ok(object(&whole))
}

/// Reads `upsert_items` or `remove_names`: an object of lists. `null` counts as absent.
fn read_lists<'a>(field: &str, value: &'a str) -> Result<Lists<'a>, ConfigError> {
    if value == "null" {
        return Ok(Vec::new());
    }
    if !value.starts_with('{') {
        return Err(ConfigError::WrongType {
            at: field.to_owned(),
            expected: "an object of lists",
        });
    }
    let read_list = |(list, value): (Cow<'a, str>, &'a str)| {
        let Some(items) = items_or_null(value) else {
            return Err(ConfigError::WrongType {
                at: format!("{field}.{list}"),
                expected: "a list",
            });
        };
        Ok((list, items))
    };
    json::fields(value).into_iter().map(read_list).collect()
}

/// The items of a list; `null` counts as an empty one.
fn items_or_null(list: &str) -> Option<Vec<&str>> {
    json::items(if list == "null" { "[]" } else { list })
}

/// The list `old` with items replaced or appended and others removed, by name.
fn merge(
    list: &str,
    old: &str,
    upserts: &[&str],
    removals: &[&str],
) -> Result<String, ConfigError> {
    let old = items_or_null(old).ok_or_else(|| ConfigError::WrongType {
        at: list.to_owned(),
        expected: "a list of named items",
    })?;
    let removed = read_removals(list, removals)?;
    let (mut new_items, order) = read_upserts(list, upserts, &removed)?;
    let mut merged = Vec::with_capacity(old.len() + upserts.len());
    for &item in &old {
        match json::name_of(item) {
            Some(name) if removed.contains(&name) => {}
            Some(name) => merged.push(new_items.remove(&name).unwrap_or(item)),
            None => merged.push(item),
        }
    }
    merged.extend(order.iter().filter_map(|name| new_items.remove(name)));
    Ok(format!("[{}]", merged.join(",")))
}

/// The names to remove from a list.
fn read_removals(list: &str, removals: &[&str]) -> Result<HashSet<String>, ConfigError> {
    let read = |(i, literal): (usize, &&str)| {
        json::string(literal).ok_or_else(|| ConfigError::WrongType {
            at: format!("remove_names.{list}[{i}]"),
            expected: "a name",
        })
    };
    removals.iter().enumerate().map(read).collect()
}

/// The items to replace or append by name, and their names in the order sent. Each name is given once, and not to be
/// removed as well.
fn read_upserts<'a>(
    list: &str,
    upserts: &[&'a str],
    removed: &HashSet<String>,
) -> Result<(HashMap<String, &'a str>, Vec<String>), ConfigError> {
    let mut items: HashMap<String, &str> = HashMap::new();
    let mut order = Vec::new();
    for (i, item) in upserts.iter().enumerate() {
        let name = json::name_of(item).ok_or_else(|| ConfigError::Missing {
            at: format!("upsert_items.{list}[{i}].name"),
        })?;
        if removed.contains(&name) {
            return Err(ConfigError::Contradiction {
                list: list.to_owned(),
                name,
            });
        }
        if items.insert(name.clone(), item).is_some() {
            return Err(ConfigError::SharedName {
                list: list.to_owned(),
                name,
            });
        }
        order.push(name);
    }
    Ok((items, order))
}

/// A JSON object of these fields; the values are JSON already.
fn object(fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(key, value)| format!("{}:{value}", miniserde::json::to_string(key)))
        .collect();
    format!("{{{}}}", fields.join(","))
}
