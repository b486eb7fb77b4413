//! The load generator commands `medlarctl load`, `medlarctl trace` and `medlarctl results`.

use std::fs::{self, File};
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use medlarstair::state::id::Rank;
use medlarstair_standins::Deployment;

use crate::load::error::LoadError;
use crate::load::plot;
use crate::load::policy::Policy;
use crate::load::report::Window;
use crate::load::run::{RunConfig, run};
use crate::load::summary::Summary;
use crate::load::table::{RESULT_FILE, render};
use crate::load::trace::{self, Flood, TraceSpec};

/// send the requests of a trace at their scheduled times and report their outcomes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// trace file with one JSON object per line
    #[argh(option)]
    trace: PathBuf,
    /// deployment.json of the test deployment
    #[argh(option)]
    deployment: PathBuf,
    /// output directory for result.json, summary.txt and plot.svg
    #[argh(option)]
    out: Option<PathBuf>,
    /// medlarstair, random, round-robin, least-load or first-come; all but medlarstair bypass the daemons
    #[argh(option, default = "Policy::Medlarstair")]
    policy: Policy,
    /// number of worker threads, 4 by default
    #[argh(option, default = "4")]
    workers: usize,
    /// start of the measured window in ms; needs --until-ms
    #[argh(option)]
    from_ms: Option<u64>,
    /// end of the measured window in ms; needs --from-ms
    #[argh(option)]
    until_ms: Option<u64>,
}

impl LoadArgs {
    /// Runs the trace, prints the summary and writes the output directory if one is given.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or written, or the run fails.
    pub fn run(&self) -> Result<(), LoadError> {
        let trace = trace::read(BufReader::new(File::open(&self.trace)?))?;
        let window = match (self.from_ms, self.until_ms) {
            (Some(from_ms), Some(until_ms)) => Some(Window { from_ms, until_ms }),
            (None, None) => None,
            _ => return Err(LoadError::invalid("--from-ms and --until-ms must be given together")),
        };
        let report = run(RunConfig {
            deployment: read_deployment(&self.deployment)?,
            trace,
            policy: self.policy,
            workers: self.workers,
            window,
            run_id: run_id(),
        })?;
        print!("{}", Summary(&report));
        let Some(out) = &self.out else {
            return Ok(());
        };
        fs::create_dir_all(out)?;
        fs::write(out.join(RESULT_FILE), serde_json::to_vec_pretty(&report)?)?;
        fs::write(out.join("summary.txt"), Summary(&report).to_string())?;
        plot::write(&report, &out.join("plot.svg"))
    }
}

/// Returns an id that distinguishes the runs against one deployment.
fn run_id() -> Box<str> {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
    format!("{ms:x}").into()
}

fn read_deployment(path: &Path) -> Result<Deployment, LoadError> {
    Ok(serde_json::from_reader(BufReader::new(File::open(path)?))?)
}

/// generate a trace from a specification
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// deployment.json of the test deployment
    #[argh(option)]
    deployment: PathBuf,
    /// trace file to write
    #[argh(option)]
    out: PathBuf,
    /// JSON file with the specification; by default a moderate load within the capacity of the deployment
    #[argh(option)]
    spec: Option<PathBuf>,
    /// random seed; by default that of the specification
    #[argh(option)]
    seed: Option<u64>,
    /// rank of the requests of an additional flood; no flood by default
    #[argh(option)]
    flood: Option<Rank>,
    /// load of the flood as a multiple of the capacity, 1.0 by default
    #[argh(option, default = "1.0")]
    times: f64,
    /// start of the flood in ms, 2000 by default
    #[argh(option, default = "2000")]
    from_ms: u64,
    /// end of the flood in ms, 9000 by default
    #[argh(option, default = "9000")]
    until_ms: u64,
}

impl TraceArgs {
    /// Generates and writes the trace.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or written, or the specification is not valid.
    pub fn run(&self) -> Result<(), LoadError> {
        let deployment = read_deployment(&self.deployment)?;
        let mut spec = match &self.spec {
            Some(path) => serde_json::from_reader(BufReader::new(File::open(path)?))?,
            None => TraceSpec::moderate_load(&deployment),
        };
        spec.seed = self.seed.unwrap_or(spec.seed);
        if let Some(rank) = self.flood {
            let (from_ms, until_ms) = (self.from_ms, self.until_ms);
            spec.flood = Some(Flood { rank, load: self.times, from_ms, until_ms });
        }
        let requests = spec.generate(&deployment)?;
        trace::write(&requests, BufWriter::new(File::create(&self.out)?))?;
        println!("{}: {} requests", self.out.display(), requests.len());
        Ok(())
    }
}

/// print the results of several runs as a Markdown table
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "results")]
pub struct ResultsArgs {
    /// directory with one subdirectory per run
    #[argh(positional)]
    dir: PathBuf,
}

impl ResultsArgs {
    /// Prints the table.
    ///
    /// # Errors
    ///
    /// If a result cannot be read.
    pub fn run(&self) -> Result<(), LoadError> {
        print!("{}", render(&self.dir)?);
        Ok(())
    }
}
