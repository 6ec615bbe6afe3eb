//! Reads records from YAML files.
//!
//! A file holds one or more documents. Each document is a record: `schema`, `kind`, `name`, and the
//! fields of its kind on the same level.

use std::path::Path as FilePath;

use sedgepath_core::record::RawRecord;
use sedgepath_core::record::check::{CheckError, Problem};
use sedgepath_core::schema::{self, Fault, Field, LocatedFault, Shape, ValuePath};
use sedgepath_yaml::{ErrorReport, LocatedError, Span, YamlNode, YamlValue};
use serde_json::{Map, Value};

use crate::error::CliError;

/// The fields of a record's heading.
const HEADING: &[Field] = &[
    Field {
        name: "schema",
        shape: Shape::Integer { least: 1, most: u32::MAX as u64 },
        default: None,
        since_schema: 1,
        description: "the schema that the record follows, 1 or 2",
    },
    Field {
        name: "kind",
        shape: Shape::Text { least_chars: 1 },
        default: None,
        since_schema: 1,
        description: "what the record is about, such as `service` or `steering`",
    },
    Field {
        name: "name",
        shape: Shape::Text { least_chars: 1 },
        default: None,
        since_schema: 1,
        description: "the record's name, unique within its kind",
    },
];

/// A file of records.
#[derive(Debug)]
struct File {
    name: Box<str>,
    text: Box<str>,
}

/// Records that were read from files, with their places.
#[derive(Debug, Default)]
pub struct FileRecords {
    files: Vec<File>,
    places: Vec<(usize, YamlNode)>,
    records: Vec<RawRecord>,
}

impl FileRecords {
    /// Reads files.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, is no YAML or holds documents without a heading.
    pub fn read(paths: &[String]) -> Result<Self, CliError> {
        let mut records = Self::default();
        let mut files = Vec::new();
        for path in paths {
            let text = std::fs::read_to_string(FilePath::new(path))
                .map_err(|source| CliError::File { file: path.as_str().into(), source })?;
            files.extend(records.add(path, &text).err());
        }
        if files.is_empty() {
            Ok(records)
        } else {
            Err(CliError::Records { files, broken: vec![] })
        }
    }

    /// Adds the records of a file.
    ///
    /// # Errors
    ///
    /// Fails if the text is no YAML or holds documents without a heading.
    pub fn add(&mut self, file: &str, text: &str) -> Result<(), ErrorReport> {
        let documents = sedgepath_yaml::parse(text)
            .map_err(|error| ErrorReport::from_parse_error(file, text, &error))?;
        let number = self.files.len();
        self.files.push(File { name: file.into(), text: text.into() });
        let mut mistakes = Vec::new();
        for document in documents {
            match record(&document) {
                Ok(record) => {
                    self.records.push(record);
                    self.places.push((number, document));
                }
                Err(found) => mistakes.extend(found),
            }
        }
        if mistakes.is_empty() { Ok(()) } else { Err(ErrorReport::new(file, text, mistakes)) }
    }

    /// Returns the records.
    pub fn records(&self) -> &[RawRecord] {
        &self.records
    }

    /// Places problems in the files that the records came from.
    pub fn report(&self, problems: Vec<Problem>) -> CliError {
        let mut mistakes: Vec<Vec<LocatedError>> = self.files.iter().map(|_| Vec::new()).collect();
        let mut broken = Vec::new();
        for problem in problems {
            match problem.index.and_then(|index| self.places.get(index)) {
                Some((file, document)) => mistakes[*file].push(placed(document, &problem)),
                None => broken.push(unplaced(&problem)),
            }
        }
        let found = self.files.iter().zip(mistakes).filter(|(_, mistakes)| !mistakes.is_empty());
        let files =
            found.map(|(file, mistakes)| ErrorReport::new(&file.name, &file.text, mistakes));
        CliError::Records { files: files.collect(), broken }
    }
}

fn record(document: &YamlNode) -> Result<RawRecord, Vec<LocatedError>> {
    let YamlValue::Mapping(entries) = &document.content else {
        let message = "a record is a mapping with `schema`, `kind` and `name`".into();
        return Err(vec![LocatedError { span: document.span, message }]);
    };
    let is_heading = |key: &str| HEADING.iter().any(|field| field.name == key);
    let heading: Map<String, Value> = entries
        .iter()
        .filter(|entry| is_heading(&entry.key))
        .map(|entry| (entry.key.to_string(), entry.value.to_json()))
        .collect();
    let heading = Value::Object(heading);
    let faults = schema::check(&heading, HEADING, 1);
    if !faults.is_empty() {
        let mistakes = faults.iter().map(|fault| LocatedError::from_fault(document, fault));
        return Err(mistakes.collect());
    }
    let body: Map<String, Value> = entries
        .iter()
        .filter(|entry| !is_heading(&entry.key))
        .map(|entry| (entry.key.to_string(), entry.value.to_json()))
        .collect();
    let text = |field: &str| heading[field].as_str().unwrap_or_default().into();
    Ok(RawRecord {
        schema: heading["schema"].as_u64().unwrap_or_default() as u32,
        kind: text("kind"),
        name: text("name"),
        body: Value::Object(body).to_string().into(),
    })
}

fn placed(document: &YamlNode, problem: &Problem) -> LocatedError {
    match &problem.error {
        CheckError::Fault { fault: fault @ Fault::Missing { .. } } if problem.path.0.is_empty() => {
            // The mapping that lacks the field is the whole record; its name is shown.
            let span = document.span_of(&ValuePath::field("name"));
            LocatedError { span, message: fault.to_string().into() }
        }
        CheckError::Fault { fault } => {
            let fault = LocatedFault { path: problem.path.clone(), fault: fault.clone() };
            LocatedError::from_fault(document, &fault)
        }
        error => {
            let whole = problem.path.0.is_empty();
            let span: Span = if whole {
                document.span_of(&ValuePath::field("name"))
            } else {
                document.span_of(&problem.path)
            };
            LocatedError { span, message: error.to_string().into() }
        }
    }
}

/// Writes a problem of a record that is in no file.
fn unplaced(problem: &Problem) -> Box<str> {
    let Problem { kind, name, path, error, .. } = problem;
    format!("{kind} {name} in force, at `{path}`: {error}").into()
}

/// Writes a record as a YAML document of the form that files have.
///
/// # Errors
///
/// Fails if the body is no JSON text or can't be written as YAML.
pub fn to_yaml(record: &RawRecord) -> Result<String, CliError> {
    Ok(serde_saphyr::to_string(&to_json(record)?)?)
}

/// Returns a record as JSON of the form that files have.
///
/// # Errors
///
/// Fails if the body is no JSON text.
pub fn to_json(record: &RawRecord) -> Result<Value, CliError> {
    let mut document = Map::new();
    document.insert("schema".into(), record.schema.into());
    document.insert("kind".into(), record.kind.as_ref().into());
    document.insert("name".into(), record.name.as_ref().into());
    match serde_json::from_str(&record.body)? {
        Value::Object(body) => document.extend(body),
        other => {
            document.insert("body".into(), other);
        }
    }
    Ok(Value::Object(document))
}
