//! `medlarctl load`, `medlarctl trace` and `medlarctl results`.

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

/// Sends the requests of a trace at their intended times and reports what became of them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// trace, one JSON object per line
    #[argh(option)]
    trace: PathBuf,
    /// deployment.json of the stand-ins
    #[argh(option)]
    deployment: PathBuf,
    /// folder for result.json, summary.txt and plot.svg
    #[argh(option)]
    out: Option<PathBuf>,
    /// medlarstair, random, round-robin, least-load or first-come (the last four send without daemons)
    #[argh(option, default = "Policy::Medlarstair")]
    policy: Policy,
    /// worker threads
    #[argh(option, default = "4")]
    workers: usize,
    /// start in ms of the part that the figures describe
    #[argh(option)]
    from_ms: Option<u64>,
    /// end in ms of the part that the figures describe
    #[argh(option)]
    until_ms: Option<u64>,
}

impl LoadArgs {
    /// Carries out the run.
    ///
    /// # Errors
    ///
    /// A file cannot be used, or the run cannot be carried out.
    pub fn run(&self) -> Result<(), LoadError> {
        let trace = trace::read(BufReader::new(File::open(&self.trace)?))?;
        let window = match (self.from_ms, self.until_ms) {
            (Some(from_ms), Some(until_ms)) => Some(Window { from_ms, until_ms }),
            (None, None) => None,
            _ => return Err(LoadError::invalid("give both --from-ms and --until-ms")),
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

/// Different for each run against the same stand-ins.
fn run_id() -> Box<str> {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
    format!("{ms:x}").into()
}

fn read_deployment(path: &Path) -> Result<Deployment, LoadError> {
    Ok(serde_json::from_reader(BufReader::new(File::open(path)?))?)
}

/// Writes a trace from a description.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceArgs {
    /// deployment.json of the stand-ins
    #[argh(option)]
    deployment: PathBuf,
    /// trace to write
    #[argh(option)]
    out: PathBuf,
    /// JSON description; moderate demand that fits the fleet if absent
    #[argh(option)]
    spec: Option<PathBuf>,
    /// seed, instead of that of the description
    #[argh(option)]
    seed: Option<u64>,
    /// rank of an additional flood
    #[argh(option)]
    flood: Option<Rank>,
    /// demand of the flood as a multiple of the capacity
    #[argh(option, default = "1.0")]
    times: f64,
    /// start of the flood in ms
    #[argh(option, default = "2000")]
    from_ms: u64,
    /// end of the flood in ms
    #[argh(option, default = "9000")]
    until_ms: u64,
}

impl TraceArgs {
    /// Writes the trace.
    ///
    /// # Errors
    ///
    /// A file cannot be used or the description is not valid.
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

/// Prints the results of several runs as a Markdown table.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "results")]
pub struct ResultsArgs {
    /// folder with one subfolder per run
    #[argh(positional)]
    dir: PathBuf,
}

impl ResultsArgs {
    /// Prints the table.
    ///
    /// # Errors
    ///
    /// A result cannot be read.
    pub fn run(&self) -> Result<(), LoadError> {
        print!("{}", render(&self.dir)?);
        Ok(())
    }
}
