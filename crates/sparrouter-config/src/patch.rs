//! Applies a PATCH to the text of a document. The result consists of slices of both texts, so all other parts of the document
//! stay unchanged to the byte.

use crate::error::ConfigError;
use crate::json::{self, Field};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Default for an absent list.
const EMPTY_LIST: &str = "[]";

/// Applies a patch to the document `current` and returns the resulting text. Both inputs are without white space between
/// tokens.
pub(crate) fn apply(patch_text: &str, current: &str) -> Result<String, ConfigError> {
    let base = json::read(current.as_bytes())?.compact;
    let old_fields = json::fields(&base);
    let index: HashMap<&str, usize> = old_fields
        .iter()
        .enumerate()
        .map(|(index, field)| (field.key.as_ref(), index))
        .collect();
    let patch = Patch::read(patch_text)?;
    let lists = patch.merge_lists(|list| index.get(list).map(|&index| old_fields[index].value))?;

    let replaced = patch
        .replaced_fields
        .iter()
        .map(|field| (field.key.as_ref(), field.value));
    let merged = lists.iter().map(|list| (list.name, list.text.as_str()));
    let mut new_fields: Vec<(&str, &str)> = old_fields
        .iter()
        .map(|field| (field.key.as_ref(), field.value))
        .collect();
    for (key, value) in replaced.chain(merged) {
        // A field that the document lacks is appended once, even if the patch contains it both as a value and as a list.
        match new_fields.iter_mut().find(|(name, _)| *name == key) {
            Some((_, old_value)) => *old_value = value,
            None => new_fields.push((key, value)),
        }
    }
    Ok(object(&new_fields))
}

/// Whether a patch names no item to add, replace or remove, and no limits.
pub(crate) fn is_empty(patch_text: &str) -> bool {
    Patch::read(patch_text).is_ok_and(|patch| {
        let replaces_limits = patch.replaced_fields.iter().any(|f| f.key != "version");
        let has_upserts = patch.upserts.iter().any(|list| !list.items.is_empty());
        let has_removals = patch.removals.values().any(|names| !names.is_empty());
        !(replaces_limits || has_upserts || has_removals)
    })
}

/// The content of a patch, as slices of its text.
#[derive(Default)]
struct Patch<'a> {
    /// Fields whose values replace the document's: `version` and `limits`.
    replaced_fields: Vec<Field<'a>>,
    /// Items to replace or append, grouped by list.
    upserts: Vec<List<'a>>,
    /// Names of items to remove, as JSON strings, keyed by the name of their list.
    removals: BTreeMap<Cow<'a, str>, Vec<&'a str>>,
}

/// The items that a patch contains for one list of the document.
struct List<'a> {
    /// Name of the changed list of the document.
    name: Cow<'a, str>,
    items: Vec<&'a str>,
}

/// A list of the document after the patch was applied.
struct MergedList<'a> {
    name: &'a str,
    /// The JSON text of the list.
    text: String,
}

impl<'a> Patch<'a> {
    fn read(patch_text: &'a str) -> Result<Patch<'a>, ConfigError> {
        let mut patch = Patch::default();
        for field in json::fields(patch_text) {
            match field.key.as_ref() {
                "version" | "limits" => patch.replaced_fields.push(field),
                "upsert_items" => patch.upserts = read_lists(&field)?,
                "remove_names" => {
                    let lists = read_lists(&field)?;
                    patch.removals = lists.into_iter().map(|l| (l.name, l.items)).collect();
                }
                // Ignoring these fields would acknowledge a change that is not applied.
                "routes" | "services" | "tenants" => {
                    return Err(ConfigError::ListInPatch {
                        field: field.key.into_owned(),
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

    /// Merges the patch into each list that it changes. `old` returns the document's current list by name.
    fn merge_lists<'p>(
        &'p self,
        old: impl Fn(&str) -> Option<&'p str>,
    ) -> Result<Vec<MergedList<'p>>, ConfigError> {
        let mut merged = Vec::new();
        for List { name, items } in &self.upserts {
            let old_list = old(name).unwrap_or(EMPTY_LIST);
            let text = merge(name, old_list, items, self.removals_of(name))?;
            merged.push(MergedList { name, text });
        }
        let upserted: HashSet<&str> = self.upserts.iter().map(|list| list.name.as_ref()).collect();
        for (name, removals) in &self.removals {
            if upserted.contains(name.as_ref()) {
                continue;
            }
            // Nothing can be removed from a list that does not exist.
            let Some(old_list) = old(name) else {
                continue;
            };
            let text = merge(name, old_list, &[], removals)?;
            merged.push(MergedList { name, text });
        }
        Ok(merged)
    }
}

/// Reads `upsert_items` or `remove_names`, which are objects of lists. `null` counts as absent.
fn read_lists<'a>(field: &Field<'a>) -> Result<Vec<List<'a>>, ConfigError> {
    if field.value == "null" {
        return Ok(Vec::new());
    }
    if !field.value.starts_with('{') {
        return Err(ConfigError::WrongType {
            path: field.key.to_string(),
            expected: "an object of lists",
        });
    }
    json::fields(field.value)
        .into_iter()
        .map(|list| match items_or_null(list.value) {
            Some(items) => Ok(List {
                name: list.key,
                items,
            }),
            None => Err(ConfigError::WrongType {
                path: format!("{}.{}", field.key, list.key),
                expected: "a list",
            }),
        })
        .collect()
}

/// The items of a list; `null` counts as an empty list.
fn items_or_null(list: &str) -> Option<Vec<&str>> {
    json::items(if list == "null" { EMPTY_LIST } else { list })
}

/// Replaces, appends and removes items of the list `old` by name, and returns the resulting list.
fn merge(
    list: &str,
    old: &str,
    upserts: &[&str],
    removals: &[&str],
) -> Result<String, ConfigError> {
    let old = items_or_null(old).ok_or_else(|| ConfigError::WrongType {
        path: list.to_owned(),
        expected: "a list of named items",
    })?;
    let removed = read_removals(list, removals)?;
    let mut upserts = Upserts::read(list, upserts, &removed)?;
    let mut merged = Vec::with_capacity(old.len() + upserts.order.len());
    for &item in &old {
        match json::name_of(item) {
            Some(name) if removed.contains(&name) => {}
            Some(name) => merged.push(upserts.items.remove(&name).unwrap_or(item)),
            None => merged.push(item),
        }
    }
    let appended = upserts
        .order
        .iter()
        .filter_map(|name| upserts.items.remove(name));
    merged.extend(appended);
    Ok(format!("[{}]", merged.join(",")))
}

/// Decodes the names of the items to remove from a list.
fn read_removals(list: &str, removals: &[&str]) -> Result<HashSet<String>, ConfigError> {
    let read = |(index, literal): (usize, &&str)| {
        json::string(literal).ok_or_else(|| ConfigError::WrongType {
            path: format!("remove_names.{list}[{index}]"),
            expected: "a name",
        })
    };
    removals.iter().enumerate().map(read).collect()
}

/// The items to replace or append in a list.
struct Upserts<'a> {
    /// The JSON text of each item by its name.
    items: HashMap<String, &'a str>,
    /// The names of the items in the order sent.
    order: Vec<String>,
}

impl<'a> Upserts<'a> {
    /// Reads the items. Rejects a duplicate name and a name that is also to be removed.
    fn read(
        list: &str,
        upserts: &[&'a str],
        removed: &HashSet<String>,
    ) -> Result<Upserts<'a>, ConfigError> {
        let mut items: HashMap<String, &str> = HashMap::new();
        let mut order = Vec::new();
        for (index, item) in upserts.iter().enumerate() {
            let name = json::name_of(item).ok_or_else(|| ConfigError::Missing {
                path: format!("upsert_items.{list}[{index}].name"),
            })?;
            if removed.contains(&name) {
                return Err(ConfigError::Contradiction {
                    list: list.to_owned(),
                    name,
                });
            }
            if items.insert(name.clone(), item).is_some() {
                return Err(ConfigError::DuplicateName {
                    list: list.to_owned(),
                    name,
                });
            }
            order.push(name);
        }
        Ok(Upserts { items, order })
    }
}

/// Serializes fields as a JSON object. The values are JSON text.
fn object(fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(key, value)| format!("{}:{value}", miniserde::json::to_string(key)))
        .collect();
    format!("{{{}}}", fields.join(","))
}
