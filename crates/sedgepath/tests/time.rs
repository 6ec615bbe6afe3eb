//! Formatting and parsing of times and durations.

use sedgepath::time::{format_utc, parse_duration_ms, parse_utc_ms};

/// Guards against wrong dates around leap days and the ends of years, and against invalid input.
#[test]
fn times_round_trip_through_text() {
    for (text, at_ms) in [
        ("1970-01-01T00:00:00.000Z", 0),
        ("2000-02-29T12:00:00.001Z", 951_825_600_001),
        ("2024-12-31T23:59:59.999Z", 1_735_689_599_999),
        ("2100-03-01T00:00:00.000Z", 4_107_542_400_000),
    ] {
        assert_eq!(format_utc(at_ms), text);
        assert_eq!(parse_utc_ms(text), Some(at_ms));
    }
    assert_eq!(parse_utc_ms("2026-12-02T21:30:00Z"), parse_utc_ms("2026-12-02T21:30:00.000Z"));
    for wrong in ["", "2026-12-02", "2026-13-02T00:00:00Z", "2026-12-02T24:00:00Z"] {
        assert_eq!(parse_utc_ms(wrong), None, "{wrong}");
    }
    assert_eq!(parse_duration_ms("90s"), Some(90_000));
    assert_eq!(parse_duration_ms("2h"), Some(7_200_000));
    assert_eq!(parse_duration_ms("2"), None);
    assert_eq!(parse_duration_ms("é"), None);
}
