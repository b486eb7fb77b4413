//! Traces: requests with intended send times, one JSON object per line, and their generator.

use std::io::{BufRead, Write};
use std::time::Duration;

use medlarstair::state::id::Rank;
use medlarstair_standins::Deployment;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use super::error::LoadError;

/// Most requests in a trace; bounds the memory of a run.
pub const MAX_REQUESTS: usize = 1_000_000;
/// Latest intended send time; bounds the time of a run.
pub const MAX_LENGTH: Duration = Duration::from_secs(120);

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Intended send time in µs from the start of the run.
    pub at_us: u64,
    /// Region of the caller.
    pub region: Box<str>,
    /// Customer.
    pub customer: Box<str>,
    /// Service.
    pub service: Box<str>,
    /// Rank.
    pub rank: Rank,
    /// Time in ms from the intended send time until the answer must be complete.
    pub deadline_ms: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time in ms that it runs on a backend server.
    pub run_ms: u32,
    /// Length of the answer in bytes.
    pub bytes: u32,
}

/// Demand of one rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// Demand as a part of the capacity of each service; 1 asks for every slot.
    pub load: f64,
    /// Deadline in ms.
    pub deadline_ms: u32,
    /// Part of the requests that may not be repeated.
    pub once: f64,
    /// Length of answers in bytes.
    pub bytes: u32,
}

/// Additional demand of one rank during a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Rank.
    pub rank: Rank,
    /// Demand as a multiple of the capacity of each service.
    pub load: f64,
    /// Start in ms.
    pub from_ms: u64,
    /// End in ms.
    pub until_ms: u64,
}

/// Description of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSpec {
    /// Seed of arrival times and choices.
    pub seed: u64,
    /// Length in ms.
    pub length_ms: u64,
    /// Urgent, standard and bulk.
    pub ranks: [RankSpec; 3],
    /// Relative number of callers in each region, in the order of the deployment.
    pub regions: Vec<f64>,
    /// Relative load of each service, in the order of the deployment.
    pub services: Vec<f64>,
    /// Flood, if any.
    pub flood: Option<Flood>,
}

impl TraceSpec {
    /// Demand that the fleet can serve: 25 % of the capacity urgent, 20 % standard and 10 % bulk. Standard and bulk
    /// demand exceed their floors, so that a flood of urgent requests shows whether the floors are kept.
    pub fn moderate_load(deployment: &Deployment) -> Self {
        let rank = |load, deadline_ms, once, bytes| RankSpec { load, deadline_ms, once, bytes };
        Self {
            seed: 1,
            length_ms: 10_000,
            ranks: [rank(0.25, 1_500, 0.25, 512), rank(0.2, 2_000, 0.5, 1_024), rank(0.1, 6_000, 0.0, 4_096)],
            regions: vec![1.0; deployment.regions.len()],
            services: vec![1.0; deployment.services.len()],
            flood: None,
        }
    }

    /// Generates the requests, ordered by time.
    ///
    /// # Errors
    ///
    /// A name, number or weight does not fit the deployment, or the trace would be too long.
    pub fn generate(&self, deployment: &Deployment) -> Result<Vec<TraceRequest>, LoadError> {
        self.check(deployment)?;
        let mut rng = Pcg32::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        for (s, service) in deployment.services.iter().enumerate() {
            let slots = service.backends.len() as f64 * f64::from(deployment.backend.slots);
            let capacity = slots * 1_000.0 / service.typical_run_ms as f64 * self.services[s];
            for rank in Rank::ALL {
                let mut source =
                    Source { spec: self, deployment, service: s, rank, rng: &mut rng, out: &mut requests };
                let load = self.ranks[rank.index()].load;
                source.arrivals(0, self.length_ms, load * capacity);
                if let Some(flood) = self.flood.as_ref().filter(|f| f.rank == rank) {
                    source.arrivals(flood.from_ms, flood.until_ms, flood.load * capacity);
                }
            }
        }
        requests.sort_by_key(|r| r.at_us);
        check(&requests)?;
        Ok(requests)
    }

    fn check(&self, deployment: &Deployment) -> Result<(), LoadError> {
        if self.regions.len() != deployment.regions.len() || self.services.len() != deployment.services.len()
        {
            return Err(LoadError::invalid("the description needs one weight per region and service"));
        }
        let numbers = self.ranks.iter().flat_map(|r| [r.load, r.once]).chain(self.regions.iter().copied());
        if numbers.chain(self.services.iter().copied()).any(|n| !n.is_finite() || n < 0.0) {
            return Err(LoadError::invalid("loads, parts and weights are numbers of at least 0"));
        }
        if self.regions.iter().sum::<f64>() <= 0.0 {
            return Err(LoadError::invalid("no region has callers"));
        }
        if self.length_ms > MAX_LENGTH.as_millis() as u64 {
            return Err(LoadError::invalid("the trace is too long"));
        }
        Ok(())
    }
}

/// Arrivals of one rank at one service.
struct Source<'a> {
    spec: &'a TraceSpec,
    deployment: &'a Deployment,
    service: usize,
    rank: Rank,
    rng: &'a mut Pcg32,
    out: &'a mut Vec<TraceRequest>,
}

impl Source<'_> {
    /// Poisson arrivals with `rate` requests per second.
    fn arrivals(&mut self, from_ms: u64, until_ms: u64, rate: f64) {
        if rate <= 0.0 {
            return;
        }
        let mut at_us = from_ms as f64 * 1e3;
        while self.out.len() <= MAX_REQUESTS {
            at_us -= (1.0 - self.rng.random::<f64>()).ln() / rate * 1e6;
            if at_us >= until_ms as f64 * 1e3 {
                break;
            }
            let request = self.request(at_us as u64);
            self.out.push(request);
        }
    }

    fn request(&mut self, at_us: u64) -> TraceRequest {
        let (spec, service) = (&self.spec.ranks[self.rank.index()], &self.deployment.services[self.service]);
        let customer = self.rng.random_range(0..self.deployment.customers.len());
        TraceRequest {
            at_us,
            region: self.region().into(),
            customer: self.deployment.customers[customer].as_str().into(),
            service: service.name.as_str().into(),
            rank: self.rank,
            // Daemons shorten longer deadlines to that of the contract.
            deadline_ms: spec.deadline_ms.min(service.max_deadline_ms as u32),
            repeatable: self.rng.random::<f64>() >= spec.once,
            run_ms: service.typical_run_ms as u32,
            bytes: spec.bytes,
        }
    }

    fn region(&mut self) -> &str {
        let weights = &self.spec.regions;
        let mut point = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (region, weight) in self.deployment.regions.iter().zip(weights) {
            if point < *weight {
                return region;
            }
            point -= weight;
        }
        &self.deployment.regions[0]
    }
}

/// Reads a trace, one request per line.
///
/// # Errors
///
/// A line is no request, or the trace is out of order or above the bounds.
pub fn read(input: impl BufRead) -> Result<Vec<TraceRequest>, LoadError> {
    let mut requests = Vec::new();
    for line in input.lines() {
        requests.push(serde_json::from_str(&line?)?);
        if requests.len() > MAX_REQUESTS {
            break;
        }
    }
    check(&requests)?;
    Ok(requests)
}

/// Writes a trace, one request per line.
///
/// # Errors
///
/// The output cannot be written.
pub fn write(requests: &[TraceRequest], mut output: impl Write) -> Result<(), LoadError> {
    for request in requests {
        serde_json::to_writer(&mut output, request)?;
        output.write_all(b"\n")?;
    }
    output.flush()?;
    Ok(())
}

fn check(requests: &[TraceRequest]) -> Result<(), LoadError> {
    if requests.len() > MAX_REQUESTS {
        return Err(LoadError::invalid(format!("the trace has more than {MAX_REQUESTS} requests")));
    }
    if !requests.is_sorted_by_key(|r| r.at_us) {
        return Err(LoadError::invalid("the trace is not ordered by time"));
    }
    if requests.last().is_some_and(|r| Duration::from_micros(r.at_us) > MAX_LENGTH) {
        return Err(LoadError::invalid("the trace is too long"));
    }
    Ok(())
}
