//! Generates the Rust types of the external API, `crates/protocol/src/border.rs`, from the JSON schema
//! `crates/protocol/schema/border.json`.
//!
//! The generated file is committed, so that builds do not run the generator. Run `cargo run -p medlarstair-codegen`
//! after a change of the schema. With `--check`, the committed file is compared and not written.

use std::path::Path;
use std::process::ExitCode;
use std::{env, fs};

use typify::{TypeSpace, TypeSpaceSettings};

const HEADER: &str = "//! Types of the external API, generated from `schema/border.json`.\n\
                      //!\n\
                      //! Do not edit; run `cargo run -p medlarstair-codegen`.\n\n\
                      #![allow(missing_docs, clippy::all)]\n\n";

fn generate(schema: &str) -> Result<String, String> {
    let root = serde_json::from_str::<schemars::schema::RootSchema>(schema).map_err(|e| e.to_string())?;
    let mut space = TypeSpace::new(&TypeSpaceSettings::default());
    space.add_ref_types(root.definitions).map_err(|e| e.to_string())?;
    let file = syn::parse2::<syn::File>(space.to_stream()).map_err(|e| e.to_string())?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}

fn run() -> Result<(), String> {
    let protocol = Path::new(env!("CARGO_MANIFEST_DIR")).join("../protocol");
    let schema = fs::read_to_string(protocol.join("schema/border.json")).map_err(|e| e.to_string())?;
    let target = protocol.join("src/border.rs");
    let generated = generate(&schema)?;
    if env::args().any(|a| a == "--check") {
        let committed = fs::read_to_string(&target).map_err(|e| e.to_string())?;
        if committed != generated {
            return Err("border.rs differs from its schema; run `cargo run -p medlarstair-codegen`".into());
        }
        return Ok(());
    }
    fs::write(&target, generated).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("medlarstair-codegen: {e}");
            ExitCode::FAILURE
        }
    }
}
