//! Parts of YAML documents and the places that are shown for them.

use sedgepath_core::schema::ValuePath;
use sedgepath_yaml::parse;

const TEXT: &str = "# two documents\nname: é one\nlist:\n  - weight: 1.5\n    flag: true\n---\n\
                    name: \"2\"\nempty:\n";

/// A field's value is shown where it fits a line, a list or mapping by its key, and what is missing
/// by the mapping that lacks it; also behind characters of more than one byte.
#[test]
fn a_path_leads_to_its_place() {
    let documents = parse(TEXT).expect("YAML");
    let shown = |document: usize, path: &ValuePath| {
        let span = documents[document].span_of(path);
        &TEXT[span.offset..span.offset + span.bytes]
    };
    let item = ValuePath::field("list").with_item(0);
    assert_eq!(shown(0, &ValuePath::field("name")), "é one");
    assert_eq!(shown(0, &ValuePath::field("list")), "list");
    assert_eq!(shown(0, &item.with_field("weight")), "1.5");
    assert_eq!(shown(0, &item.with_field("missing")), "weight");
    assert_eq!(shown(0, &item), "weight");
    assert_eq!(shown(1, &ValuePath::field("name")), "\"2\"");
    assert_eq!(shown(1, &ValuePath::field("empty")), "empty");
}

/// Text in quotes stays text, and a number that is not becomes one.
#[test]
fn a_document_becomes_json() {
    let documents = parse(TEXT).expect("YAML");
    let json: Vec<_> = documents.iter().map(|document| document.to_json().to_string()).collect();
    assert_eq!(json[0], r#"{"list":[{"flag":true,"weight":1.5}],"name":"é one"}"#);
    assert_eq!(json[1], r#"{"empty":null,"name":"2"}"#);
}

/// A key that stands twice is a mistake with a place, not the last one's win.
#[test]
fn a_repeated_key_is_refused() {
    let error = parse("name: a\nname: b\n").expect_err("a mistake");
    assert_eq!(error.span.offset, 8, "{error}");
}
