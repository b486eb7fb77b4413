//! The catalogue of events.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Numbers that follow `marker` in a text.
fn numbers(text: &str, marker: &str) -> BTreeSet<u16> {
    let rest = text.split(marker).skip(1);
    rest.filter_map(|t| t.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()).collect()
}

/// Guards against events that operators cannot look up, and against descriptions of events that are gone.
#[test]
fn the_page_lists_exactly_the_events_of_the_code() {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut code = BTreeSet::new();
    for entry in fs::read_dir(crate_dir.join("src")).unwrap() {
        let text = fs::read_to_string(entry.unwrap().path()).unwrap();
        code.extend(numbers(&text, "\"code\" => "));
        code.extend(numbers(&text, "EventCode("));
    }
    let page = fs::read_to_string(crate_dir.join("../../docs/gateway-events.md")).unwrap();
    assert_eq!(code, numbers(&page, "\n| "));
}
