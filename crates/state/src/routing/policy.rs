//! Policies that choose one of the backend servers that may get a request.

use rand::{Rng, RngExt};

/// Weight of a reported load against own work. Reports lag and may mislead, so own observations weigh more.
const REPORT_WEIGHT: f64 = 0.5;

/// Cost of a server whose requests all fail, relative to one without failures, less one.
const ERROR_WEIGHT: f64 = 10.0;

/// Bounds of the relative latency. A server that answers much faster than the others may do less than they
/// do, so this attracts at most twice the work.
const LATENCY_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Part of its cost by which the second choice must be better. Smaller differences are noise; if they
/// decided, the slightly worst server would get no work at low load and could never show that it has
/// improved.
const NOISE: f64 = 0.1;

/// What is known about a backend server that may get the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CandidateStats {
    /// Position in the list of candidates.
    pub(super) index: usize,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Slots that this daemon may use.
    pub usable: u32,
    /// Reported part of the slots in use, 0 to 1; `None` without a recent report.
    pub reported: Option<f64>,
    /// Recent latency relative to the median of the service.
    pub latency: f64,
    /// Recent part of failed requests, 0 to 1.
    pub errors: f64,
}

/// Chooses a backend server.
pub trait Policy {
    /// Whether a server that fails while most others do not is held back between trials. The baselines do
    /// without.
    const EJECTS_OUTLIERS: bool = false;

    /// Index of the chosen server. `choices` is not empty.
    fn choose(&mut self, rng: &mut impl Rng, choices: &[CandidateStats]) -> usize;
}

/// The better of two random choices by own work, latency, errors and reported load.
///
/// Two choices follow Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001): daemons
/// with the same lagging reports do not all choose the same server.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl TwoChoices {
    fn cost(choice: &CandidateStats, with_report: bool) -> f64 {
        let own = f64::from(choice.in_flight + 1) / f64::from(choice.usable.max(1));
        let reported = choice.reported.filter(|_| with_report).unwrap_or(0.0);
        let latency = choice.latency.clamp(LATENCY_BOUNDS.0, LATENCY_BOUNDS.1);
        (own + REPORT_WEIGHT * reported) * latency * (1.0 + ERROR_WEIGHT * choice.errors)
    }
}

impl Policy for TwoChoices {
    const EJECTS_OUTLIERS: bool = true;

    fn choose(&mut self, rng: &mut impl Rng, choices: &[CandidateStats]) -> usize {
        if choices.len() == 1 {
            return 0;
        }
        let first = rng.random_range(0..choices.len());
        let second = (first + rng.random_range(1..choices.len())) % choices.len();
        let (a, b) = (&choices[first], &choices[second]);
        // A server without a report must not look better than one that reports its load.
        let with_report = a.reported.is_some() && b.reported.is_some();
        if Self::cost(b, with_report) < (1.0 - NOISE) * Self::cost(a, with_report) { second } else { first }
    }
}

/// Baseline: uniform random choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Policy for Random {
    fn choose(&mut self, rng: &mut impl Rng, choices: &[CandidateStats]) -> usize {
        rng.random_range(0..choices.len())
    }
}

/// Baseline: one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    fn choose(&mut self, _: &mut impl Rng, choices: &[CandidateStats]) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn % choices.len()
    }
}

/// Baseline: the least reported load; a missing report counts as full load.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastReportedLoad;

impl Policy for LeastReportedLoad {
    fn choose(&mut self, _: &mut impl Rng, choices: &[CandidateStats]) -> usize {
        let load = |i: &usize| choices[*i].reported.unwrap_or(1.0);
        (0..choices.len()).min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(0)
    }
}
