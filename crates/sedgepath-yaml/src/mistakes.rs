//! Shows the mistakes of a file at their places.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use sedgepath_core::schema::{Fault, LocatedFault, ValuePath};

use crate::tree::{ReadError, Span, YamlNode};

/// A mistake and its place in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedError {
    /// Where it is.
    pub span: Span,
    /// What is wrong, and what would be right.
    pub message: Box<str>,
}

impl LocatedError {
    /// Creates the mistake of a fault that was found in a document.
    pub fn from_fault(document: &YamlNode, placed: &LocatedFault<Fault>) -> Self {
        Self::of_field(document, &placed.path, &placed.fault)
    }

    /// Creates the mistake of a fault at a path; a field that should not be there is shown by its
    /// key, all else by the value.
    pub fn of_field(document: &YamlNode, path: &ValuePath, fault: &Fault) -> Self {
        let by_key = matches!(fault, Fault::UnknownField { .. } | Fault::TooNew { .. });
        let key = by_key.then(|| document.key_place(path)).flatten();
        let span = key.unwrap_or_else(|| document.span_of(path));
        Self { span, message: fault.to_string().into() }
    }
}

/// All mistakes of a file.
#[derive(Debug)]
pub struct ErrorReport {
    file: Box<str>,
    source: NamedSource<Arc<str>>,
    list: Vec<LocatedError>,
}

impl ErrorReport {
    /// Creates a report; the mistakes are shown in the order of their places.
    pub fn new(file: &str, text: &str, mut mistakes: Vec<LocatedError>) -> Self {
        mistakes.sort_by_key(|mistake| mistake.span.offset);
        let source = NamedSource::new(file, Arc::from(text)).with_language("yaml");
        Self { file: file.into(), source, list: mistakes }
    }

    /// Creates the report of a file that is no YAML.
    pub fn from_parse_error(file: &str, text: &str, error: &ReadError) -> Self {
        let mistake = LocatedError { span: error.span, message: error.message.clone() };
        Self::new(file, text, vec![mistake])
    }

    /// Returns the mistakes in the order of their places.
    pub fn mistakes(&self) -> &[LocatedError] {
        &self.list
    }
}

impl fmt::Display for ErrorReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.list.len() {
            1 => write!(f, "{} has a mistake", self.file),
            count => write!(f, "{} has {count} mistakes", self.file),
        }
    }
}

impl std::error::Error for ErrorReport {}

impl Diagnostic for ErrorReport {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.list.iter().map(|mistake| {
            let Span { offset, bytes } = mistake.span;
            LabeledSpan::new(Some(mistake.message.to_string()), offset, bytes)
        })))
    }
}
