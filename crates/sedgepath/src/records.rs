//! Reads records from YAML files.
//!
//! A file holds one or more documents. Each document is a record: a header of `schema`, `kind` and
//! `name`, and the fields of the kind on the same level.

use std::path::Path as FilePath;

use sedgepath_core::record::RawRecord;
use sedgepath_core::record::check::{CheckError, Problem};
use sedgepath_core::schema::{self, Fault, Field, LocatedFault, Shape, ValuePath};
use sedgepath_yaml::{ErrorReport, LocatedError, Span, YamlNode, YamlValue};
use serde_json::{Map, Value};

use crate::error::CliError;

/// The header fields of a record.
const HEADER_FIELDS: &[Field] = &[
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

/// A file that records were read from.
#[derive(Debug)]
struct SourceFile {
    name: Box<str>,
    text: Box<str>,
}

/// The records of one or more files, with their source locations.
#[derive(Debug, Default)]
pub struct FileRecords {
    files: Vec<SourceFile>,
    locations: Vec<(usize, YamlNode)>,
    records: Vec<RawRecord>,
}

impl FileRecords {
    /// Reads the records of all files.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or is not YAML, or a document has no valid header.
    pub fn read(paths: &[String]) -> Result<Self, CliError> {
        let mut records = Self::default();
        let mut reports = Vec::new();
        for path in paths {
            let text = std::fs::read_to_string(FilePath::new(path))
                .map_err(|source| CliError::ReadFile { file: path.as_str().into(), source })?;
            reports.extend(records.add_file(path, &text).err());
        }
        if reports.is_empty() {
            Ok(records)
        } else {
            Err(CliError::InvalidRecords { reports, other_problems: vec![] })
        }
    }

    /// Adds the records of a file; `file` is the name in reports.
    ///
    /// # Errors
    ///
    /// Fails if the text is not YAML or a document has no valid header.
    pub fn add_file(&mut self, file: &str, text: &str) -> Result<(), ErrorReport> {
        let documents = sedgepath_yaml::parse(text)
            .map_err(|error| ErrorReport::from_parse_error(file, text, &error))?;
        let file_index = self.files.len();
        self.files.push(SourceFile { name: file.into(), text: text.into() });
        let mut errors = Vec::new();
        for document in documents {
            match parse_record(&document) {
                Ok(record) => {
                    self.records.push(record);
                    self.locations.push((file_index, document));
                }
                Err(found) => errors.extend(found),
            }
        }
        if errors.is_empty() { Ok(()) } else { Err(ErrorReport::new(file, text, errors)) }
    }

    /// Returns the records in the order of the files.
    pub fn records(&self) -> &[RawRecord] {
        &self.records
    }

    /// Returns an error that shows problems at their locations in the files.
    pub fn problems_error(&self, problems: Vec<Problem>) -> CliError {
        let mut errors_by_file: Vec<Vec<LocatedError>> =
            self.files.iter().map(|_| Vec::new()).collect();
        let mut other_problems = Vec::new();
        for problem in problems {
            match problem.index.and_then(|index| self.locations.get(index)) {
                Some((file, document)) => {
                    errors_by_file[*file].push(located_error(document, &problem));
                }
                None => other_problems.push(describe_problem(&problem)),
            }
        }
        let with_errors =
            self.files.iter().zip(errors_by_file).filter(|(_, errors)| !errors.is_empty());
        let reports =
            with_errors.map(|(file, errors)| ErrorReport::new(&file.name, &file.text, errors));
        CliError::InvalidRecords { reports: reports.collect(), other_problems }
    }
}

fn parse_record(document: &YamlNode) -> Result<RawRecord, Vec<LocatedError>> {
    let YamlValue::Mapping(entries) = &document.content else {
        let message = "a record is a mapping with `schema`, `kind` and `name`".into();
        return Err(vec![LocatedError { span: document.span, message }]);
    };
    let is_header_field = |key: &str| HEADER_FIELDS.iter().any(|field| field.name == key);
    let header: Map<String, Value> = entries
        .iter()
        .filter(|entry| is_header_field(&entry.key))
        .map(|entry| (entry.key.to_string(), entry.value.to_json()))
        .collect();
    let header = Value::Object(header);
    let faults = schema::check(&header, HEADER_FIELDS, 1);
    if !faults.is_empty() {
        let errors = faults.iter().map(|fault| LocatedError::from_fault(document, fault));
        return Err(errors.collect());
    }
    let body: Map<String, Value> = entries
        .iter()
        .filter(|entry| !is_header_field(&entry.key))
        .map(|entry| (entry.key.to_string(), entry.value.to_json()))
        .collect();
    let text = |field: &str| header[field].as_str().unwrap_or_default().into();
    Ok(RawRecord {
        schema: header["schema"].as_u64().unwrap_or_default() as u32,
        kind: text("kind"),
        name: text("name"),
        body: Value::Object(body).to_string().into(),
    })
}

fn located_error(document: &YamlNode, problem: &Problem) -> LocatedError {
    match &problem.error {
        CheckError::Fault { fault: fault @ Fault::Missing { .. } } if problem.path.0.is_empty() => {
            // The whole record lacks the field; points at its name instead.
            let span = document.span_of(&ValuePath::field("name"));
            LocatedError { span, message: fault.to_string().into() }
        }
        CheckError::Fault { fault } => {
            let fault = LocatedFault { path: problem.path.clone(), fault: fault.clone() };
            LocatedError::from_fault(document, &fault)
        }
        error => {
            let concerns_whole_record = problem.path.0.is_empty();
            let span: Span = if concerns_whole_record {
                document.span_of(&ValuePath::field("name"))
            } else {
                document.span_of(&problem.path)
            };
            LocatedError { span, message: error.to_string().into() }
        }
    }
}

/// Describes a problem of a record that is in none of the files.
fn describe_problem(problem: &Problem) -> Box<str> {
    let Problem { kind, name, path, error, .. } = problem;
    format!("{kind} {name} in force, at `{path}`: {error}").into()
}

/// Returns a record as a YAML document, in the form that files have.
///
/// # Errors
///
/// Fails if the body is not JSON or can't be written as YAML.
pub fn to_yaml(record: &RawRecord) -> Result<String, CliError> {
    Ok(serde_saphyr::to_string(&to_json(record)?)?)
}

/// Returns a record as a JSON object, in the form that files have.
///
/// # Errors
///
/// Fails if the body is not JSON.
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
