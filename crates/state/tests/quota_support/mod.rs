//! A simulation of daemons that exchange quota messages over a network that loses, delays and duplicates them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use medlarstair_state::steering::accounts::{Account, AccountSpec, Accounts};
use medlarstair_state::steering::quota::{DaemonKey, Datagram, QuotaDaemon, QuotaLimits, Quotas};
use medlarstair_state::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Interval between the ticks of a daemon.
const TICK_STEPS: u64 = 10;

/// Accounts with one quota.
pub fn accounts(rate: f64, burst: f64) -> Accounts {
    let spec = AccountSpec {
        name: "one".into(),
        keys: vec!["key".parse().unwrap()],
        quota_rate: rate,
        burst,
        ..AccountSpec::default()
    };
    Accounts::new(vec![spec])
}

/// A daemon that is advertised and reachable.
pub fn listed(n: usize) -> QuotaDaemon {
    QuotaDaemon { key: DaemonKey::from_name(&format!("daemon-{n}")), advertised: true, reachable: true }
}

struct Daemon {
    quotas: Quotas,
    /// Daemons that this one takes for listed.
    view: BTreeSet<usize>,
    /// Requests that are due, as a fraction.
    due: f64,
    pub offered: u32,
    pub served: u32,
}

/// Daemons, the messages between them, and the requests of one account.
pub struct Fleet {
    pub now: Timestamp,
    pub account: Rc<Account>,
    accounts: Accounts,
    daemons: Vec<Option<Daemon>>,
    keys: BTreeMap<DaemonKey, usize>,
    in_flight: Vec<(Timestamp, usize, Datagram)>,
    rng: Pcg64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Longest delay of a message.
    pub max_delay: Duration,
    /// Daemons that exchange no messages with the others.
    pub cut: BTreeSet<usize>,
    /// Daemons that are cut off from the service that lists the daemons.
    pub off_store: BTreeSet<usize>,
    /// Daemons that do nothing at present.
    pub paused: BTreeSet<usize>,
    /// Times of the requests within the last window.
    recent: VecDeque<Timestamp>,
    /// Largest number of requests in a window, less the bound.
    pub max_excess: f64,
    /// Largest sum of the shares of all daemons.
    pub max_share: f64,
    /// Messages and bytes so far.
    pub messages: usize,
    pub bytes: usize,
}

impl Fleet {
    /// Daemons that know of each other.
    pub fn new(daemons: usize, accounts: Accounts) -> Self {
        let account = Rc::clone(accounts.iter().next().unwrap());
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            account,
            accounts,
            daemons: (0..daemons).map(|_| None).collect(),
            keys: (0..daemons).map(|n| (listed(n).key, n)).collect(),
            in_flight: Vec::new(),
            rng: Pcg64::seed_from_u64(1),
            loss: 0.0,
            max_delay: Duration::from_millis(15),
            cut: BTreeSet::new(),
            off_store: BTreeSet::new(),
            paused: BTreeSet::new(),
            recent: VecDeque::new(),
            max_excess: f64::MIN,
            max_share: 0.0,
            messages: 0,
            bytes: 0,
        };
        let all: BTreeSet<usize> = (0..daemons).collect();
        all.iter().for_each(|&n| fleet.start(n, all.clone()));
        fleet
    }

    /// Starts a daemon, or restarts it.
    pub fn start(&mut self, n: usize, view: BTreeSet<usize>) {
        let limits = QuotaLimits::default();
        let mut quotas = Quotas::new(listed(n).key, limits, self.now, self.now.0 / 1_000);
        quotas.set_accounts(self.now, &self.accounts);
        self.daemons[n] = Some(Daemon { quotas, view: BTreeSet::new(), due: 0.0, offered: 0, served: 0 });
        self.set_view(n, view);
    }

    /// Kills a daemon.
    pub fn kill(&mut self, n: usize) {
        self.daemons[n] = None;
    }

    /// Sets the daemons that a daemon takes for listed.
    pub fn set_view(&mut self, n: usize, view: BTreeSet<usize>) {
        let now = self.now;
        let daemon = self.daemons[n].as_mut().unwrap();
        let others = view.iter().filter(|m| **m != n).map(|m| listed(*m)).collect();
        daemon.quotas.set_daemons(now, listed(n), others);
        daemon.view = view;
    }

    /// The daemons that run.
    pub fn running(&self) -> BTreeSet<usize> {
        (0..self.daemons.len()).filter(|n| self.daemons[*n].is_some()).collect()
    }

    pub fn quotas(&mut self, n: usize) -> &mut Quotas {
        &mut self.daemons[n].as_mut().unwrap().quotas
    }

    /// The daemon that leases most of the quota.
    pub fn coordinator(&self) -> usize {
        let leased =
            |n: &usize| self.daemons[*n].as_ref().unwrap().quotas.outstanding(self.now, &self.account);
        self.running().into_iter().max_by(|a, b| leased(a).total_cmp(&leased(b))).unwrap()
    }

    /// Forgets which requests were admitted.
    pub fn reset_served(&mut self) {
        for daemon in self.daemons.iter_mut().flatten() {
            (daemon.offered, daemon.served) = (0, 0);
        }
    }

    /// Fraction of the requests of a daemon that were admitted since the last call.
    pub fn take_served(&mut self, n: usize) -> f64 {
        let daemon = self.daemons[n].as_mut().unwrap();
        let served = f64::from(daemon.served) / f64::from(daemon.offered.max(1));
        (daemon.offered, daemon.served) = (0, 0);
        served
    }

    /// Runs for a time. `rate` gives the requests per second at a daemon.
    pub fn run(&mut self, duration: Duration, rate: impl Fn(usize) -> f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for n in 0..self.daemons.len() {
                if !self.paused.contains(&n) {
                    self.step(n, rate(n));
                }
            }
            let (now, account) = (self.now, Rc::clone(&self.account));
            let shares = self.daemons.iter().flatten().filter_map(|d| d.quotas.share(now, &account));
            self.max_share = self.max_share.max(shares.sum());
            self.check_window();
        }
    }

    fn step(&mut self, n: usize, rate: f64) {
        let (now, account) = (self.now, Rc::clone(&self.account));
        let jitter = self.rng.random_range(0.0..2.0);
        let is_registered = !self.off_store.contains(&n);
        let Some(daemon) = &mut self.daemons[n] else {
            return;
        };
        daemon.due += rate * STEP.as_secs_f64() * jitter;
        while daemon.due >= 1.0 {
            daemon.due -= 1.0;
            daemon.offered += 1;
            if daemon.quotas.admit(now, &account).is_ok() && daemon.quotas.send(now, &account).is_ok() {
                daemon.served += 1;
                self.recent.push_back(now);
            }
        }
        if is_registered {
            daemon.quotas.record_registration(now, now);
        }
        if (now.0 / STEP.as_micros() as u64 + n as u64).is_multiple_of(TICK_STEPS) {
            let out = daemon.quotas.tick(now);
            out.into_iter().for_each(|message| self.transmit(n, message.to, message.datagram));
        }
    }

    fn transmit(&mut self, from: usize, to: DaemonKey, datagram: Datagram) {
        let size = postcard::to_allocvec(&datagram).unwrap().len();
        assert!(size <= 1_200, "{size}");
        self.messages += 1;
        self.bytes += size;
        let to = self.keys[&to];
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        // A duplicate is sent as often as a message is lost.
        for _ in 0..1 + usize::from(self.rng.random_bool(self.loss)) {
            if !self.rng.random_bool(self.loss) {
                let delay = self.max_delay.mul_f64(self.rng.random_range(0.1..1.0));
                self.in_flight.push((self.now + delay, to, datagram.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> =
            self.in_flight.extract_if(.., |(at, to, _)| *at <= now && !self.paused.contains(to)).collect();
        for (_, to, datagram) in due {
            let Some(daemon) = &mut self.daemons[to] else {
                continue;
            };
            if let Ok(Some(answer)) = daemon.quotas.receive(now, &datagram) {
                self.transmit(to, answer.to, answer.datagram);
            }
        }
    }

    fn check_window(&mut self) {
        let limits = QuotaLimits::default();
        let quota = self.account.quota.unwrap();
        while self.recent.front().is_some_and(|at| self.now.since(*at) >= limits.window) {
            self.recent.pop_front();
        }
        let bound = quota.rate.0 * limits.window.as_secs_f64() + quota.burst + limits.tolerance(&quota);
        self.max_excess = self.max_excess.max(self.recent.len() as f64 - bound);
    }
}
