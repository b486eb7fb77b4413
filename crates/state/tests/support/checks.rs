//! Checks of the properties P1 to P8, during a simulation and at its end.

use super::*;

/// Time limit for an accepted change to be in force on every reachable daemon.
const MAX_PROPAGATION_TIME: Micros = 4 * SEC;

/// Delay after which a leaving server must not receive new requests.
const MAX_LEAVING_DELAY: Micros = 2 * SEC;

/// Load of a region, in percent of its slots, above which it must not lend slots to other regions.
const MAX_LENDING_LOAD: usize = 90;

/// Documented burst of a rate limit, as the time in which it accrues at that rate.
const BURST: Micros = 500 * MS;

/// Violation of a property.
#[derive(Debug, Clone)]
pub struct Violation {
    pub at: Micros,
    pub property: &'static str,
    pub message: String,
}

#[derive(Debug)]
struct Write {
    key: Box<str>,
    revision: Revision,
    /// Time since which each daemon has been able to receive the write but does not have it in force; `None` otherwise.
    reachable_since: Vec<Option<Micros>>,
}

/// Leaky bucket of the requests that one region starts in other regions. It leaks at the rate of the shift cap.
#[derive(Debug, Default)]
struct CrossRegionBucket {
    level: f64,
    at: Micros,
    pub starts: u32,
}

#[derive(Debug, Default)]
pub struct Checks {
    pub violations: Vec<Violation>,
    /// Daemon whose events are recorded in [`Daemon::trace`].
    pub traced: Option<usize>,
    cross_region: [CrossRegionBucket; REGIONS],
    /// Cap in the contract; [`SHIFT_CAP`] if 0.
    shift_cap: u32,
    /// Executions by operation.
    op_runs: BTreeMap<usize, u32>,
    writes: Vec<Write>,
    pub in_force_checks: u64,
    pub cross_region_starts: u32,
    pub cross_region_grants: u32,
    /// Renewed loan by the ID of the renewal.
    pub renewals: BTreeMap<LoanId, LoanId>,
    /// Lent slots by loan.
    lent: BTreeMap<LoanId, u32>,
}

impl Checks {
    pub fn add_violation(&mut self, at: Micros, property: &'static str, message: String) {
        self.violations.push(Violation { at, property, message });
    }

    /// Records an accepted write, to check when it is in force.
    pub fn on_write(&mut self, nodes: usize, key: &str, revision: Revision) {
        let reachable_since = vec![None; nodes];
        self.writes.push(Write { key: key.into(), revision, reachable_since });
    }

    pub fn set_shift_cap(&mut self, cap: u32) {
        self.shift_cap = cap;
    }
}

impl Simulation {
    /// Panics if one of `properties` was violated.
    pub fn assert_no_violations(&self, properties: &[&str]) {
        let violated = |v: &&checks::Violation| properties.contains(&v.property);
        if let Some(first) = self.checks.violations.iter().find(violated) {
            let count = self.checks.violations.iter().filter(violated).count();
            panic!("{} at {} ms: {} ({count} in all)", first.property, first.at / MS, first.message);
        }
    }

    /// Checks that the server is not leaving and that the shift cap is kept.
    pub fn check_dispatch(&mut self, run: usize) {
        let Run { node, server, .. } = self.runs[run];
        let now = self.now;
        if self.servers[server].leaving_since.is_some_and(|at| now > at + MAX_LEAVING_DELAY) {
            self.checks.add_violation(
                now,
                "P6",
                format!("daemon {node} starts a request on s{server}, which is leaving"),
            );
        }
        let region = region_of(node);
        if region == region_of(server) {
            return;
        }
        self.checks.cross_region_starts += 1;
        let cap = f64::from(if self.checks.shift_cap == 0 { SHIFT_CAP } else { self.checks.shift_cap });
        let bucket = &mut self.checks.cross_region[region];
        let seconds = |micros: Micros| micros as f64 / SEC as f64;
        bucket.level = (bucket.level - seconds(now - bucket.at) * cap * MAX_CLOCK_RATE).max(0.0) + 1.0;
        bucket.at = now;
        bucket.starts += 1;
        let level = bucket.level;
        if level > cap * seconds(BURST) + 0.001 {
            self.checks.add_violation(
                now,
                "P1",
                format!("r{region} exceeds the cap {cap}/s: burst of {level:.2}"),
            );
        }
    }

    /// Checks that a daemon grants or renews a loan of slots to another region only while the load of its own region is
    /// not above the limit. Requests started later on the loan are limited by its term.
    pub fn check_grant(&mut self, lender: usize, borrower: usize, grant: &LoanGrant) {
        let target = region_of(lender);
        let lends_slots = grant.items.iter().any(|item| matches!(item.key, LimitKey::Slots(_)));
        if target == region_of(borrower) || !lends_slots {
            return;
        }
        self.checks.cross_region_grants += 1;
        // A renewal with fewer slots than before reduces the load and is allowed.
        let units = |grant: &LoanGrant| grant.items.iter().map(|item| item.units.0).sum::<u32>();
        let renewed = self.checks.renewals.get(&grant.id).and_then(|old| self.checks.lent.get(old));
        let reduces = renewed.is_some_and(|before| units(grant) < *before);
        self.checks.lent.insert(grant.id, units(grant));
        let (mut slots, mut used) = (0, 0);
        for server in self.servers.iter().filter(|s| region_of_spec(s) == target) {
            slots += server.spec.slots.0 as usize;
            used += server.running.len();
        }
        if used * 100 > slots * MAX_LENDING_LOAD && !reduces {
            let message = format!(
                "daemon {lender} lends to r{} with {used} of {slots} slots in use",
                region_of(borrower)
            );
            self.checks.add_violation(self.now, "P2 region", message);
        }
    }

    /// Starts an execution. Checks the slots of the server and that operations are executed once.
    pub fn start_run(&mut self, run: usize) {
        let Run { node, server, send, .. } = self.runs[run];
        self.servers[server].running.insert(run);
        let running = self.servers[server].running.len();
        if running > SLOTS as usize {
            let message = format!("s{server} executes {running} requests, the last for daemon {node}");
            self.checks.add_violation(self.now, "P2 slots", message);
        }
        let op = self.sends[send].op;
        let runs = self.checks.op_runs.entry(op).or_default();
        *runs += 1;
        if *runs > 1 && self.ops[op].idempotency != Idempotency::Repeatable {
            let message = format!("operation {op} is executed again, for daemon {node}");
            self.checks.add_violation(self.now, "P5", message);
        }
    }

    /// Checks that accepted writes are in force in time and that no daemon reverts to an older revision.
    pub fn sample(&mut self) {
        for node in 0..self.daemons.len() {
            let Some(logic) = self.daemons[node].node.as_ref() else {
                continue;
            };
            let live = logic.config_keys_before(Revision(u64::MAX));
            self.daemons[node].live_keys = live.into_iter().collect();
            let Some(logic) = self.daemons[node].node.as_ref() else {
                continue;
            };
            for KeyRevision { key, revision } in logic.config_summary() {
                let before = self.daemons[node].revisions.insert(key.clone(), revision);
                if before.is_some_and(|before| before > revision) {
                    let message = format!("daemon {node} reverts to revision {revision} of {key}");
                    self.checks.add_violation(self.now, "P8", message);
                }
            }
        }
        let mut writes = std::mem::take(&mut self.checks.writes);
        for write in &mut writes {
            self.check_in_force(write);
        }
        self.checks.writes = writes;
    }

    fn check_in_force(&mut self, write: &mut Write) {
        let newest = |d: &Daemon| d.revisions.get(&write.key).copied();
        let is_running = |n: &usize| self.daemons[*n].node.is_some() && !self.daemons[*n].paused;
        let nodes = (0..self.daemons.len()).filter(is_running).collect::<Vec<_>>();
        let has_revision = |n: usize| newest(&self.daemons[n]).is_some_and(|r| r >= write.revision);
        // A deletion is also in force on a daemon that has no value for the key, whichever revision it knows.
        let is_deleted = self.entries[&write.key].value.is_none();
        let in_force =
            |n: usize| has_revision(n) || (is_deleted && !self.daemons[n].live_keys.contains(&write.key));
        let mut late = Vec::new();
        for node in 0..self.daemons.len() {
            let reachable = nodes.contains(&node)
                && ((self.store_reachable(node) && !self.store_stale)
                    || nodes.iter().any(|peer| has_revision(*peer) && self.connected(node, *peer)));
            if !reachable || in_force(node) {
                write.reachable_since[node] = None;
                continue;
            }
            self.checks.in_force_checks += 1;
            let since = *write.reachable_since[node].get_or_insert(self.now);
            if self.now > since + MAX_PROPAGATION_TIME {
                late.push(node);
                write.reachable_since[node] = Some(self.now);
            }
        }
        for node in late {
            let message =
                format!("revision {} of {} is not in force on daemon {node}", write.revision, write.key);
            self.checks.add_violation(self.now, "P8", message);
        }
    }

    /// Checks every answer against the executions, at the end of a simulation.
    pub fn check_answers(&mut self) {
        let mut ran = BTreeSet::new();
        for run in self.runs.iter().filter(|run| run.start.is_some()) {
            ran.insert(run.send);
        }
        for (index, sent) in self.sends.iter().enumerate() {
            let Some((at, answer)) = &sent.answer else {
                continue;
            };
            match answer {
                Answer::Refused(refusal) if refusal.outcome == Outcome::NotRun && ran.contains(&index) => {
                    let message = format!(
                        "request {index} was executed and is reported as not run: {}",
                        refusal.reason
                    );
                    self.checks.add_violation(*at, "P4", message);
                }
                Answer::Ran(body) if *body != self.ops[sent.op].fingerprint => {
                    let message = format!("request {index} receives the answer to another request: {body}");
                    self.checks.add_violation(*at, "P3", message);
                }
                _ => {}
            }
        }
    }

    /// Number of requests that were answered after their execution.
    pub fn ran_count(&self) -> usize {
        self.sends.iter().filter(|s| matches!(s.answer, Some((_, Answer::Ran(_))))).count()
    }
}

/// Rate of the fastest daemon clock relative to virtual time.
const MAX_CLOCK_RATE: f64 = 1.01;

fn region_of_spec(server: &Server) -> usize {
    let name = server.spec.name.as_str();
    region_of(name[1..].parse().unwrap())
}
