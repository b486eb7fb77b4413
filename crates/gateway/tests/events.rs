//! Completeness of the event catalogue.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Returns the numbers that directly follow `marker` in `text`.
fn numbers_after(text: &str, marker: &str) -> BTreeSet<u16> {
    let rest = text.split(marker).skip(1);
    rest.filter_map(|t| t.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()).collect()
}

/// Guards against events that are missing from the catalogue, and against entries for events that no longer exist.
#[test]
fn catalogue_matches_the_events_in_the_code() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut code = BTreeSet::new();
    for entry in fs::read_dir(crate_dir.join("src")).unwrap() {
        let text = fs::read_to_string(entry.unwrap().path()).unwrap();
        code.extend(numbers_after(&text, "\"code\" => "));
        code.extend(numbers_after(&text, "EventCode("));
    }
    let page = fs::read_to_string(crate_dir.join("../../docs/gateway-events.md")).unwrap();
    assert_eq!(code, numbers_after(&page, "\n| "));
}
