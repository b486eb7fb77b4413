//! The command line of medlarstair.

use std::process::ExitCode;

use argh::FromArgs;
use medlarstair_daemons::ctl::load::{LoadArgs, ResultsArgs, TraceArgs};

/// Operates and measures medlarstair.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Load(LoadArgs),
    Trace(TraceArgs),
    Results(ResultsArgs),
}

fn main() -> ExitCode {
    let result = match argh::from_env::<Args>().command {
        Command::Load(args) => args.run(),
        Command::Trace(args) => args.run(),
        Command::Results(args) => args.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("medlarctl: {e}");
            ExitCode::FAILURE
        }
    }
}
