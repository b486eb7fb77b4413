//! The entry daemon. Each entry VM runs one; they have equal roles.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use medlarstair::coordination::{daemon, log, settings::Settings};

/// Routes client requests to backend servers.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file in INI format
    #[argh(option)]
    settings: PathBuf,
    /// validate the settings file and exit
    #[argh(switch)]
    check: bool,
}

/// Exit code for settings that cannot be read or are not valid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = argh::from_env::<Args>();
    let settings = match Settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("medlarstaird: {}: {e}", args.settings.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: the settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let (log, _guard) = log::logger(settings.node, settings.log_level);
    match actix::System::new().block_on(daemon::run(settings, log)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("medlarstaird: {e}");
            ExitCode::FAILURE
        }
    }
}
