//! Runs stand-ins in a process of their own. Prints `ready` and the address when they have started, and runs until the
//! process is terminated.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use argh::FromArgs;
use medlarstair_standins::{
    BackendConfig, BackendServer, Deployment, KvService, Relay, RelayConfig, VmListFaults, VmListService,
    VmListing, Worker, flat,
};
use serde::de::DeserializeOwned;

/// Simulates the platform, backend servers and network links.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Kv(KvArgs),
    Vms(VmsArgs),
    Backend(BackendArgs),
    Relay(RelayArgs),
    Deployment(DeploymentArgs),
    Flat(FlatArgs),
}

/// key-value service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "kv")]
struct KvArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// VM list
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
struct VmsArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// time in ms until a new list is visible
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// JSON file with the initial list
    #[argh(option)]
    list: Option<PathBuf>,
}

/// backend server
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// JSON file with slots, run_ms, cold_ms, cold_factor, restart_ms, connections and connect_ms
    #[argh(option)]
    config: Option<PathBuf>,
}

/// link relay
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "relay")]
struct RelayArgs {
    /// address of the control interface
    #[argh(option)]
    listen: SocketAddr,
    /// JSON file with places, delays, bandwidths, fronts, stall_ms and seed
    #[argh(option)]
    config: PathBuf,
}

/// all stand-ins of a deployment
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "deployment")]
struct DeploymentArgs {
    /// consortium or authority
    #[argh(positional)]
    name: String,
    /// output directory for deployment.json, settings and the initial keys
    #[argh(option)]
    dir: PathBuf,
    /// second octet of all loopback addresses
    #[argh(option, default = "11")]
    block: u8,
    /// factor for the typical run times; longer runs reduce the request rate at the same load
    #[argh(option, default = "1")]
    run_scale: u64,
    /// rate of each contract in percent of the capacity of a service
    #[argh(option)]
    rate_percent: Option<u64>,
}

/// stand-ins for any number of daemons without link delays, for capacity measurements
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "flat")]
struct FlatArgs {
    /// output directory for deployment.json, settings and the initial keys
    #[argh(option)]
    dir: PathBuf,
    /// second octet of all loopback addresses
    #[argh(option)]
    block: u8,
    /// number of entry daemons, at least 2
    #[argh(option)]
    daemons: usize,
    /// number of failure domains
    #[argh(option, default = "1")]
    domains: usize,
    /// number of regions
    #[argh(option, default = "1")]
    regions: usize,
    /// number of backend servers
    #[argh(option, default = "1")]
    backends: usize,
    /// typical run time of a request in ms
    #[argh(option, default = "20")]
    run_ms: u64,
}

fn main() -> ExitCode {
    match run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> io::Result<()> {
    let worker = Worker::start()?;
    match args.command {
        Command::Kv(args) => {
            let kv = KvService::start(&worker, args.listen)?;
            serve(&kv.address().to_string())
        }
        Command::Vms(args) => {
            let list: VmListing = read_or_default(args.list)?;
            let vms = VmListService::start(&worker, args.listen, list)?;
            vms.set_faults(VmListFaults { lag_ms: args.lag_ms });
            serve(&vms.address().to_string())
        }
        Command::Backend(args) => {
            let config: BackendConfig = read_or_default(args.config)?;
            let server = BackendServer::start(&worker, args.listen, config)?;
            serve(&server.address().to_string())
        }
        Command::Relay(args) => {
            let config: RelayConfig = read_or_default(Some(args.config))?;
            let relay = Relay::start(&worker, args.listen, config)?;
            serve(&relay.address().to_string())
        }
        Command::Deployment(args) => {
            let Some(mut deployment) = Deployment::named(&args.name, args.block) else {
                let message = format!("unknown deployment {:?}, expected consortium or authority", args.name);
                return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
            };
            for service in &mut deployment.services {
                service.typical_run_ms *= args.run_scale;
            }
            deployment.rate_percent = args.rate_percent.unwrap_or(deployment.rate_percent);
            deployment.write(&args.dir)?;
            let running = deployment.start()?;
            serve(&running.relay.address().to_string())
        }
        Command::Flat(args) => {
            let FlatArgs { daemons, domains, regions, backends, run_ms, .. } = args;
            let size = flat::FlatSize { daemons, domains, regions, backends, run_ms };
            let deployment = flat::deployment(size, args.block);
            deployment.write(&args.dir)?;
            let running = flat::start(&deployment)?;
            serve(&running.kv.address().to_string())
        }
    }
}

fn read_or_default<T: DeserializeOwned + Default>(path: Option<PathBuf>) -> io::Result<T> {
    let Some(path) = path else { return Ok(T::default()) };
    serde_json::from_slice(&std::fs::read(path)?).map_err(io::Error::from)
}

/// Reports that the stand-ins have started, and blocks forever while they run.
fn serve(address: &str) -> ! {
    println!("ready {address}");
    loop {
        thread::park();
    }
}
