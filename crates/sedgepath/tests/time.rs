//! Times as operators write them.

use sedgepath::time::{format, parse, parse_length};

/// Times go through text and back, across leap days and the turn of years.
#[test]
fn times_go_through_text_and_back() {
    for (text, at_ms) in [
        ("1970-01-01T00:00:00.000Z", 0),
        ("2000-02-29T12:00:00.001Z", 951_825_600_001),
        ("2024-12-31T23:59:59.999Z", 1_735_689_599_999),
        ("2100-03-01T00:00:00.000Z", 4_107_542_400_000),
    ] {
        assert_eq!(format(at_ms), text);
        assert_eq!(parse(text), Some(at_ms));
    }
    assert_eq!(parse("2026-12-02T21:30:00Z"), parse("2026-12-02T21:30:00.000Z"));
    for wrong in ["", "2026-12-02", "2026-13-02T00:00:00Z", "2026-12-02T24:00:00Z"] {
        assert_eq!(parse(wrong), None, "{wrong}");
    }
    assert_eq!(parse_length("90s"), Some(90_000));
    assert_eq!(parse_length("2h"), Some(7_200_000));
    assert_eq!(parse_length("2"), None);
    assert_eq!(parse_length("é"), None);
}
