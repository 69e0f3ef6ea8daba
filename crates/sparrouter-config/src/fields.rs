//! Typed access to the fields of a JSON object; errors name the path of the field. `null` counts as absent.
//!
//! Unknown fields are ignored, so that a configuration written for a newer release can be read.

use crate::error::ConfigError;
use miniserde::json::{Array, Number, Object, Value};

/// The largest `f64` up to which every integer is represented exactly: 2^53.
const MAX_EXACT_FLOAT: f64 = (1u64 << 53) as f64;

/// A JSON object and its location in the document. The object's path is computed only for errors.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    object: &'a Object,
    location: Location<'a>,
}

/// The location of an object in its document.
#[derive(Clone, Copy)]
enum Location<'a> {
    /// The object is the document itself.
    Root,
    /// The object is item `index` of the list in the field `list` of `parent`.
    Item {
        list: &'a str,
        index: usize,
        parent: &'a Fields<'a>,
    },
    /// The object is the value of the field `field` of `parent`.
    Field {
        field: &'a str,
        parent: &'a Fields<'a>,
    },
}

impl<'a> Fields<'a> {
    /// The fields of a document. Fails if the document is not an object.
    pub fn root(tree: &'a Value) -> Result<Fields<'a>, ConfigError> {
        match tree {
            Value::Object(object) => Ok(Fields {
                object,
                location: Location::Root,
            }),
            _ => Err(ConfigError::WrongType {
                path: "the body".to_owned(),
                expected: "an object",
            }),
        }
    }

    /// The path of a field for error messages, such as ``routes[3] (`login`).kind``; the path of the object if `field` is empty.
    pub fn path(&self, field: &str) -> String {
        let object_path = match self.location {
            Location::Root => return field.to_owned(),
            Location::Item {
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
            Location::Field { field, parent } => parent.path(field),
        };
        if field.is_empty() {
            object_path
        } else {
            format!("{object_path}.{field}")
        }
    }

    /// The error for a required field that is absent.
    pub fn missing(&self, field: &str) -> ConfigError {
        ConfigError::Missing {
            path: self.path(field),
        }
    }

    fn wrong_type(&self, field: &str, expected: &'static str) -> ConfigError {
        ConfigError::WrongType {
            path: self.path(field),
            expected,
        }
    }

    /// The value of a field, converted by `read`; `None` if the field is absent. If `read` rejects the value, the error says
    /// that it is not `expected`.
    fn read<T>(
        &self,
        field: &str,
        expected: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, ConfigError> {
        match self.object.get(field) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => read(value)
                .map(Some)
                .ok_or_else(|| self.wrong_type(field, expected)),
        }
    }

    /// The value of a string field.
    pub fn string(&self, field: &str) -> Result<Option<&'a str>, ConfigError> {
        self.read(field, "a string", |value| match value {
            Value::String(text) => Some(text.as_str()),
            _ => None,
        })
    }

    /// The value of a required string field that must not be empty.
    pub fn required_string(&self, field: &str) -> Result<&'a str, ConfigError> {
        self.string(field)?
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.missing(field))
    }

    /// The value of an integer field, in the range of `T`. `6000.0` counts as an integer.
    pub fn integer<T: TryFrom<u64>>(&self, field: &str) -> Result<Option<T>, ConfigError> {
        let expected = "a non-negative integer within its range";
        self.read(field, expected, |value| match value {
            Value::Number(number) => integer_of(number).and_then(|n| T::try_from(n).ok()),
            _ => None,
        })
    }

    /// The version number. Must be an integer literal, so that no parser rounds it.
    pub fn version(&self) -> Result<u64, ConfigError> {
        let version = self.read("version", "an integer below 2^64", |value| match value {
            Value::Number(Number::U64(number)) => Some(*number),
            _ => None,
        })?;
        version.ok_or_else(|| self.missing("version"))
    }

    /// The value of a numeric field.
    pub fn number(&self, field: &str) -> Result<Option<f64>, ConfigError> {
        self.read(field, "a number", |value| match value {
            Value::Number(Number::U64(number)) => Some(*number as f64),
            Value::Number(Number::I64(number)) => Some(*number as f64),
            Value::Number(Number::F64(number)) => Some(*number),
            _ => None,
        })
    }

    /// The value of a numeric field that must be finite and 0 or more.
    pub fn non_negative_number(&self, field: &str) -> Result<Option<f64>, ConfigError> {
        match self.number(field)? {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(self.wrong_type(field, "a number of 0 or more"))
            }
            number => Ok(number),
        }
    }

    /// The value of a boolean field.
    pub fn boolean(&self, field: &str) -> Result<Option<bool>, ConfigError> {
        self.read(field, "true or false", |value| match value {
            Value::Bool(flag) => Some(*flag),
            _ => None,
        })
    }

    /// The value of a list field.
    pub fn list(&self, field: &str) -> Result<Option<&'a Array>, ConfigError> {
        self.read(field, "a list", |value| match value {
            Value::Array(list) => Some(list),
            _ => None,
        })
    }

    /// The value of a required list field.
    pub fn required_list(&self, field: &str) -> Result<&'a Array, ConfigError> {
        self.list(field)?.ok_or_else(|| self.missing(field))
    }

    /// The items of a list of non-empty strings; empty if the field is absent.
    pub fn strings(&self, field: &str) -> Result<Vec<String>, ConfigError> {
        let values = self.list(field)?.into_iter().flat_map(|list| list.iter());
        values
            .map(|value| match value {
                Value::String(text) if !text.is_empty() => Ok(text.clone()),
                _ => Err(self.wrong_type(field, "a list of non-empty strings")),
            })
            .collect()
    }

    /// The value of an object field.
    pub fn object<'b>(&'b self, field: &'b str) -> Result<Option<Fields<'b>>, ConfigError> {
        self.read(field, "an object", |value| match value {
            Value::Object(object) => Some(Fields {
                object,
                location: Location::Field {
                    field,
                    parent: self,
                },
            }),
            _ => None,
        })
    }

    /// The items of a list of objects; empty if the field is absent.
    pub fn objects<'b>(&'b self, field: &'b str) -> Result<Vec<Fields<'b>>, ConfigError> {
        let values = self.list(field)?.into_iter().flat_map(|list| list.iter());
        values
            .enumerate()
            .map(|(index, value)| match value {
                Value::Object(object) => Ok(Fields {
                    object,
                    location: Location::Item {
                        list: field,
                        index,
                        parent: self,
                    },
                }),
                _ => Err(ConfigError::WrongType {
                    path: format!("{}[{index}]", self.path(field)),
                    expected: "an object",
                }),
            })
            .collect()
    }

    /// The items of a list of objects, each converted by `read`; empty if the field is absent.
    pub fn read_list<T>(
        &self,
        list: &str,
        read: impl Fn(&Fields) -> Result<T, ConfigError>,
    ) -> Result<Vec<T>, ConfigError> {
        self.objects(list)?.iter().map(read).collect()
    }
}

/// Converts a number to an integer from 0 to 2^64 - 1. Accepts a float only if it is integral and at most 2^53.
fn integer_of(number: &Number) -> Option<u64> {
    match number {
        Number::U64(number) => Some(*number),
        Number::I64(number) => u64::try_from(*number).ok(),
        Number::F64(number) => {
            let is_exact = number.fract() == 0.0 && (0.0..=MAX_EXACT_FLOAT).contains(number);
            is_exact.then_some(*number as u64)
        }
    }
}
