//! The reports of mistakes in files of records, as an operator sees them.

#![expect(clippy::needless_raw_string_hashes, reason = "expect-test writes them")]

use expect_test::{Expect, expect};
use miette::{GraphicalReportHandler, GraphicalTheme};
use sedgepath::error::CliError;
use sedgepath::operations;
use sedgepath::records::FileRecords;

const PLACES: &str = "schema: 1
kind: places
name: places
regions:
  - name: lowcountry
    domains: [lowcountry-a, lowcountry-b]
---
schema: 1
kind: service
name: browse
longest_deadline_ms: 5000
upstreams:
  - {name: b1, domain: lowcountry-a, address: 192.0.2.1:80, slots: 4}
";

fn check(text: &str) -> Result<(), CliError> {
    let mut records = FileRecords::default();
    records.add_file("records.yaml", text).map_err(|report| CliError::InvalidRecords {
        reports: vec![report],
        other_problems: vec![],
    })?;
    operations::check(&records, None)
}

fn assert_report(text: &str, expected: &Expect) {
    let error = check(text).expect_err("invalid records");
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none()).with_width(100);
    let mut shown = String::from("report:\n");
    handler.render_report(&mut shown, &error).expect("the report is rendered");
    expected.assert_eq(&shown);
}

/// Guards against errors for valid records of both schemas that refer to each other.
#[test]
fn valid_records_of_both_schemas_pass() {
    let text = PLACES.to_owned()
        + "---
schema: 2
kind: steering
name: browse
groups:
  - origin: any
    shares: [{domain: lowcountry-a, weight: 3}, {domain: lowcountry-b, weight: 1}]
cap: {percent: 10, window_ms: 60000}
failover_cap: {percent: 50, window_ms: 10000}
---
schema: 1
kind: drain
name: lowcountry-b
target: domain
active: true
";
    check(&text).expect("valid records");
}

/// Guards against a check that stops at the first mistake or points at the wrong place.
#[test]
fn every_invalid_field_is_shown_at_its_location() {
    let text = "schema: 1
kind: service
name: Browse
longest_deadline_ms: 0
upstreams:
  - name: b1
    domain: a
    address: example:80
    slots: many
  - {name: b2, domain: a, address: 192.0.2.1:80, slots: 1, slot: 2}
---
schema: 1
kind: organisations
name: organisations
organisations:
  - {name: porch, plan: free, key_digests: [00ff]}
---
schema: 1
kind: clients
name: clients
blocks:
  - {block: 192.0.2.1/24, origin: coast}
---
schema: 1
kind: steering
name: browse
groups: []
cap: {percent: 101, window_ms: 1000}
hedge_after_ms: 50
---
schema: 3
kind: drains
name: x
";
    assert_report(
        text,
        &expect![[r#"
        report:
          x the records are invalid

        Error: 
          x records.yaml has 12 mistakes
            ,-[records.yaml:3:7]
          2 | kind: service
          3 | name: Browse
            :       ^^^|^^
            :          `-- `Browse` is no name; a name has 1 to 64 of the characters a-z, 0-9, `.`, `_` and `-`
          4 | longest_deadline_ms: 0
            :                      |
            :                      `-- 0 is out of range; it should be from 1 to 600000
          5 | upstreams:
          6 |   - name: b1
          7 |     domain: a
          8 |     address: example:80
            :              ^^^^^|^^^^
            :                   `-- `example:80` is no address; it should be an IP address and a port, like 192.0.2.1:8080
          9 |     slots: many
            :            ^^|^
            :              `-- this is text; it should be a whole number
         10 |   - {name: b2, domain: a, address: 192.0.2.1:80, slots: 1, slot: 2}
            :                                                            ^^|^
            :                                                              `-- there is no field `slot` here; the fields are `name`, `domain`, `address`, `slots`, `connections`, `new_connections_per_s`, `cold_slots`, `warm_up_ms`
         11 | ---
            `----
            ,-[records.yaml:16:25]
         15 | organisations:
         16 |   - {name: porch, plan: free, key_digests: [00ff]}
            :                         ^^|^                ^^|^
            :                           |                   `-- `00ff` is no digest; it should be the 32 digits that `sedgepath key` prints
            :                           `-- `free` is not known here; it should be one of `paying`, `trial`
         17 | ---
         18 | schema: 1
         19 | kind: clients
         20 | name: clients
         21 | blocks:
         22 |   - {block: 192.0.2.1/24, origin: coast}
            :             ^^^^^^|^^^^^
            :                   `-- `192.0.2.1/24` is no block of addresses like 192.0.2.0/24: the address has bits set behind its prefix
         23 | ---
         24 | schema: 1
         25 | kind: steering
         26 | name: browse
         27 | groups: []
            : ^^^|^^
            :    `-- the list has 0 items; it should have at least 1
         28 | cap: {percent: 101, window_ms: 1000}
            :                ^|^
            :                 `-- 101 is out of range; it should be from 0 to 100
         29 | hedge_after_ms: 50
            : ^^^^^^^|^^^^^^
            :        `-- `hedge_after_ms` came with schema 2, and this record says `schema: 1`
         30 | ---
         31 | schema: 3
            :         |
            :         `-- schema 3 is not known to this version; it knows 1 to 2
         32 | kind: drains
            `----
    "#]],
    );
}

/// Guards against unknown references, duplicate names and contradictory values that pass the check.
#[test]
fn records_are_checked_against_each_other() {
    let text = PLACES.to_owned()
        + "  - {name: b1, domain: lowcountry-z, address: 192.0.2.2:80, slots: 4, cold_slots: 5}
---
schema: 1
kind: steering
name: browse
groups:
  - origin: any
    shares: [{domain: lowcountry-a, weight: 0}, {domain: lowcountry-a, weight: 0}]
cap: {percent: 10, window_ms: 60000}
---
schema: 1
kind: drain
name: b9
target: upstream
active: true
";
    assert_report(
        &text,
        &expect![[r#"
        report:
          x the records are invalid

        Error: 
          x records.yaml has 6 mistakes
            ,-[records.yaml:14:12]
         13 |   - {name: b1, domain: lowcountry-a, address: 192.0.2.1:80, slots: 4}
         14 |   - {name: b1, domain: lowcountry-z, address: 192.0.2.2:80, slots: 4, cold_slots: 5}
            :            ^|          ^^^^^^|^^^^^                                               |
            :             |                |                                                    `-- 5 cold slots are more than the 4 slots
            :             |                `-- there is no failure domain `lowcountry-z`; known are `lowcountry-a`, `lowcountry-b`
            :             `-- the upstream `b1` is named twice; the other is in service `browse`
         15 | ---
         16 | schema: 1
         17 | kind: steering
         18 | name: browse
         19 | groups:
         20 |   - origin: any
         21 |     shares: [{domain: lowcountry-a, weight: 0}, {domain: lowcountry-a, weight: 0}]
            :     ^^^|^^                                               ^^^^^^|^^^^^
            :        |                                                       `-- the failure domain `lowcountry-a` is named twice; the other is in the same list
            :        `-- the weights of this group add up to 0; their sum should be above 0
         22 | cap: {percent: 10, window_ms: 60000}
         23 | ---
         24 | schema: 1
         25 | kind: drain
         26 | name: b9
            :       ^|
            :        `-- there is no upstream `b9`; known are `b1`
         27 | target: upstream
            `----
    "#]],
    );
}

/// Guards against a document that is accepted without a valid header.
#[test]
fn a_document_without_a_header_is_an_error() {
    assert_report(
        "kind: places\nname: places\n---\n- 1\n",
        &expect![[r#"
        report:
          x the records are invalid

        Error: 
          x records.yaml has 2 mistakes
           ,-[records.yaml:1:1]
         1 | kind: places
           : ^^|^
           :   `-- the field `schema` is missing: the schema that the record follows, 1 or 2
         2 | name: places
         3 | ---
         4 | - 1
           : ^
           : `-- a record is a mapping with `schema`, `kind` and `name`
           `----
    "#]],
    );
}
