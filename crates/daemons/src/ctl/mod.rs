//! The operator command line `medlarctl`.
//!
//! Every command returns a [`Report`] with its output as text and as JSON and the exit code; [`main`] prints it.
//! Commands change the configuration through any daemon by compare-and-swap (see [`change`]).

pub mod api;
pub mod call;
pub mod change;
pub mod check;
pub mod drain;
pub mod explain;
pub mod fleet;
pub mod in_force;
pub mod load;
pub mod replay;
pub mod report;
pub mod status;
pub mod stop;
pub mod timeline;
pub mod values;

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use derive_more::Display;
use serde::Serialize;
use serde_json::{Value, json};

use api::ApiClient;

/// Exit codes, listed in docs/OPERATIONS.md. Scripts rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed or was refused.
    Failed = 1,
    /// Invalid usage or input.
    Invalid = 2,
    /// The value has changed in the meantime.
    Conflict = 3,
    /// No daemon responded, or the key-value service did not.
    Unreachable = 4,
    /// The change was accepted but was not in force on all responding daemons within the limit.
    NotInForce = 5,
}

/// An error of a command.
#[derive(Debug, Display)]
#[display("{message}")]
pub struct CtlError {
    /// Exit code of the process.
    pub exit: Exit,
    /// What failed and what the operator can do about it.
    pub message: Box<str>,
}

impl CtlError {
    /// Creates an error with an exit code and a message for the operator.
    pub fn new(exit: Exit, message: impl Into<Box<str>>) -> Self {
        Self { exit, message: message.into() }
    }

    /// Creates an error with [`Exit::Invalid`].
    pub fn invalid(message: impl Into<Box<str>>) -> Self {
        Self::new(Exit::Invalid, message)
    }

    /// Creates an error with [`Exit::Failed`].
    pub fn failed(message: impl Into<Box<str>>) -> Self {
        Self::new(Exit::Failed, message)
    }
}

/// The output of a command.
#[derive(Debug)]
pub struct Report {
    /// Exit code of the process.
    pub exit: Exit,
    /// Output for operators: empty or complete lines.
    pub text: String,
    /// Output for scripts, printed with `--json`.
    pub json: Value,
}

impl Report {
    /// Creates a report with [`Exit::Success`].
    ///
    /// # Errors
    ///
    /// If `data` cannot be serialized as JSON.
    pub fn success(text: impl Into<String>, data: &impl Serialize) -> Result<Self, CtlError> {
        let json = serde_json::to_value(data).map_err(|e| CtlError::failed(e.to_string()))?;
        Ok(Self { exit: Exit::Success, text: text.into(), json })
    }
}

/// Operates the daemons of a medlarstair deployment.
#[derive(Debug, FromArgs)]
#[argh(
    error_code(1, "failed or refused"),
    error_code(2, "invalid usage or input"),
    error_code(3, "conflict: the value has changed in the meantime"),
    error_code(4, "no daemon responded, or the key-value service did not"),
    error_code(5, "change accepted, but not in force everywhere within the limit"),
    note = "Options come before the command. docs/OPERATIONS.md describes all commands."
)]
pub struct Args {
    /// HTTP address of a daemon; may be given several times, and the addresses are tried in order until one responds
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// file with the operator token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// local IP address of outgoing connections
    #[argh(option)]
    pub source: Option<IpAddr>,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Contract(values::ContractArgs),
    Service(values::ServiceArgs),
    Config(values::ConfigArgs),
    Drain(drain::DrainArgs),
    Fleet(fleet::FleetArgs),
    Status(status::StatusArgs),
    InForce(in_force::InForceArgs),
    Timeline(timeline::TimelineArgs),
    Report(report::ReportArgs),
    Stop(stop::StopArgs),
    Call(call::CallArgs),
    Check(check::CheckArgs),
    Explain(explain::ExplainArgs),
    Replay(replay::ReplayArgs),
    Load(load::LoadArgs),
    Trace(load::TraceArgs),
    Results(load::ResultsArgs),
}

/// Runs a command.
///
/// # Errors
///
/// [`CtlError`] with the exit code and a message for the operator.
pub async fn run(args: Args) -> Result<Report, CtlError> {
    let connect = || ApiClient::new(&args.entry, args.token_file.as_deref(), args.source);
    match &args.command {
        Command::Contract(args) => values::contract(&connect()?, args).await,
        Command::Service(args) => values::service(&connect()?, args).await,
        Command::Config(args) => values::config(&connect()?, args).await,
        Command::Drain(args) => drain::run(&connect()?, args).await,
        Command::Fleet(args) => fleet::run(&connect()?, args).await,
        Command::Status(_) => status::run(&connect()?).await,
        Command::InForce(args) => in_force::run(&connect()?, args).await,
        Command::Timeline(args) => timeline::run(&connect()?, args).await,
        Command::Report(args) => report::run(&connect()?, args).await,
        Command::Stop(args) => stop::run(&connect()?, args).await,
        Command::Call(args) => call::run(&connect()?, args).await,
        Command::Check(args) => check::run(args),
        Command::Explain(args) => explain::run(args),
        Command::Replay(args) => replay::run(args),
        Command::Load(_) | Command::Trace(_) | Command::Results(_) => {
            Err(CtlError::failed("load, trace and results cannot run inside the async runtime"))
        }
    }
}

/// Runs a command of the load generator, which starts its own threads and runtimes. Returns `None` for other commands.
fn run_load_command(args: &Args) -> Option<Result<Report, CtlError>> {
    let result = match &args.command {
        Command::Load(args) => args.run(),
        Command::Trace(args) => args.run(),
        Command::Results(args) => args.run(),
        _ => return None,
    };
    let success = |()| Report { exit: Exit::Success, text: String::new(), json: Value::Null };
    Some(result.map(success).map_err(|e| CtlError::failed(e.to_string())))
}

/// Parses the arguments of the process, runs the command, prints its report and returns its exit code.
pub fn main() -> ExitCode {
    let args = std::env::args().skip(1).collect::<Vec<_>>();
    let args = args.iter().map(String::as_str).collect::<Vec<_>>();
    let args = match Args::from_args(&["medlarctl"], &args) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            eprintln!("{}\nRun medlarctl --help for the usage.", early_exit.output.trim_end());
            return ExitCode::from(Exit::Invalid as u8);
        }
    };
    let as_json = args.json;
    let result = run_load_command(&args).unwrap_or_else(|| actix::System::new().block_on(run(args)));
    let exit = match result {
        Ok(report) if as_json => {
            println!("{}", report.json);
            report.exit
        }
        Ok(report) => {
            print!("{}", report.text);
            report.exit
        }
        Err(e) => {
            if as_json {
                println!("{}", json!({ "error": e.message, "exit": e.exit as u8 }));
            }
            eprintln!("medlarctl: {e}");
            e.exit
        }
    };
    ExitCode::from(exit as u8)
}
