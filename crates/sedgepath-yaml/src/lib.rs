//! YAML documents with source spans.
//!
//! Operators' files are parsed into [`YamlNode`]s and validated in that form, so that one report
//! shows all errors of a file, each at its location.

mod error_report;
mod tree;

pub use error_report::{ErrorReport, LocatedError};
pub use tree::{MappingEntry, ParseError, Span, YamlNode, YamlValue, parse};
