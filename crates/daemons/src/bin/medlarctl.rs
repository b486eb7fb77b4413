//! The operator command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    medlarstair_daemons::ctl::main()
}
