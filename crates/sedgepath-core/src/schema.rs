//! What a document may hold, as a table of fields, and a check that finds all mistakes at once.
//!
//! Records and settings are checked by the same walk. A parser into types stops at the first
//! mistake and does not say at which field of the document it is; the walk goes on and names the
//! path to each, so that the place in the operator's file can be shown.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::blocks::Cidr;
use crate::hash::Digest;

/// The longest name in characters.
const MAX_NAME_CHARS: usize = 64;

/// What a value may be.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A name: 1 to 64 lower-case letters, digits, `.`, `_` and `-`.
    Name,
    /// Text of at least so many characters.
    Text {
        /// The least length.
        least_chars: usize,
    },
    /// A whole number.
    Integer {
        /// The least value.
        least: u64,
        /// The greatest value.
        most: u64,
    },
    /// A finite number.
    Number {
        /// The least value.
        least: f64,
        /// The greatest value.
        most: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// An IP address and a port.
    Address,
    /// The digest of an organisation's key.
    Digest,
    /// A block of addresses in CIDR form.
    CidrBlock,
    /// The base URL of an HTTP service.
    Url,
    /// One of some words.
    OneOf(&'static [&'static str]),
    /// A list.
    List {
        /// What its items are.
        of: &'static Shape,
        /// The least number of items.
        least: usize,
    },
    /// A mapping with these fields.
    Object(&'static [Field]),
}

/// A field of a mapping.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Its name.
    pub name: &'static str,
    /// What it holds.
    pub shape: Shape,
    /// What holds if it is left out; none if it may not be left out.
    pub default: Option<&'static str>,
    /// The schema that it came with.
    pub since_schema: u32,
    /// What it means, with its unit.
    pub description: &'static str,
}

impl Field {
    /// Creates a field of the first schema that may not be left out.
    pub const fn required(name: &'static str, shape: Shape, meaning: &'static str) -> Self {
        Self { name, shape, default: None, since_schema: 1, description: meaning }
    }

    /// Creates a field of the first schema that has a default.
    pub const fn optional(
        name: &'static str,
        shape: Shape,
        default: &'static str,
        meaning: &'static str,
    ) -> Self {
        Self { name, shape, default: Some(default), since_schema: 1, description: meaning }
    }
}

/// A step from a document to a part of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PathSegment {
    /// Into a field of a mapping.
    Field(Box<str>),
    /// To an item of a list, counted from 0.
    Item(usize),
}

/// The way from a document to a part of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ValuePath(pub Vec<PathSegment>);

impl ValuePath {
    /// Returns the path of a field of the document.
    pub fn field(name: &str) -> Self {
        Self::default().with_field(name)
    }

    /// Goes on into a field.
    pub fn with_field(&self, name: &str) -> Self {
        self.with(PathSegment::Field(name.into()))
    }

    /// Goes on to an item.
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
                PathSegment::Item(item) => write!(f, "[{item}]")?,
            }
        }
        Ok(())
    }
}

/// What is wrong with a value, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// A field is missing.
    #[error("the field `{field}` is missing: {meaning}")]
    Missing {
        /// The field.
        field: Box<str>,
        /// What it means.
        meaning: Box<str>,
    },
    /// No such field.
    #[error("there is no field `{field}` here; the fields are {known}")]
    UnknownField {
        /// The field.
        field: Box<str>,
        /// The fields that there are.
        known: Box<str>,
    },
    /// The field came with a newer schema.
    #[error("`{field}` came with schema {since}, and this record says `schema: {schema}`")]
    TooNew {
        /// The field.
        field: Box<str>,
        /// The schema that it came with.
        since: u32,
        /// The schema of the document.
        schema: u32,
    },
    /// The value is of another type.
    #[error("this is {found}; it should be {expected}")]
    Type {
        /// What was found.
        found: Box<str>,
        /// What would be right.
        expected: Box<str>,
    },
    /// The value is too small or too large.
    #[error("{found} is out of range; it should be from {least} to {most}")]
    Range {
        /// What was found.
        found: Box<str>,
        /// The least value.
        least: Box<str>,
        /// The greatest value.
        most: Box<str>,
    },
    /// The text is no name.
    #[error(
        "`{found}` is no name; a name has 1 to 64 of the characters a-z, 0-9, `.`, `_` and `-`"
    )]
    Name {
        /// What was found.
        found: Box<str>,
    },
    /// The text is too short.
    #[error("the text is too short; it should have at least {least} characters")]
    Short {
        /// The least length.
        least: usize,
    },
    /// The text is no address with a port.
    #[error("`{found}` is no address; it should be an IP address and a port, like 192.0.2.1:8080")]
    Address {
        /// What was found.
        found: Box<str>,
    },
    /// The text is no digest.
    #[error("`{found}` is no digest; it should be the 32 digits that `sedgepath key` prints")]
    Digest {
        /// What was found.
        found: Box<str>,
    },
    /// The text is no block.
    #[error("`{found}` is no block of addresses like 192.0.2.0/24: {reason}")]
    Block {
        /// What was found.
        found: Box<str>,
        /// Why.
        reason: Box<str>,
    },
    /// The text is no URL.
    #[error("`{found}` is no URL; it should be like http://192.0.2.1:8080")]
    Url {
        /// What was found.
        found: Box<str>,
    },
    /// The word is none of those known.
    #[error("`{found}` is not known here; it should be one of {known}")]
    Choice {
        /// What was found.
        found: Box<str>,
        /// The words known.
        known: Box<str>,
    },
    /// The list is too short.
    #[error("the list has {found} items; it should have at least {least}")]
    Items {
        /// The items found.
        found: usize,
        /// The least number.
        least: usize,
    },
}

/// A fault and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedFault<F> {
    /// The way to the value.
    pub path: ValuePath,
    /// What is wrong.
    pub fault: F,
}

/// Finds everything that is wrong with a document that follows a schema of its kind.
pub fn check(document: &Value, fields: &'static [Field], schema: u32) -> Vec<LocatedFault<Fault>> {
    let mut walk = Walk { schema, faults: Vec::new() };
    walk.value(document, &Shape::Object(fields), &ValuePath::default());
    walk.faults
}

/// Whether a text is a name.
pub fn is_name(text: &str) -> bool {
    let plain = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '.' | '_' | '-');
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.chars().all(plain)
}

#[derive(Debug)]
struct Walk {
    schema: u32,
    faults: Vec<LocatedFault<Fault>>,
}

impl Walk {
    fn fault(&mut self, path: &ValuePath, fault: Fault) {
        self.faults.push(LocatedFault { path: path.clone(), fault });
    }

    fn wrong_type(&mut self, value: &Value, expected: &str, path: &ValuePath) {
        let found = match value {
            Value::Null => "empty",
            Value::Bool(_) => "true or false",
            Value::Number(_) => "a number",
            Value::String(_) => "text",
            Value::Array(_) => "a list",
            Value::Object(_) => "a mapping",
        };
        self.fault(path, Fault::Type { found: found.into(), expected: expected.into() });
    }

    fn value(&mut self, value: &Value, shape: &Shape, path: &ValuePath) {
        match shape {
            Shape::Integer { least, most } => self.integer(value, *least, *most, path),
            Shape::Number { least, most } => self.number(value, *least, *most, path),
            Shape::Boolean if value.is_boolean() => {}
            Shape::Boolean => self.wrong_type(value, "`true` or `false`", path),
            Shape::List { of, least } => match value {
                Value::Array(items) => self.list(items, of, *least, path),
                _ => self.wrong_type(value, "a list", path),
            },
            Shape::Object(fields) => match value {
                Value::Object(object) => self.object(object, fields, path),
                _ => self.wrong_type(value, "a mapping", path),
            },
            _ => match value {
                Value::String(text) => self.text(text, shape, path),
                _ => self.wrong_type(value, "text, in quotes if it looks like a number", path),
            },
        }
    }

    fn text(&mut self, text: &str, shape: &Shape, path: &ValuePath) {
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
        self.fault(path, fault);
    }

    fn integer(&mut self, value: &Value, least: u64, most: u64, path: &ValuePath) {
        match value {
            Value::Number(number) => match number.as_u64() {
                Some(integer) if (least..=most).contains(&integer) => {}
                _ => self.range(number, least, most, path),
            },
            _ => self.wrong_type(value, "a whole number", path),
        }
    }

    fn number(&mut self, value: &Value, least: f64, most: f64, path: &ValuePath) {
        match value {
            Value::Number(number) => match number.as_f64() {
                Some(float) if (least..=most).contains(&float) => {}
                _ => self.range(number, least, most, path),
            },
            _ => self.wrong_type(value, "a number", path),
        }
    }

    fn range(
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
        self.fault(path, fault);
    }

    fn list(&mut self, items: &[Value], of: &Shape, least: usize, path: &ValuePath) {
        if items.len() < least {
            self.fault(path, Fault::Items { found: items.len(), least });
        }
        for (index, item) in items.iter().enumerate() {
            self.value(item, of, &path.with_item(index));
        }
    }

    fn object(&mut self, object: &Map<String, Value>, fields: &'static [Field], path: &ValuePath) {
        for field in fields {
            let at = path.with_field(field.name);
            match object.get(field.name) {
                Some(_) if field.since_schema > self.schema => {
                    let fault = Fault::TooNew {
                        field: field.name.into(),
                        since: field.since_schema,
                        schema: self.schema,
                    };
                    self.fault(&at, fault);
                }
                Some(value) => self.value(value, &field.shape, &at),
                None if field.default.is_none() => {
                    let fault = Fault::Missing {
                        field: field.name.into(),
                        meaning: field.description.into(),
                    };
                    self.fault(path, fault);
                }
                None => {}
            }
        }
        for name in object.keys().filter(|name| fields.iter().all(|field| field.name != **name)) {
            let names: Vec<_> = fields.iter().map(|field| field.name).collect();
            let fault = Fault::UnknownField { field: name.as_str().into(), known: quoted(&names) };
            self.fault(&path.with_field(name), fault);
        }
    }
}

fn is_url(text: &str) -> bool {
    let host = text.strip_prefix("http://").unwrap_or_default();
    !host.is_empty() && !host.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// Writes words in quotes, separated by commas.
fn quoted(words: &[&str]) -> Box<str> {
    let words: Vec<_> = words.iter().map(|word| format!("`{word}`")).collect();
    words.join(", ").into()
}
