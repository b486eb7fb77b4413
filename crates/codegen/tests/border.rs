//! The committed border types match their schema.

use std::process::Command;

/// Guards against a change of the schema without the generated types, or of the types by hand.
#[test]
fn border_types_match_their_schema() {
    let out = Command::new(env!("CARGO_BIN_EXE_medlarstair-codegen")).arg("--check").output();
    let out = out.expect("the generator starts");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
}
