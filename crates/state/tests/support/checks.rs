//! Bounds that hold at each step, and those that hold for a whole run.

use super::*;

/// Time within which an accepted change is in force on every daemon that can be reached.
const IN_FORCE: Micros = 4 * SEC;

/// Time after which a leaving server gets no new work.
const LEAVE: Micros = 2 * SEC;

/// Part of its slots, in percent, up to which a region takes work from others.
const REGION_LOAD_MAX: usize = 90;

/// Documented burst of a rate limit, as time at its rate.
const BURST: Micros = 500 * MS;

/// A violated bound.
#[derive(Debug, Clone)]
pub struct Violation {
    pub at: Micros,
    pub property: &'static str,
    pub what: String,
}

#[derive(Debug)]
struct Write {
    key: Box<str>,
    revision: Revision,
    /// Since when each daemon could have learnt of it.
    reachable_since: Vec<Option<Micros>>,
}

/// Starts of one region at other regions, as the level of a bucket that leaks at the cap.
#[derive(Debug, Default)]
struct Shifted {
    level: f64,
    at: Micros,
    pub starts: u32,
}

#[derive(Debug, Default)]
pub struct Checks {
    pub violations: Vec<Violation>,
    /// Daemon whose events are kept.
    pub traced: Option<usize>,
    shifted: [Shifted; REGIONS],
    shift_cap: u32,
    op_runs: BTreeMap<usize, u32>,
    writes: Vec<Write>,
    pub in_force_checks: u64,
    pub cross_region_starts: u32,
    pub cross_region_grants: u32,
    /// Which loan a loan renews.
    pub renewals: BTreeMap<LoanId, LoanId>,
    lent: BTreeMap<LoanId, u32>,
}

impl Checks {
    pub fn fail(&mut self, at: Micros, property: &'static str, what: String) {
        self.violations.push(Violation { at, property, what });
    }

    pub fn on_write(&mut self, nodes: usize, key: &str, revision: Revision) {
        let reachable_since = vec![None; nodes];
        self.writes.push(Write { key: key.into(), revision, reachable_since });
    }

    pub fn set_shift_cap(&mut self, cap: u32) {
        self.shift_cap = cap;
    }
}

impl Simulation {
    /// Fails the test if a bound of one of the properties was violated.
    pub fn assert_no_violations(&self, properties: &[&str]) {
        let violated = |v: &&checks::Violation| properties.contains(&v.property);
        if let Some(first) = self.checks.violations.iter().find(violated) {
            let count = self.checks.violations.iter().filter(violated).count();
            panic!("{} at {} ms: {} ({count} in all)", first.property, first.at / MS, first.what);
        }
    }

    pub fn check_dispatch(&mut self, run: usize) {
        let Run { node, server, .. } = self.runs[run];
        let now = self.now;
        if self.servers[server].leaving_since.is_some_and(|at| now > at + LEAVE) {
            self.checks.fail(now, "P6", format!("daemon {node} starts on s{server}, which leaves"));
        }
        let region = region_of(node);
        if region == region_of(server) {
            return;
        }
        self.checks.cross_region_starts += 1;
        let cap = f64::from(if self.checks.shift_cap == 0 { SHIFT_CAP } else { self.checks.shift_cap });
        let shifted = &mut self.checks.shifted[region];
        let seconds = |micros: Micros| micros as f64 / SEC as f64;
        shifted.level = (shifted.level - seconds(now - shifted.at) * cap * CLOCK_FASTEST).max(0.0) + 1.0;
        shifted.at = now;
        shifted.starts += 1;
        let level = shifted.level;
        if level > cap * seconds(BURST) + 0.001 {
            self.checks.fail(now, "P1", format!("r{region} exceeds the cap {cap}/s: burst of {level:.2}"));
        }
    }

    /// Slots go to another region, for the first time or again, only while the own region is below its limit. What
    /// starts later on the loan is bounded by its term.
    pub fn check_grant(&mut self, lender: usize, borrower: usize, grant: &LoanGrant) {
        let target = region_of(lender);
        let lends_slots = grant.items.iter().any(|item| matches!(item.key, LimitKey::Slots(_)));
        if target == region_of(borrower) || !lends_slots {
            return;
        }
        self.checks.cross_region_grants += 1;
        // A renewal that lends fewer slots than before relieves the region.
        let units = |grant: &LoanGrant| grant.items.iter().map(|item| item.units.0).sum::<u32>();
        let renewed = self.checks.renewals.get(&grant.id).and_then(|old| self.checks.lent.get(old));
        let lowers = renewed.is_some_and(|before| units(grant) < *before);
        self.checks.lent.insert(grant.id, units(grant));
        let (mut slots, mut used) = (0, 0);
        for server in self.servers.iter().filter(|s| region_of_spec(s) == target) {
            slots += server.spec.slots.0 as usize;
            used += server.running.len();
        }
        if used * 100 > slots * REGION_LOAD_MAX && !lowers {
            let what =
                format!("daemon {lender} lends to r{} with {used} of {slots} in use", region_of(borrower));
            self.checks.fail(self.now, "P2 region", what);
        }
    }

    pub fn start_run(&mut self, run: usize) {
        let Run { node, server, send, .. } = self.runs[run];
        self.servers[server].running.insert(run);
        let running = self.servers[server].running.len();
        if running > SLOTS as usize {
            let what = format!("s{server} runs {running}, the last for daemon {node}");
            self.checks.fail(self.now, "P2 slots", what);
        }
        let op = self.sends[send].op;
        let runs = self.checks.op_runs.entry(op).or_default();
        *runs += 1;
        if *runs > 1 && self.ops[op].idempotency != Idempotency::Repeatable {
            let what = format!("operation {op} runs again, now by daemon {node}");
            self.checks.fail(self.now, "P5", what);
        }
    }

    /// Compares what is in force with what was accepted.
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
                    let what = format!("daemon {node} goes back to revision {revision} of {key}");
                    self.checks.fail(self.now, "P8", what);
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
        let live = |n: &usize| self.daemons[*n].node.is_some() && !self.daemons[*n].paused;
        let nodes = (0..self.daemons.len()).filter(live).collect::<Vec<_>>();
        let informed = |n: usize| newest(&self.daemons[n]).is_some_and(|r| r >= write.revision);
        // On a daemon without a value a deletion is in force, whatever revision of it the daemon knows.
        let is_deleted = self.entries[&write.key].value.is_none();
        let in_force =
            |n: usize| informed(n) || (is_deleted && !self.daemons[n].live_keys.contains(&write.key));
        let mut late = Vec::new();
        for node in 0..self.daemons.len() {
            let reachable = nodes.contains(&node)
                && ((self.store_reachable(node) && !self.store_stale)
                    || nodes.iter().any(|peer| informed(*peer) && self.connected(node, *peer)));
            if !reachable || in_force(node) {
                write.reachable_since[node] = None;
                continue;
            }
            self.checks.in_force_checks += 1;
            let since = *write.reachable_since[node].get_or_insert(self.now);
            if self.now > since + IN_FORCE {
                late.push(node);
                write.reachable_since[node] = Some(self.now);
            }
        }
        for node in late {
            let what =
                format!("revision {} of {} is not in force on daemon {node}", write.revision, write.key);
            self.checks.fail(self.now, "P8", what);
        }
    }

    /// Compares every answer with the runs, at the end of a schedule.
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
                    let what = format!("request {index} ran and is reported as not run: {}", refusal.reason);
                    self.checks.fail(*at, "P4", what);
                }
                Answer::Ran(body) if *body != self.ops[sent.op].fingerprint => {
                    let what = format!("request {index} gets the answer to another: {body}");
                    self.checks.fail(*at, "P3", what);
                }
                _ => {}
            }
        }
    }

    pub fn ran_count(&self) -> usize {
        self.sends.iter().filter(|s| matches!(s.answer, Some((_, Answer::Ran(_))))).count()
    }
}

/// The fastest clock of a daemon, as a factor of virtual time.
const CLOCK_FASTEST: f64 = 1.01;

fn region_of_spec(server: &Server) -> usize {
    let name = server.spec.name.as_str();
    region_of(name[1..].parse().unwrap())
}
