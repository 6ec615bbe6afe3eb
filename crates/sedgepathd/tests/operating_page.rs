//! Tests that the operators' page documents every setting and every field of a record.

use std::path::Path;

use sedgepath_core::record::fields::RECORD_KINDS;
use sedgepath_core::schema::{Field, Shape};
use sedgepathd::settings::FIELDS;

/// Returns the rows of the page's table of fields; nested fields are named by their full path.
fn rows(prefix: &str, fields: &[Field]) -> Vec<String> {
    let mut rows = Vec::new();
    for field in fields {
        let name = format!("{prefix}{}", field.name);
        let default = field.default.unwrap_or("required");
        let since = if field.since_schema > 1 { " Since schema 2." } else { "" };
        let shape = shape(&field.shape);
        rows.push(format!("| `{name}` | {shape} | {default} | {}.{since} |", field.description));
        match field.shape {
            Shape::Object(fields) => rows.extend(self::rows(&format!("{name}."), fields)),
            Shape::List { of: Shape::Object(fields), .. } => {
                rows.extend(self::rows(&format!("{name}[]."), fields));
            }
            _ => {}
        }
    }
    rows
}

fn shape(shape: &Shape) -> String {
    match shape {
        Shape::Name => "name".into(),
        Shape::Text { least_chars } => format!("text of at least {least_chars} characters"),
        Shape::Integer { least, most } => format!("{least} to {most}"),
        Shape::Number { least, most } => format!("number, {least} to {most}"),
        Shape::Boolean => "`true` or `false`".into(),
        Shape::Address => "IP address and port".into(),
        Shape::Digest => "32 hexadecimal digits".into(),
        Shape::CidrBlock => "block in CIDR form".into(),
        Shape::Url => "URL".into(),
        Shape::OneOf(words) => {
            words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(", ")
        }
        Shape::List { of: Shape::Object(_), least } => format!("list, at least {least}"),
        Shape::List { of, least } => format!("list of {}, at least {least}", self::shape(of)),
        Shape::Object(_) => "mapping".into(),
    }
}

/// Guards against a page that differs from the schema; the failure message lists the missing rows.
#[test]
fn the_page_documents_every_field() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATING.md");
    let page = std::fs::read_to_string(page).expect("the operators' page");
    let mut expected = rows("", FIELDS);
    for kind in RECORD_KINDS {
        expected.push(format!("### `{}`", kind.name));
        expected.push(kind.description.into());
        expected.extend(rows("", kind.fields));
    }
    let missing: Vec<_> = expected.into_iter().filter(|row| !page.contains(row)).collect();
    assert!(missing.is_empty(), "the page lacks:\n{}", missing.join("\n"));
}
