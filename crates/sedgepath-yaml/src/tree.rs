//! The parts of a document and their places.

use std::fmt;

use sedgepath_core::schema::{PathSegment, ValuePath};
use serde::de::{Deserialize, Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde_json::{Number, Value};
use serde_saphyr::{Location, Spanned};

/// A place in a file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Span {
    /// The offset of its first byte.
    pub offset: usize,
    /// Its length in bytes.
    pub bytes: usize,
}

impl From<Location> for Span {
    fn from(location: Location) -> Self {
        let span = location.span();
        Self {
            offset: span.byte_offset().unwrap_or_default() as usize,
            bytes: span.byte_len().unwrap_or_default() as usize,
        }
    }
}

/// A part of a document.
#[derive(Debug, Clone, PartialEq)]
pub struct YamlNode {
    /// What it holds.
    pub content: YamlValue,
    /// Where it stands.
    pub span: Span,
}

/// What a part of a document holds.
#[derive(Debug, Clone, PartialEq)]
pub enum YamlValue {
    /// Nothing.
    Null,
    /// `true` or `false`.
    Flag(bool),
    /// A number.
    Number(Number),
    /// A text.
    Text(Box<str>),
    /// A list.
    List(Vec<YamlNode>),
    /// A mapping.
    Mapping(Vec<Entry>),
}

/// An entry of a mapping.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its key.
    pub key: Box<str>,
    /// Where the key stands.
    pub key_span: Span,
    /// Its value.
    pub value: YamlNode,
}

/// A file that is no YAML.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct ReadError {
    /// What the parser found.
    pub message: Box<str>,
    /// Where.
    pub span: Span,
}

/// Reads all documents of a file; empty ones are left out.
///
/// # Errors
///
/// Fails if the text is no YAML, or a mapping has a key twice.
pub fn parse(text: &str) -> Result<Vec<YamlNode>, ReadError> {
    let documents: Vec<YamlNode> = serde_saphyr::from_multiple(text).map_err(|error| {
        let plain = error.without_snippet();
        let span = plain.location().map(|location| place_of_error(text, location));
        let span = span.unwrap_or_default();
        ReadError { message: plain.to_string().into(), span }
    })?;
    Ok(documents.into_iter().filter(|document| document.content != YamlValue::Null).collect())
}

/// The places of some errors have a line and a column only.
fn place_of_error(text: &str, location: Location) -> Span {
    if location.span().byte_offset().is_some_and(|offset| offset > 0) {
        return location.into();
    }
    let before = text.split_inclusive('\n').take(location.line().saturating_sub(1) as usize);
    let line_offset: usize = before.map(str::len).sum();
    let line = text.get(line_offset..).unwrap_or_default();
    let column = location.column().saturating_sub(1) as usize;
    let column_offset = line.char_indices().nth(column).map_or(0, |(offset, _)| offset);
    Span { offset: line_offset + column_offset, bytes: 1 }
}

impl YamlNode {
    /// Returns the value of a field of a mapping.
    pub fn field(&self, name: &str) -> Option<&Self> {
        self.entry(name).map(|entry| &entry.value)
    }

    fn entry(&self, name: &str) -> Option<&Entry> {
        match &self.content {
            YamlValue::Mapping(entries) => entries.iter().find(|entry| &*entry.key == name),
            _ => None,
        }
    }

    /// Returns the same as JSON.
    pub fn to_json(&self) -> Value {
        match &self.content {
            YamlValue::Null => Value::Null,
            YamlValue::Flag(flag) => Value::Bool(*flag),
            YamlValue::Number(number) => Value::Number(number.clone()),
            YamlValue::Text(text) => Value::String(text.to_string()),
            YamlValue::List(items) => items.iter().map(Self::to_json).collect(),
            YamlValue::Mapping(entries) => {
                entries.iter().map(|entry| (entry.key.to_string(), entry.value.to_json())).collect()
            }
        }
    }

    /// Returns the place of the key that a path ends with, if it ends with one.
    pub fn key_place(&self, path: &ValuePath) -> Option<Span> {
        let (PathSegment::Field(name), parent) = path.0.split_last()? else { return None };
        let parent = parent.iter().try_fold(self, |tree, segment| tree.step(segment))?;
        parent.entry(name).map(|entry| entry.key_span)
    }

    fn step(&self, segment: &PathSegment) -> Option<&Self> {
        match (segment, &self.content) {
            (PathSegment::Field(name), _) => self.field(name),
            (PathSegment::Item(index), YamlValue::List(items)) => items.get(*index),
            (PathSegment::Item(_), _) => None,
        }
    }

    /// Returns the place to show for a path: that of the value if it fits one line, else of the key
    /// that leads to it. Of a path that ends nowhere, the last part that is there is shown.
    pub fn span_of(&self, path: &ValuePath) -> Span {
        let mut tree = self;
        let mut key_span = None;
        for segment in &path.0 {
            let Some(next) = tree.step(segment) else { break };
            key_span = match segment {
                PathSegment::Field(name) => tree.entry(name).map(|entry| entry.key_span),
                PathSegment::Item(_) => None,
            };
            tree = next;
        }
        tree.line_span(key_span)
    }

    fn line_span(&self, key_span: Option<Span>) -> Span {
        match &self.content {
            YamlValue::List(items) => {
                key_span.or_else(|| items.first().map(|item| item.line_span(None)))
            }
            YamlValue::Mapping(entries) => {
                key_span.or_else(|| entries.first().map(|entry| entry.key_span))
            }
            YamlValue::Null => key_span,
            YamlValue::Flag(_) | YamlValue::Number(_) | YamlValue::Text(_) => None,
        }
        .unwrap_or(self.span)
    }
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<YamlValue>::deserialize(deserializer)?;
        Ok(Self { content: spanned.value, span: spanned.referenced.into() })
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = YamlValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlValue, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_bool<E>(self, v: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Flag(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(v.into()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(v.into()))
    }

    fn visit_f64<E: serde::de::Error>(self, v: f64) -> Result<YamlValue, E> {
        let finite = Number::from_f64(v);
        finite.map(YamlValue::Number).ok_or_else(|| E::custom("a number must be finite"))
    }

    fn visit_str<E>(self, v: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Text(v.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlValue, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element()? {
            list.push(item);
        }
        Ok(YamlValue::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<YamlNode>()? {
            let YamlValue::Text(name) = key.content else {
                return Err(A::Error::custom("a key must be text"));
            };
            entries.push(Entry { key: name, key_span: key.span, value: map.next_value()? });
        }
        Ok(YamlValue::Mapping(entries))
    }
}
