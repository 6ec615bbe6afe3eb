//! YAML documents whose parts know their place in the file.
//!
//! Operators' files are read into a [`YamlNode`] first and checked there, so that every mistake of a
//! file is shown at once, each at its place, with what would be right.

mod mistakes;
mod tree;

pub use mistakes::{ErrorReport, LocatedError};
pub use tree::{Entry, ReadError, Span, YamlNode, YamlValue, parse};
