//! A change of the configuration, by PUT or PATCH, on top of the document in force.

use crate::fields::Fields;
use crate::order::Order;
use crate::refusal::Refusal;
use crate::table::Table;
use crate::text;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A whole configuration as it was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its number, 1 or higher.
    pub version: u64,
    /// Its JSON without white space between tokens; all fields that were sent, known or not, in their order.
    pub text: String,
}

impl Document {
    /// A number for the text, the same in every process and release.
    pub fn digest(&self) -> u64 {
        sparrouter_rendezvous::hash(self.text.as_bytes())
    }
}

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
    pub order: Order,
    pub document: Document,
}

/// Reads what identifies an order, without judging it on any configuration.
///
/// # Errors
///
/// A [`Refusal`] where the body is no JSON object with a version: no release takes such an order.
pub fn read_order(method: Method, body: &[u8], if_match: Option<u64>) -> Result<Order, Refusal> {
    let (sent, tree) = text::read(body)?;
    let version = Fields::root(&tree)?.version()?;
    Ok(Order::new(method, base_of(if_match), version, &sent))
}

/// The version that an order builds on: a missing `If-Match` counts as 0.
pub fn base_of(if_match: Option<u64>) -> u64 {
    if_match.unwrap_or(0)
}

/// Checks a change in whole on top of `current` (None: none taken yet, its number counts as 0) and gives the
/// document that it makes. Pure, the same on every node.
///
/// `if_match` is the value of `If-Match` where it was a number. One that is missing counts as 0: it suits the first
/// configuration only and is stale (412) after that.
///
/// A PATCH replaces items in place by their name, adds new ones at the end, passes over the removal of names that
/// are not there, and takes `limits` beside `upsert_items` for the new limits. What it makes is checked as a whole.
///
/// # Errors
///
/// A [`Refusal`]; staleness is looked at first.
pub fn change(
    method: Method,
    body: &[u8],
    if_match: Option<u64>,
    current: Option<&Document>,
) -> Result<Document, Refusal> {
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
) -> Result<Accepted, Refusal> {
    let in_force = current.map_or(0, |document| document.version);
    if base_of(if_match) != in_force {
        return Err(Refusal::Stale {
            sent: if_match,
            current: in_force,
        });
    }
    let (sent, tree) = text::read(body)?;
    let version = Fields::root(&tree)?.version()?;
    drop(tree);
    if version <= in_force {
        return Err(Refusal::OldVersion {
            version,
            current: in_force,
        });
    }
    let order = Order::new(method, in_force, version, &sent);
    let text = match method {
        Method::Put => sent,
        Method::Patch => patch(&sent, current.ok_or(Refusal::NothingToPatch)?)?,
    };
    let document = Document { version, text };
    Table::read(&document)?;
    Ok(Accepted { order, document })
}

/// The text of `current` with the patch applied.
fn patch(sent: &str, current: &Document) -> Result<String, Refusal> {
    let (base, _) = text::read(current.text.as_bytes())?;
    // What the patch sets as it stands, and the lists that it alters by name.
    let mut set: Vec<(Cow<str>, Cow<str>)> = Vec::new();
    let (mut upserts, mut removals) = (Vec::new(), Vec::new());
    for (field, value) in text::fields(sent) {
        match field.as_ref() {
            "version" | "limits" => set.push((field, Cow::Borrowed(value))),
            "upsert_items" => upserts = lists(&field, value)?,
            "remove_names" => removals = lists(&field, value)?,
            // Passing over these would acknowledge a change that was not made.
            "routes" | "services" | "tenants" => {
                return Err(Refusal::WholeListInPatch {
                    field: field.into_owned(),
                });
            }
            _ => {}
        }
    }
    let removals: BTreeMap<Cow<str>, Vec<&str>> = removals.into_iter().collect();
    let removed = |list: &str| removals.get(list).map_or(&[][..], Vec::as_slice);
    let old = text::fields(&base);
    let place: HashMap<&str, usize> = old
        .iter()
        .enumerate()
        .map(|(i, (key, _))| (key.as_ref(), i))
        .collect();
    for (list, items) in &upserts {
        let old = place.get(list.as_ref()).map_or("[]", |&i| old[i].1);
        set.push((
            list.clone(),
            Cow::Owned(merge(list, old, items, removed(list))?),
        ));
    }
    let upserted: HashSet<&str> = upserts.iter().map(|(list, _)| list.as_ref()).collect();
    for (list, _) in removals
        .iter()
        .filter(|(list, _)| !upserted.contains(list.as_ref()))
    {
        // Nothing can be removed from a list that is not there.
        if let Some(&i) = place.get(list.as_ref()) {
            set.push((
                list.clone(),
                Cow::Owned(merge(list, old[i].1, &[], removed(list))?),
            ));
        }
    }
    let mut whole: Vec<(&str, &str)> = old
        .iter()
        .map(|(key, value)| (key.as_ref(), *value))
        .collect();
    for (key, value) in &set {
        match place.get(key.as_ref()) {
            Some(&i) => whole[i].1 = value,
            None => whole.push((key, value)),
        }
    }
    Ok(object(&whole))
}

/// The lists of `upsert_items` or `remove_names`, by the name of the list that they alter.
type Lists<'a> = Vec<(Cow<'a, str>, Vec<&'a str>)>;

fn lists<'a>(field: &str, value: &'a str) -> Result<Lists<'a>, Refusal> {
    if value == "null" {
        return Ok(Vec::new());
    }
    if !value.starts_with('{') {
        return Err(Refusal::WrongType {
            at: field.to_owned(),
            expected: "an object of lists",
        });
    }
    text::fields(value)
        .into_iter()
        .map(
            |(list, value)| match text::items(if value == "null" { "[]" } else { value }) {
                Some(items) => Ok((list, items)),
                None => Err(Refusal::WrongType {
                    at: format!("{field}.{list}"),
                    expected: "a list",
                }),
            },
        )
        .collect()
}

fn merge(list: &str, old: &str, upserts: &[&str], removals: &[&str]) -> Result<String, Refusal> {
    let old =
        text::items(if old == "null" { "[]" } else { old }).ok_or_else(|| Refusal::WrongType {
            at: list.to_owned(),
            expected: "a list of named items",
        })?;
    let mut removed = HashSet::new();
    for (i, literal) in removals.iter().enumerate() {
        let name = text::string(literal).ok_or_else(|| Refusal::WrongType {
            at: format!("remove_names.{list}[{i}]"),
            expected: "a name",
        })?;
        removed.insert(name);
    }
    let mut fresh: HashMap<String, &str> = HashMap::new();
    let mut order = Vec::new();
    for (i, item) in upserts.iter().enumerate() {
        let name = text::name_of(item).ok_or_else(|| Refusal::Missing {
            at: format!("upsert_items.{list}[{i}].name"),
        })?;
        if removed.contains(&name) {
            return Err(Refusal::Contradiction {
                list: list.to_owned(),
                name,
            });
        }
        if fresh.insert(name.clone(), item).is_some() {
            return Err(Refusal::SharedName {
                list: list.to_owned(),
                name,
            });
        }
        order.push(name);
    }
    let mut merged = Vec::with_capacity(old.len() + upserts.len());
    for &item in &old {
        match text::name_of(item) {
            Some(name) if removed.contains(&name) => {}
            Some(name) => merged.push(fresh.remove(&name).unwrap_or(item)),
            None => merged.push(item),
        }
    }
    merged.extend(order.iter().filter_map(|name| fresh.remove(name)));
    Ok(format!("[{}]", merged.join(",")))
}

fn object(fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(key, value)| format!("{}:{value}", miniserde::json::to_string(key)))
        .collect();
    format!("{{{}}}", fields.join(","))
}
