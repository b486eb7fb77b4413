//! The command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarstair_daemons::ctl::main()
}
