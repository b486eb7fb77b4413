//! Load balancing policies.

use rand::{Rng, RngExt};

/// Weight of the reported load relative to the daemon's own requests. Reports are delayed and may be wrong, so own
/// observations have more weight.
const REPORT_WEIGHT: f64 = 0.5;

/// Weight of the error rate in the cost. A server whose requests all fail has `1 + ERROR_COST` times the cost of one
/// without errors.
const ERROR_COST: f64 = 10.0;

/// Bounds of the relative latency in the cost. A server that responds much faster than the others may be doing less
/// work per request, so low latency attracts at most twice the requests.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Fraction by which the cost of the second choice must be lower than that of the first. Smaller differences are
/// treated as noise. If they decided, the slightly worst server would get no requests at low load, and an improvement
/// would never be measured.
const MIN_COST_ADVANTAGE: f64 = 0.1;

/// Statistics of a backend server that can take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateStats {
    /// Index in the list of candidates.
    pub(super) index: usize,
    /// Requests of this daemon that are in flight.
    pub in_flight: u32,
    /// Slots that this daemon may use.
    pub usable: u32,
    /// Reported fraction of the slots in use, 0 to 1; `None` without a recent report.
    pub reported_load: Option<f64>,
    /// Recent latency divided by the median of the service's servers.
    pub relative_latency: f64,
    /// Recent fraction of failed requests, 0 to 1.
    pub error_rate: f64,
}

/// A load balancing policy.
pub trait Policy {
    /// Whether a server that fails while most others do not gets only occasional trial requests. The baseline policies
    /// do not use this.
    const EJECTS_OUTLIERS: bool = false;

    /// Returns the index in `stats` of the chosen server. `stats` must not be empty.
    fn choose(&mut self, rng: &mut impl Rng, stats: &[CandidateStats]) -> usize;
}

/// Chooses the better of two random servers by own requests, latency, error rate and reported load.
///
/// Based on Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001). Because of the random
/// choice, daemons with the same delayed reports do not all choose the same server.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl TwoChoices {
    fn cost(stats: &CandidateStats, with_report: bool) -> f64 {
        let own = f64::from(stats.in_flight + 1) / f64::from(stats.usable.max(1));
        let reported = stats.reported_load.filter(|_| with_report).unwrap_or(0.0);
        let latency = stats.relative_latency.clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1);
        (own + REPORT_WEIGHT * reported) * latency * (1.0 + ERROR_COST * stats.error_rate)
    }
}

impl Policy for TwoChoices {
    const EJECTS_OUTLIERS: bool = true;

    fn choose(&mut self, rng: &mut impl Rng, stats: &[CandidateStats]) -> usize {
        if stats.len() == 1 {
            return 0;
        }
        let first = rng.random_range(0..stats.len());
        let second = (first + rng.random_range(1..stats.len())) % stats.len();
        let (a, b) = (&stats[first], &stats[second]);
        // Reports count only if both servers have one. Otherwise a server without a report would have the lower cost.
        let with_report = a.reported_load.is_some() && b.reported_load.is_some();
        if Self::cost(b, with_report) < (1.0 - MIN_COST_ADVANTAGE) * Self::cost(a, with_report) {
            second
        } else {
            first
        }
    }
}

/// Baseline: uniform random choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Policy for Random {
    fn choose(&mut self, rng: &mut impl Rng, stats: &[CandidateStats]) -> usize {
        rng.random_range(0..stats.len())
    }
}

/// Baseline: round-robin.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    position: usize,
}

impl Policy for RoundRobin {
    fn choose(&mut self, _: &mut impl Rng, stats: &[CandidateStats]) -> usize {
        self.position = self.position.wrapping_add(1);
        self.position % stats.len()
    }
}

/// Baseline: lowest reported load; a server without a recent report counts as fully loaded.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastReportedLoad;

impl Policy for LeastReportedLoad {
    fn choose(&mut self, _: &mut impl Rng, stats: &[CandidateStats]) -> usize {
        let load = |i: &usize| stats[*i].reported_load.unwrap_or(1.0);
        (0..stats.len()).min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(0)
    }
}
