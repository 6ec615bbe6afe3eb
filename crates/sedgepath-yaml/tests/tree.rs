//! Spans and JSON values of parsed YAML documents.

use sedgepath_core::schema::ValuePath;
use sedgepath_yaml::parse;

const TEXT: &str = "# two documents\nname: é one\nlist:\n  - weight: 1.5\n    flag: true\n---\n\
                    name: \"2\"\nempty:\n";

/// Guards against wrong spans of scalars, collections and missing fields, also after multi-byte
/// characters.
#[test]
fn paths_resolve_to_spans() {
    let documents = parse(TEXT).expect("YAML");
    let marked_text = |document: usize, path: &ValuePath| {
        let span = documents[document].span_of(path);
        &TEXT[span.offset_bytes..span.offset_bytes + span.length_bytes]
    };
    let first_item = ValuePath::field("list").with_item(0);
    assert_eq!(marked_text(0, &ValuePath::field("name")), "é one");
    assert_eq!(marked_text(0, &ValuePath::field("list")), "list");
    assert_eq!(marked_text(0, &first_item.with_field("weight")), "1.5");
    assert_eq!(marked_text(0, &first_item.with_field("missing")), "weight");
    assert_eq!(marked_text(0, &first_item), "weight");
    assert_eq!(marked_text(1, &ValuePath::field("name")), "\"2\"");
    assert_eq!(marked_text(1, &ValuePath::field("empty")), "empty");
}

/// Guards against quoted numbers that become JSON numbers, and unquoted ones that become strings.
#[test]
fn documents_convert_to_json() {
    let documents = parse(TEXT).expect("YAML");
    let json: Vec<_> = documents.iter().map(|document| document.to_json().to_string()).collect();
    assert_eq!(json[0], r#"{"list":[{"flag":true,"weight":1.5}],"name":"é one"}"#);
    assert_eq!(json[1], r#"{"empty":null,"name":"2"}"#);
}

/// Guards against a duplicate key that silently overrides the earlier value.
#[test]
fn duplicate_keys_are_rejected() {
    let error = parse("name: a\nname: b\n").expect_err("a duplicate key");
    assert_eq!(error.span.offset_bytes, 8, "{error}");
}
