//! YAML values with their source spans.

use std::fmt;

use sedgepath_core::schema::{PathSegment, ValuePath};
use serde::de::{Deserialize, Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde_json::{Number, Value};
use serde_saphyr::{Location, Spanned};

/// A byte range of a file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Span {
    /// The offset of the first byte.
    pub offset_bytes: usize,
    /// The number of bytes.
    pub length_bytes: usize,
}

impl From<Location> for Span {
    fn from(location: Location) -> Self {
        let span = location.span();
        Self {
            offset_bytes: span.byte_offset().unwrap_or_default() as usize,
            length_bytes: span.byte_len().unwrap_or_default() as usize,
        }
    }
}

/// A value of a document with its source span.
#[derive(Debug, Clone, PartialEq)]
pub struct YamlNode {
    /// The value without its span.
    pub content: YamlValue,
    /// The range of the file that the value was read from.
    pub span: Span,
}

/// A YAML value.
#[derive(Debug, Clone, PartialEq)]
pub enum YamlValue {
    /// An empty value or `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A finite number.
    Number(Number),
    /// A scalar of any other type.
    String(Box<str>),
    /// The items of a sequence.
    Sequence(Vec<YamlNode>),
    /// The entries of a mapping, in the order of the file.
    Mapping(Vec<MappingEntry>),
}

/// An entry of a mapping.
#[derive(Debug, Clone, PartialEq)]
pub struct MappingEntry {
    /// The key, which must be text.
    pub key: Box<str>,
    /// The source span of the key.
    pub key_span: Span,
    /// The value with its own span.
    pub value: YamlNode,
}

/// A syntax error, a duplicate key, or a key or number that is not supported.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct ParseError {
    /// The parser's description of the error.
    pub message: Box<str>,
    /// The location of the error, or the start of the file if the parser gives none.
    pub span: Span,
}

/// Parses all documents of a file and omits empty ones.
///
/// # Errors
///
/// Fails if the text is not valid YAML, a mapping contains a key twice or a key that is not text, or
/// a number is not finite.
pub fn parse(text: &str) -> Result<Vec<YamlNode>, ParseError> {
    let documents: Vec<YamlNode> = serde_saphyr::from_multiple(text).map_err(|error| {
        let error = error.without_snippet();
        let span = error.location().map(|location| error_span(text, location));
        let span = span.unwrap_or_default();
        ParseError { message: error.to_string().into(), span }
    })?;
    Ok(documents.into_iter().filter(|document| document.content != YamlValue::Null).collect())
}

/// Returns the span of a parser error; computes the offset of a location that has only a line and a
/// column.
fn error_span(text: &str, location: Location) -> Span {
    if location.span().byte_offset().is_some_and(|offset| offset > 0) {
        return location.into();
    }
    let preceding_lines =
        text.split_inclusive('\n').take(location.line().saturating_sub(1) as usize);
    let line_offset: usize = preceding_lines.map(str::len).sum();
    let line = text.get(line_offset..).unwrap_or_default();
    let column = location.column().saturating_sub(1) as usize;
    let column_offset = line.char_indices().nth(column).map_or(0, |(offset, _)| offset);
    Span { offset_bytes: line_offset + column_offset, length_bytes: 1 }
}

impl YamlNode {
    /// Returns the value of a key, or `None` if this is not a mapping with that key.
    pub fn field(&self, name: &str) -> Option<&Self> {
        self.entry(name).map(|entry| &entry.value)
    }

    fn entry(&self, name: &str) -> Option<&MappingEntry> {
        match &self.content {
            YamlValue::Mapping(entries) => entries.iter().find(|entry| &*entry.key == name),
            _ => None,
        }
    }

    /// Converts the value to JSON, without spans.
    pub fn to_json(&self) -> Value {
        match &self.content {
            YamlValue::Null => Value::Null,
            YamlValue::Bool(flag) => Value::Bool(*flag),
            YamlValue::Number(number) => Value::Number(number.clone()),
            YamlValue::String(text) => Value::String(text.to_string()),
            YamlValue::Sequence(items) => items.iter().map(Self::to_json).collect(),
            YamlValue::Mapping(entries) => {
                entries.iter().map(|entry| (entry.key.to_string(), entry.value.to_json())).collect()
            }
        }
    }

    /// Returns the span of the key at the end of a path, or `None` if the path ends with an index or
    /// does not exist.
    pub fn key_span_of(&self, path: &ValuePath) -> Option<Span> {
        let (PathSegment::Field(name), parent) = path.0.split_last()? else { return None };
        let parent = parent.iter().try_fold(self, |node, segment| node.child(segment))?;
        parent.entry(name).map(|entry| entry.key_span)
    }

    fn child(&self, segment: &PathSegment) -> Option<&Self> {
        match (segment, &self.content) {
            (PathSegment::Field(name), _) => self.field(name),
            (PathSegment::Item(index), YamlValue::Sequence(items)) => items.get(*index),
            (PathSegment::Item(_), _) => None,
        }
    }

    /// Returns the span that an error report marks for a path: that of a scalar, or else that of the
    /// key, since sequences and mappings may extend over many lines. A value without a key is marked
    /// at its first item or key, and a path that does not exist at its longest existing prefix.
    pub fn span_of(&self, path: &ValuePath) -> Span {
        let mut node = self;
        let mut key_span = None;
        for segment in &path.0 {
            let Some(next) = node.child(segment) else { break };
            key_span = match segment {
                PathSegment::Field(name) => node.entry(name).map(|entry| entry.key_span),
                PathSegment::Item(_) => None,
            };
            node = next;
        }
        node.report_span(key_span)
    }

    fn report_span(&self, key_span: Option<Span>) -> Span {
        match &self.content {
            YamlValue::Sequence(items) => {
                key_span.or_else(|| items.first().map(|item| item.report_span(None)))
            }
            YamlValue::Mapping(entries) => {
                key_span.or_else(|| entries.first().map(|entry| entry.key_span))
            }
            YamlValue::Null => key_span,
            YamlValue::Bool(_) | YamlValue::Number(_) | YamlValue::String(_) => None,
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
        deserializer.deserialize_any(YamlValueVisitor)
    }
}

struct YamlValueVisitor;

impl<'de> Visitor<'de> for YamlValueVisitor {
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
        Ok(YamlValue::Bool(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(v.into()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<YamlValue, E> {
        Ok(YamlValue::Number(v.into()))
    }

    fn visit_f64<E: serde::de::Error>(self, v: f64) -> Result<YamlValue, E> {
        let number = Number::from_f64(v);
        number.map(YamlValue::Number).ok_or_else(|| E::custom("a number must be finite"))
    }

    fn visit_str<E>(self, v: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::String(v.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(YamlValue::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<YamlNode>()? {
            let YamlValue::String(name) = key.content else {
                return Err(A::Error::custom("a key must be text"));
            };
            entries.push(MappingEntry { key: name, key_span: key.span, value: map.next_value()? });
        }
        Ok(YamlValue::Mapping(entries))
    }
}
