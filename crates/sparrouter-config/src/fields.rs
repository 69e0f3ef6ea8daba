//! Typed access to the fields of a JSON object; errors name the path of the field. `null` counts as absent.

use crate::error::ConfigError;
use miniserde::json::{Array, Number, Object, Value};

/// A JSON object and its place in the document. Its path is built for errors only.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    object: &'a Object,
    at: At<'a>,
}

/// The place of an object in its document.
#[derive(Clone, Copy)]
enum At<'a> {
    Root,
    Item {
        list: &'a str,
        index: usize,
        parent: &'a Fields<'a>,
    },
    Within {
        field: &'a str,
        parent: &'a Fields<'a>,
    },
}

impl<'a> Fields<'a> {
    /// The fields of a whole document, which must be an object.
    pub fn root(tree: &'a Value) -> Result<Fields<'a>, ConfigError> {
        match tree {
            Value::Object(object) => Ok(Fields {
                object,
                at: At::Root,
            }),
            _ => Err(ConfigError::WrongType {
                at: "the body".to_owned(),
                expected: "an object",
            }),
        }
    }

    /// The path of a field for an error, such as ``routes[3] (`login`).kind``.
    pub fn path(&self, field: &str) -> String {
        let own = match self.at {
            At::Root => return field.to_owned(),
            At::Item {
                list,
                index,
                parent,
            } => {
                let list = parent.path(list);
                match self.object.get("name") {
                    Some(Value::String(name)) => format!("{list}[{index}] (`{name}`)"),
                    _ => format!("{list}[{index}]"),
                }
            }
            At::Within { field, parent } => parent.path(field),
        };
        if field.is_empty() {
            own
        } else {
            format!("{own}.{field}")
        }
    }

    fn wrong<T>(&self, field: &str, expected: &'static str) -> Result<T, ConfigError> {
        Err(ConfigError::WrongType {
            at: self.path(field),
            expected,
        })
    }

    fn get(&self, field: &str) -> Option<&'a Value> {
        self.object
            .get(field)
            .filter(|value| !matches!(value, Value::Null))
    }

    /// A string.
    pub fn text(&self, field: &str) -> Result<Option<&'a str>, ConfigError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => self.wrong(field, "a string"),
        }
    }

    /// A string that must be present and not empty.
    pub fn needed_text(&self, field: &str) -> Result<&'a str, ConfigError> {
        match self.text(field)? {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(ConfigError::Missing {
                at: self.path(field),
            }),
        }
    }

    /// A whole number in the range of `T`. `6000.0` is one too.
    pub fn integer<T: TryFrom<u64>>(&self, field: &str) -> Result<Option<T>, ConfigError> {
        // Above 2^53 an `f64` cannot represent every whole number.
        const EXACT: f64 = (1u64 << 53) as f64;
        let number = match self.get(field) {
            None => return Ok(None),
            Some(Value::Number(Number::U64(n))) => Some(*n),
            Some(Value::Number(Number::I64(n))) => u64::try_from(*n).ok(),
            Some(Value::Number(Number::F64(n)))
                if n.fract() == 0.0 && (0.0..=EXACT).contains(n) =>
            {
                Some(*n as u64)
            }
            Some(_) => None,
        };
        match number.and_then(|n| T::try_from(n).ok()) {
            Some(n) => Ok(Some(n)),
            None => self.wrong(field, "a whole number from 0 up within its range"),
        }
    }

    /// The version number. It must be written as an integer, so that no parser rounds it.
    pub fn version(&self) -> Result<u64, ConfigError> {
        match self.get("version") {
            None => Err(ConfigError::Missing {
                at: self.path("version"),
            }),
            Some(Value::Number(Number::U64(n))) => Ok(*n),
            Some(_) => self.wrong("version", "an integer below 2^64"),
        }
    }

    /// Any number.
    pub fn decimal(&self, field: &str) -> Result<Option<f64>, ConfigError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Number(Number::U64(n))) => Ok(Some(*n as f64)),
            Some(Value::Number(Number::I64(n))) => Ok(Some(*n as f64)),
            Some(Value::Number(Number::F64(n))) => Ok(Some(*n)),
            Some(_) => self.wrong(field, "a number"),
        }
    }

    /// A boolean.
    pub fn flag(&self, field: &str) -> Result<Option<bool>, ConfigError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Bool(flag)) => Ok(Some(*flag)),
            Some(_) => self.wrong(field, "true or false"),
        }
    }

    /// A list of any values.
    pub fn list(&self, field: &str) -> Result<Option<&'a Array>, ConfigError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Array(list)) => Ok(Some(list)),
            Some(_) => self.wrong(field, "a list"),
        }
    }

    /// A list that must be present.
    pub fn needed_list(&self, field: &str) -> Result<&'a Array, ConfigError> {
        self.list(field)?.ok_or_else(|| ConfigError::Missing {
            at: self.path(field),
        })
    }

    /// A list of strings, none of them empty; an absent list is empty.
    pub fn texts(&self, field: &str) -> Result<Vec<String>, ConfigError> {
        let texts = self.list(field)?.into_iter().flat_map(|list| list.iter());
        texts
            .map(|value| match value {
                Value::String(text) if !text.is_empty() => Ok(text.clone()),
                _ => self.wrong(field, "a list of strings that are not empty"),
            })
            .collect()
    }

    /// The object in a field.
    pub fn within<'b>(&'b self, field: &'b str) -> Result<Option<Fields<'b>>, ConfigError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Object(object)) => Ok(Some(Fields {
                object,
                at: At::Within {
                    field,
                    parent: self,
                },
            })),
            Some(_) => self.wrong(field, "an object"),
        }
    }

    /// The objects of a list; an absent list is empty.
    pub fn objects<'b>(&'b self, field: &'b str) -> Result<Vec<Fields<'b>>, ConfigError> {
        let list = self.list(field)?.into_iter().flat_map(|list| list.iter());
        list.enumerate()
            .map(|(index, value)| match value {
                Value::Object(object) => Ok(Fields {
                    object,
                    at: At::Item {
                        list: field,
                        index,
                        parent: self,
                    },
                }),
                _ => Err(ConfigError::WrongType {
                    at: format!("{}[{index}]", self.path(field)),
                    expected: "an object",
                }),
            })
            .collect()
    }
}
