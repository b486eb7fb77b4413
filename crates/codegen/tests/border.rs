//! Test that the committed API types match the schema.

use std::process::Command;

/// Guards against a schema change without regenerated types, and against manual edits of the generated types.
#[test]
fn generated_types_match_the_schema() {
    let out = Command::new(env!("CARGO_BIN_EXE_medlarstair-codegen")).arg("--check").output();
    let out = out.expect("the generator starts");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}
