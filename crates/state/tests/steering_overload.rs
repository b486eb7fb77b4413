//! Replays of overload against the load balancing logic. Each test states the load and the failure that it guards
//! against, and requires more served value than the logic without admission control reached on the same load and seeds.

mod overload_support;

use overload_support::{Kind, Load, Simulation, Tally};

/// Length of a replay in seconds: two periods of the oscillation of the load.
const SECONDS: u64 = 72;

const BALANCE: Kind = Kind {
    name: "balance",
    rate: 409.0,
    work: 880.0,
    objective: 500,
    deadline: 4_000,
    timeout: Some(2_000),
    value: (1.5, 0.12),
    priority: 0,
};

const HOLD: Kind = Kind {
    name: "hold",
    rate: 179.0,
    work: 1_160.0,
    objective: 800,
    deadline: 6_000,
    timeout: Some(2_500),
    value: (1.6, 0.31),
    priority: 1,
};

const STATEMENT: Kind = Kind {
    name: "statement",
    rate: 204.0,
    work: 2_200.0,
    objective: 3_000,
    deadline: 12_000,
    timeout: Some(5_000),
    value: (0.39, 0.12),
    priority: 2,
};

const CREDIT: Kind = Kind {
    name: "credit",
    rate: 391.0,
    work: 990.0,
    objective: 800,
    deadline: 6_000,
    timeout: Some(2_000),
    value: (2.0, 0.4),
    priority: 1,
};

const PIPELINED_BALANCE: Kind = Kind {
    name: "pipelined-balance",
    rate: 853.0,
    work: 750.0,
    objective: 600,
    deadline: 4_000,
    timeout: Some(1_500),
    value: (1.0, 0.2),
    priority: 2,
};

/// The first service of deployment A, scaled down.
fn load_a(factor: f64) -> Load {
    Load {
        kinds: vec![BALANCE, HOLD],
        servers: [2, 7, 8],
        slots: 4,
        queue: 12,
        warm_objects: 18,
        factor,
        burst: 1.0,
        impatience: 1.0,
        leaving: 0.0,
    }
}

/// All request types of deployment A on one service.
fn load_a_mixed(factor: f64) -> Load {
    Load { kinds: vec![BALANCE, HOLD, STATEMENT], ..load_a(factor) }
}

/// The first service of deployment B, scaled down.
fn load_b(factor: f64) -> Load {
    let kinds = vec![PIPELINED_BALANCE, CREDIT];
    Load { kinds, servers: [2, 6, 7], slots: 6, queue: 18, warm_objects: 24, ..load_a(factor) }
}

/// Runs a load with several seeds. Returns the sum of the tallies by request type.
fn replay(load: &Load) -> Vec<Tally> {
    let mut sums = vec![Tally::default(); load.kinds.len()];
    for seed in 1..=2 {
        let mut simulation = Simulation::new(load.clone(), seed);
        simulation.run(SECONDS);
        for (sum, tally) in sums.iter_mut().zip(&simulation.tallies) {
            sum.arrived += tally.arrived;
            sum.on_time += tally.on_time;
            sum.late += tally.late;
            sum.value += tally.value;
            sum.refused += tally.refused;
            sum.held += tally.held;
        }
    }
    sums
}

/// Value of all responses, relative to that if all requests were answered on time.
fn value_share(load: &Load, tallies: &[Tally]) -> f64 {
    let full: f64 = load.kinds.iter().zip(tallies).map(|(k, t)| k.value.0 * t.arrived).sum();
    tallies.iter().map(|t| t.value).sum::<f64>() / full
}

/// Requires `gain` times the value share that the logic without admission control reached on this load.
fn check(name: &str, load: &Load, baseline: f64, gain: f64) {
    let tallies = replay(load);
    let share = value_share(load, &tallies);
    println!("{name}: {share:.4} of the value, {baseline:.4} without admission control");
    for (kind, tally) in load.kinds.iter().zip(&tallies) {
        let of_arrived = |n: f64| n / tally.arrived;
        let (on_time, late) = (of_arrived(tally.on_time), of_arrived(tally.late));
        println!(
            "  {}: {on_time:.3} on time, {late:.3} late, {:.3} of the refusals held",
            kind.name,
            tally.held / tally.refused.max(1.0)
        );
    }
    assert!(share >= baseline * gain, "{name}: {share:.4}, {baseline:.4} without admission control");
}

/// Guards against slots that are taken by late requests while others could be on time, for a sustained overload of 1.45.
#[test]
fn a_sustained_overload_keeps_its_value() {
    check("sustained A", &load_a(1.45), 0.1020, 1.8);
    check("sustained A, three types", &load_a_mixed(1.45), 0.2294, 1.25);
    check("sustained B", &load_b(1.45), 0.1415, 1.9);
}

/// Guards against a burst of 2.4 of one request type, for 6 s of every 12 s, whose backlog makes later requests late.
#[test]
fn a_burst_of_one_type_keeps_its_value() {
    check("burst A", &Load { burst: 2.4, ..load_a(0.9) }, 0.0883, 2.2);
    check("burst B", &Load { burst: 2.4, ..load_b(0.9) }, 0.1836, 1.8);
}

/// Guards against clients that return after a third of the advised time, which triples the rate of retries.
#[test]
fn early_retries_keep_the_value() {
    check("retries A", &Load { impatience: 3.0, ..load_a(1.2) }, 0.1347, 1.5);
    check("retries B", &Load { impatience: 3.0, ..load_b(1.2) }, 0.1886, 1.8);
}

/// Guards against a region whose servers are a tenth of its demand and that makes its requests late instead of moving or
/// refusing them.
#[test]
fn a_region_with_a_tenth_of_its_demand_keeps_the_value() {
    check("tenth A", &Load { servers: [1, 13, 13], ..load_a(1.1) }, 0.1887, 1.35);
    check("tenth B", &Load { servers: [1, 13, 13], ..load_b(1.1) }, 0.2162, 1.7);
}

/// Guards against slots that are taken by requests whose clients have disconnected: 40 % do at their objective.
#[test]
fn clients_that_leave_early_keep_the_value() {
    check("leaving A", &Load { leaving: 0.4, ..load_a(1.2) }, 0.1556, 1.35);
    check("leaving B", &Load { leaving: 0.4, ..load_b(1.2) }, 0.2143, 1.5);
}

/// Guards against admission control that rejects requests which could be served, at a mean load of 0.7.
#[test]
fn a_load_below_the_capacity_loses_no_value() {
    check("usual A", &load_a(0.7), 0.2773, 0.99);
    check("usual B", &load_b(0.7), 0.5426, 0.99);
}

/// Guards against a request type that starves, and one that is served less than a less urgent one, for an overload of 1.45.
#[test]
fn no_request_type_starves() {
    for load in [load_a(1.45), load_a_mixed(1.45), load_b(1.45)] {
        let tallies = replay(&load);
        let served = |t: &Tally| (t.on_time + t.late) / t.arrived;
        let arrived: f64 = tallies.iter().map(|t| t.arrived).sum();
        let overall = tallies.iter().map(|t| t.on_time + t.late).sum::<f64>() / arrived;
        for (kind, tally) in load.kinds.iter().zip(&tallies) {
            assert!(served(tally) >= overall / 4.0, "{}: {:.3} of {overall:.3}", kind.name, served(tally));
            for (other, less) in load.kinds.iter().zip(&tallies) {
                if other.priority <= kind.priority {
                    continue;
                }
                let value = |k: &Kind, t: &Tally| t.value / t.arrived / k.value.0;
                assert!(served(tally) >= served(less) - 0.05, "{} before {}", other.name, kind.name);
                assert!(
                    value(kind, tally) >= value(other, less) - 0.15,
                    "{} before {}",
                    other.name,
                    kind.name
                );
            }
        }
    }
}

/// Guards against requests that wait in the queue of the daemon and are then refused, so that their objective has passed
/// before they can be tried elsewhere.
#[test]
fn refusals_come_within_an_eighth_of_the_objective() {
    for load in [load_a_mixed(1.45), load_b(1.45)] {
        for (kind, tally) in load.kinds.iter().zip(replay(&load)) {
            let held = tally.held / tally.refused;
            assert!(held < 0.02, "{}: {held:.3} of the refusals were held longer", kind.name);
        }
    }
}
