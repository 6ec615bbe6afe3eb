//! Document schemas as tables of fields, and a validator for records and settings.
//!
//! Deserialization stops at the first error and does not report its path in the document. The
//! validator reports every error with its path, so that its location in the operator's file can be
//! shown.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::blocks::Cidr;
use crate::hash::Digest;

/// The maximum length of a name in characters.
const MAX_NAME_CHARS: usize = 64;

/// The type of a value.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A name: 1 to 64 lower-case letters, digits, `.`, `_` and `-`.
    Name,
    /// Text of a minimum length.
    Text {
        /// The minimum length in characters.
        least_chars: usize,
    },
    /// A non-negative integer.
    Integer {
        /// The minimum, inclusive.
        least: u64,
        /// The maximum, inclusive.
        most: u64,
    },
    /// A finite number.
    Number {
        /// The minimum, inclusive.
        least: f64,
        /// The maximum, inclusive.
        most: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// An IP address and a port.
    Address,
    /// The digest of an organisation's key, in hexadecimal digits.
    Digest,
    /// A block of addresses in CIDR notation.
    CidrBlock,
    /// The base URL of an HTTP service.
    Url,
    /// One of the given words.
    OneOf(&'static [&'static str]),
    /// A list.
    List {
        /// The type of the items.
        of: &'static Shape,
        /// The minimum number of items.
        least: usize,
    },
    /// A mapping with these fields.
    Object(&'static [Field]),
}

/// A field of a mapping.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// The key in the mapping.
    pub name: &'static str,
    /// The type of the value.
    pub shape: Shape,
    /// A description of the default value; `None` if the field is required.
    pub default: Option<&'static str>,
    /// The first schema that has the field.
    pub since_schema: u32,
    /// The meaning of the value, with its unit.
    pub description: &'static str,
}

impl Field {
    /// Creates a required field, present since schema 1.
    pub const fn required(name: &'static str, shape: Shape, description: &'static str) -> Self {
        Self { name, shape, default: None, since_schema: 1, description }
    }

    /// Creates an optional field, present since schema 1.
    pub const fn optional(
        name: &'static str,
        shape: Shape,
        default: &'static str,
        description: &'static str,
    ) -> Self {
        Self { name, shape, default: Some(default), since_schema: 1, description }
    }
}

/// One segment of a [`ValuePath`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PathSegment {
    /// The field of a mapping.
    Field(Box<str>),
    /// The index of a list item, from 0.
    Item(usize),
}

/// The location of a value in a document; empty for the document itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ValuePath(pub Vec<PathSegment>);

impl ValuePath {
    /// Returns the path of a top-level field.
    pub fn field(name: &str) -> Self {
        Self::default().with_field(name)
    }

    /// Returns this path extended by a field.
    pub fn with_field(&self, name: &str) -> Self {
        self.with(PathSegment::Field(name.into()))
    }

    /// Returns this path extended by a list index.
    pub fn with_item(&self, index: usize) -> Self {
        self.with(PathSegment::Item(index))
    }

    fn with(&self, segment: PathSegment) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment);
        Self(segments)
    }
}

impl fmt::Display for ValuePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, segment) in self.0.iter().enumerate() {
            match segment {
                PathSegment::Field(name) if index == 0 => f.write_str(name)?,
                PathSegment::Field(name) => write!(f, ".{name}")?,
                PathSegment::Item(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// A mismatch between a value and its schema.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A required field is missing.
    #[error("the field `{field}` is missing: {meaning}")]
    Missing {
        /// The name of the field.
        field: Box<str>,
        /// The description of the field.
        meaning: Box<str>,
    },
    /// The mapping has a field that the schema does not know.
    #[error("there is no field `{field}` here; the fields are {known}")]
    UnknownField {
        /// The name of the field.
        field: Box<str>,
        /// The known fields.
        known: Box<str>,
    },
    /// The field requires a newer schema than the document's.
    #[error("`{field}` came with schema {since}, and this record says `schema: {schema}`")]
    TooNew {
        /// The name of the field.
        field: Box<str>,
        /// The first schema that has the field.
        since: u32,
        /// The schema of the document.
        schema: u32,
    },
    /// The value has the wrong type.
    #[error("this is {found}; it should be {expected}")]
    Type {
        /// The type found.
        found: Box<str>,
        /// The type expected.
        expected: Box<str>,
    },
    /// The number is out of range or not an integer.
    #[error("{found} is out of range; it should be from {least} to {most}")]
    Range {
        /// The number found.
        found: Box<str>,
        /// The minimum, inclusive.
        least: Box<str>,
        /// The maximum, inclusive.
        most: Box<str>,
    },
    /// The text is not a valid name.
    #[error(
        "`{found}` is no name; a name has 1 to 64 of the characters a-z, 0-9, `.`, `_` and `-`"
    )]
    Name {
        /// The text found.
        found: Box<str>,
    },
    /// The text is too short.
    #[error("the text is too short; it should have at least {least} characters")]
    Short {
        /// The minimum length in characters.
        least: usize,
    },
    /// The text is not an IP address with a port.
    #[error("`{found}` is no address; it should be an IP address and a port, like 192.0.2.1:8080")]
    Address {
        /// The text found.
        found: Box<str>,
    },
    /// The text is not a key digest.
    #[error("`{found}` is no digest; it should be the 32 digits that `sedgepath key` prints")]
    Digest {
        /// The text found.
        found: Box<str>,
    },
    /// The text is not a CIDR block.
    #[error("`{found}` is no block of addresses like 192.0.2.0/24: {reason}")]
    Block {
        /// The text found.
        found: Box<str>,
        /// The parser's error.
        reason: Box<str>,
    },
    /// The text is not a URL.
    #[error("`{found}` is no URL; it should be like http://192.0.2.1:8080")]
    Url {
        /// The text found.
        found: Box<str>,
    },
    /// The text is not one of the allowed words.
    #[error("`{found}` is not known here; it should be one of {known}")]
    Choice {
        /// The text found.
        found: Box<str>,
        /// The allowed words.
        known: Box<str>,
    },
    /// The list is too short.
    #[error("the list has {found} items; it should have at least {least}")]
    Items {
        /// The number of items.
        found: usize,
        /// The minimum number of items.
        least: usize,
    },
}

/// A fault with its location in the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedFault<F> {
    /// The path of the invalid value, or of the enclosing mapping if a field is missing.
    pub path: ValuePath,
    /// The mismatch.
    pub fault: F,
}

/// Returns all mismatches between a document and its fields as of the given schema.
pub fn check(document: &Value, fields: &'static [Field], schema: u32) -> Vec<LocatedFault<Fault>> {
    let mut validator = Validator { schema, faults: Vec::new() };
    validator.check_value(document, &Shape::Object(fields), &ValuePath::default());
    validator.faults
}

/// Returns whether a text is a valid name; see [`Shape::Name`].
pub fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '.' | '_' | '-');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.chars().all(is_allowed)
}

/// Validates a document and collects its faults.
#[derive(Debug)]
struct Validator {
    schema: u32,
    faults: Vec<LocatedFault<Fault>>,
}

impl Validator {
    fn report(&mut self, path: &ValuePath, fault: Fault) {
        self.faults.push(LocatedFault { path: path.clone(), fault });
    }

    fn report_type(&mut self, value: &Value, expected: &str, path: &ValuePath) {
        let found = match value {
            Value::Null => "empty",
            Value::Bool(_) => "true or false",
            Value::Number(_) => "a number",
            Value::String(_) => "text",
            Value::Array(_) => "a list",
            Value::Object(_) => "a mapping",
        };
        self.report(path, Fault::Type { found: found.into(), expected: expected.into() });
    }

    fn check_value(&mut self, value: &Value, shape: &Shape, path: &ValuePath) {
        match shape {
            Shape::Integer { least, most } => self.check_integer(value, *least, *most, path),
            Shape::Number { least, most } => self.check_number(value, *least, *most, path),
            Shape::Boolean if value.is_boolean() => {}
            Shape::Boolean => self.report_type(value, "`true` or `false`", path),
            Shape::List { of, least } => match value {
                Value::Array(items) => self.check_list(items, of, *least, path),
                _ => self.report_type(value, "a list", path),
            },
            Shape::Object(fields) => match value {
                Value::Object(object) => self.check_object(object, fields, path),
                _ => self.report_type(value, "a mapping", path),
            },
            _ => match value {
                Value::String(text) => self.check_text(text, shape, path),
                _ => self.report_type(value, "text, in quotes if it looks like a number", path),
            },
        }
    }

    fn check_text(&mut self, text: &str, shape: &Shape, path: &ValuePath) {
        let found = || text.into();
        let fault = match shape {
            Shape::Name if !is_name(text) => Fault::Name { found: found() },
            Shape::Text { least_chars } if text.chars().count() < *least_chars => {
                Fault::Short { least: *least_chars }
            }
            Shape::Address if text.parse::<SocketAddr>().is_err() => {
                Fault::Address { found: found() }
            }
            Shape::Digest if Digest::from_hex(text).is_none() => Fault::Digest { found: found() },
            Shape::CidrBlock => match Cidr::parse(text) {
                Ok(_) => return,
                Err(error) => Fault::Block { found: found(), reason: error.to_string().into() },
            },
            Shape::Url if !is_url(text) => Fault::Url { found: found() },
            Shape::OneOf(words) if !words.contains(&text) => {
                Fault::Choice { found: found(), known: quoted(words) }
            }
            _ => return,
        };
        self.report(path, fault);
    }

    fn check_integer(&mut self, value: &Value, least: u64, most: u64, path: &ValuePath) {
        match value {
            Value::Number(number) => match number.as_u64() {
                Some(integer) if (least..=most).contains(&integer) => {}
                _ => self.report_range(number, least, most, path),
            },
            _ => self.report_type(value, "a whole number", path),
        }
    }

    fn check_number(&mut self, value: &Value, least: f64, most: f64, path: &ValuePath) {
        match value {
            Value::Number(number) => match number.as_f64() {
                Some(float) if (least..=most).contains(&float) => {}
                _ => self.report_range(number, least, most, path),
            },
            _ => self.report_type(value, "a number", path),
        }
    }

    fn report_range(
        &mut self,
        found: &serde_json::Number,
        least: impl fmt::Display,
        most: impl fmt::Display,
        path: &ValuePath,
    ) {
        let fault = Fault::Range {
            found: found.to_string().into(),
            least: least.to_string().into(),
            most: most.to_string().into(),
        };
        self.report(path, fault);
    }

    fn check_list(&mut self, items: &[Value], item_shape: &Shape, least: usize, path: &ValuePath) {
        if items.len() < least {
            self.report(path, Fault::Items { found: items.len(), least });
        }
        for (index, item) in items.iter().enumerate() {
            self.check_value(item, item_shape, &path.with_item(index));
        }
    }

    fn check_object(
        &mut self,
        object: &Map<String, Value>,
        fields: &'static [Field],
        path: &ValuePath,
    ) {
        for field in fields {
            let field_path = path.with_field(field.name);
            match object.get(field.name) {
                Some(_) if field.since_schema > self.schema => {
                    let fault = Fault::TooNew {
                        field: field.name.into(),
                        since: field.since_schema,
                        schema: self.schema,
                    };
                    self.report(&field_path, fault);
                }
                Some(value) => self.check_value(value, &field.shape, &field_path),
                None if field.default.is_none() => {
                    let fault = Fault::Missing {
                        field: field.name.into(),
                        meaning: field.description.into(),
                    };
                    self.report(path, fault);
                }
                None => {}
            }
        }
        for unknown_name in
            object.keys().filter(|name| fields.iter().all(|field| field.name != **name))
        {
            let names: Vec<_> = fields.iter().map(|field| field.name).collect();
            let fault =
                Fault::UnknownField { field: unknown_name.as_str().into(), known: quoted(&names) };
            self.report(&path.with_field(unknown_name), fault);
        }
    }
}

fn is_url(text: &str) -> bool {
    let host = text.strip_prefix("http://").unwrap_or_default();
    !host.is_empty() && !host.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// Returns the words in backticks, separated by commas.
fn quoted(words: &[&str]) -> Box<str> {
    let words: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    words.join(", ").into()
}
