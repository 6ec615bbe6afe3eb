//! Reports the errors of a file with their source locations.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use sedgepath_core::schema::{Fault, LocatedFault, ValuePath};

use crate::tree::{ParseError, Span, YamlNode};

/// An error with its location in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocatedError {
    /// The range of the file that the report marks.
    pub span: Span,
    /// What is wrong and what is expected.
    pub message: Box<str>,
}

impl LocatedError {
    /// Locates a schema fault in the document where it was found.
    pub fn from_fault(document: &YamlNode, located: &LocatedFault<Fault>) -> Self {
        Self::at_path(document, &located.path, &located.fault)
    }

    /// Locates a fault at a path. The span of an unknown or too new field is that of its key; the span
    /// of any other fault is that of the value at the path (see [`YamlNode::span_of`]).
    pub fn at_path(document: &YamlNode, path: &ValuePath, fault: &Fault) -> Self {
        let marks_key = matches!(fault, Fault::UnknownField { .. } | Fault::TooNew { .. });
        let key_span = marks_key.then(|| document.key_span_of(path)).flatten();
        let span = key_span.unwrap_or_else(|| document.span_of(path));
        Self { span, message: fault.to_string().into() }
    }
}

/// All errors of a file, as a [`Diagnostic`] with the text of the file.
#[derive(Debug)]
pub struct ErrorReport {
    file: Box<str>,
    source: NamedSource<Arc<str>>,
    errors: Vec<LocatedError>,
}

impl ErrorReport {
    /// Creates a report that lists the errors in the order of their offsets.
    pub fn new(file: &str, text: &str, mut errors: Vec<LocatedError>) -> Self {
        errors.sort_by_key(|error| error.span.offset_bytes);
        let source = NamedSource::new(file, Arc::from(text)).with_language("yaml");
        Self { file: file.into(), source, errors }
    }

    /// Creates the report of a file that is not valid YAML.
    pub fn from_parse_error(file: &str, text: &str, error: &ParseError) -> Self {
        let error = LocatedError { span: error.span, message: error.message.clone() };
        Self::new(file, text, vec![error])
    }

    /// Returns the errors in the order of their offsets.
    pub fn errors(&self) -> &[LocatedError] {
        &self.errors
    }
}

impl fmt::Display for ErrorReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.errors.len() {
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
        Some(Box::new(self.errors.iter().map(|error| {
            let Span { offset_bytes, length_bytes } = error.span;
            LabeledSpan::new(Some(error.message.to_string()), offset_bytes, length_bytes)
        })))
    }
}
