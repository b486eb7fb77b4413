//! The quotas of a daemon: counting its requests, and its part in the exchange with other daemons.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::{Display, Error};

use crate::steering::accounts::{Account, Accounts, Quota};
use crate::steering::quota::coordinator::{Coordinator, Terms};
use crate::steering::quota::fleet::{QuotaDaemon, QuotaFleet, VIEW_DELAY};
use crate::steering::quota::holder::Holder;
use crate::steering::quota::message::{
    Datagram, Demand, Grant, LeasedShare, MAX_ACCOUNTS_PER_MESSAGE, Report, Sequence,
};
use crate::steering::quota::{AccountKey, DaemonKey, QuotaLimits};
use crate::time::Timestamp;

/// Period after the start in which other daemons that start may not be listed yet.
const START_DURATION: Duration = Duration::from_secs(2);

/// Period after the last renewal of its entry at which a daemon must assume that it is no longer listed. Less than the lease of
/// its entry, so that it stops granting before another daemon takes over, and more than the interval of renewals.
const REGISTRATION_TTL: Duration = Duration::from_secs(3);

/// Delay after which the send time of a report is forgotten. A later grant is not used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Time without a message after which the sequence numbers of a daemon are forgotten, so that one whose clock was set back is
/// heard again.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// Factor between the start time of a daemon in milliseconds and its first sequence number. It allows 65 messages per
/// millisecond.
const SEQUENCES_PER_MILLISECOND: u64 = 1 << 16;

/// A request that exceeds the quota of its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exceeded {
    /// `Retry-After` delay for the client.
    pub retry_after: Duration,
}

/// Reason why a message was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Ignored {
    /// The sender is not among the listed daemons.
    #[display("the sender is not listed")]
    Unlisted,
    /// A later message of the sender is known.
    #[display("a later message of the sender is known")]
    Late,
}

/// A message to another daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The receiver.
    pub to: DaemonKey,
    /// The message.
    pub datagram: Datagram,
}

/// Latest messages of another daemon.
#[derive(Debug, Clone, Copy)]
struct Peer {
    report: Sequence,
    grant: Sequence,
    heard_at: Timestamp,
}

/// Coordination of one account by this daemon. It begins with the first report after a change of the list of daemons, since
/// which another daemon may have been the coordinator.
#[derive(Debug, Clone)]
struct Coordination {
    state: Coordinator,
    grants_from: Timestamp,
}

/// Quotas of all accounts at one daemon.
#[derive(Debug, Clone)]
pub struct Quotas {
    me: DaemonKey,
    limits: QuotaLimits,
    started_at: Timestamp,
    is_starting: bool,
    registered_at: Timestamp,
    /// Time from which the entry of this daemon is known to exist. `None` before the first confirmation, and after the entry was
    /// lost.
    listed_since: Option<Timestamp>,
    /// Time at which the list of daemons was known to be complete.
    viewed_at: Timestamp,
    quotas: HashMap<AccountKey, Quota>,
    daemons: Vec<QuotaDaemon>,
    fleet: QuotaFleet,
    fleet_changed_at: Timestamp,
    holders: BTreeMap<AccountKey, Holder>,
    coordinations: BTreeMap<AccountKey, Coordination>,
    peers: BTreeMap<DaemonKey, Peer>,
    sequence: Sequence,
    reported_at: Option<Timestamp>,
    urgently_reported_at: Timestamp,
    /// Send times of recent reports.
    sent_reports: BTreeMap<Sequence, Timestamp>,
}

impl Quotas {
    /// Creates the quotas of the daemon `me`, which starts at `now`. `wall_ms` is the wall clock in milliseconds; it makes
    /// sequence numbers increase over restarts.
    pub fn new(me: DaemonKey, limits: QuotaLimits, now: Timestamp, wall_ms: u64) -> Self {
        let mut quotas = Self {
            me,
            limits,
            started_at: now,
            is_starting: true,
            registered_at: now,
            listed_since: None,
            viewed_at: now,
            quotas: HashMap::new(),
            daemons: Vec::new(),
            fleet: QuotaFleet::default(),
            fleet_changed_at: now,
            holders: BTreeMap::new(),
            coordinations: BTreeMap::new(),
            peers: BTreeMap::new(),
            sequence: Sequence(wall_ms.saturating_mul(SEQUENCES_PER_MILLISECOND)),
            reported_at: None,
            urgently_reported_at: now,
            sent_reports: BTreeMap::new(),
        };
        let own = QuotaDaemon { key: me, advertised: true, reachable: false };
        quotas.set_daemons(now, own, Vec::new());
        quotas
    }

    /// Applies the quotas of a configuration version.
    pub fn set_accounts(&mut self, now: Timestamp, accounts: &Accounts) {
        let with_quota = accounts.iter().filter_map(|a| Some((AccountKey::from_name(&a.name), a.quota?)));
        self.quotas = with_quota.collect();
        let quotas = &self.quotas;
        self.holders.retain(|key, _| quotas.contains_key(key));
        self.coordinations.retain(|key, _| quotas.contains_key(key));
        self.configure_holders(now);
    }

    /// Applies changed limits.
    pub fn set_limits(&mut self, now: Timestamp, limits: QuotaLimits) {
        self.limits = limits;
        self.configure_holders(now);
    }

    /// Applies the list of daemons: `own` describes this one, `others` the others.
    pub fn set_daemons(&mut self, now: Timestamp, own: QuotaDaemon, mut others: Vec<QuotaDaemon>) {
        others.retain(|d| d.key != self.me);
        others.push(own);
        if others == self.daemons {
            return;
        }
        self.daemons = others;
        self.fleet = QuotaFleet::new(self.daemons.clone(), self.is_starting);
        self.fleet_changed_at = now;
        let (fleet, me) = (&self.fleet, self.me);
        self.coordinations.retain(|key, _| fleet.coordinator(*key) == Some(me));
        self.configure_holders(now);
    }

    /// Records that the service that lists the daemons confirmed the entry of this one at `now`, in answer to a call at
    /// `called_at`.
    pub fn record_registration(&mut self, now: Timestamp, called_at: Timestamp) {
        self.registered_at = self.registered_at.max(called_at);
        self.listed_since.get_or_insert(now);
        self.record_view(called_at);
    }

    /// Records that the list of daemons was complete at the time `at`.
    pub fn record_view(&mut self, at: Timestamp) {
        self.viewed_at = self.viewed_at.max(at);
    }

    /// Records that the entry of this daemon is lost. Since the others choose another coordinator, it grants no leases until the
    /// entry is confirmed again and those of the other one have expired.
    pub fn record_removal(&mut self) {
        self.listed_since = None;
        self.coordinations.clear();
    }

    fn configure_holders(&mut self, now: Timestamp) {
        for (key, holder) in &mut self.holders {
            if let Some(quota) = self.quotas.get(key) {
                let floor = self.fleet.floor(self.me, *key, quota, &self.limits);
                holder.configure(now, *quota, floor);
            }
        }
    }

    /// Counts a request that arrives. An account without a quota is not limited.
    ///
    /// # Errors
    ///
    /// [`Exceeded`] if the share of this daemon is used up.
    pub fn admit(&mut self, now: Timestamp, account: &Account) -> Result<(), Exceeded> {
        let key = AccountKey::from_name(&account.name);
        match self.holder(key) {
            Some(holder) => holder.admit(now).map_err(|retry_after| Exceeded { retry_after }),
            None => Ok(()),
        }
    }

    /// Counts an admitted request that is sent to a server.
    ///
    /// # Errors
    ///
    /// [`Exceeded`] if the share of this daemon is used up.
    pub fn send(&mut self, now: Timestamp, account: &Account) -> Result<(), Exceeded> {
        match self.holder(AccountKey::from_name(&account.name)) {
            Some(holder) => holder.send(now).map_err(|retry_after| Exceeded { retry_after }),
            None => Ok(()),
        }
    }

    /// Returns the unit of an admitted request that has not run.
    pub fn refund_arrival(&mut self, now: Timestamp, account: &Account) {
        if let Some(holder) = self.holders.get_mut(&AccountKey::from_name(&account.name)) {
            holder.refund_arrival(now);
        }
    }

    /// Returns the unit of a send that has not run.
    pub fn refund_send(&mut self, now: Timestamp, account: &Account) {
        if let Some(holder) = self.holders.get_mut(&AccountKey::from_name(&account.name)) {
            holder.refund_send(now);
        }
    }

    /// The state of an account with a quota, which is created at its first request.
    fn holder(&mut self, key: AccountKey) -> Option<&mut Holder> {
        let quota = self.quotas.get(&key)?;
        let (fleet, limits, since) = (&self.fleet, &self.limits, self.started_at);
        Some(self.holders.entry(key).or_insert_with(|| {
            let floor = fleet.floor(self.me, key, quota, limits);
            Holder::new(*quota, floor, since)
        }))
    }

    /// The share of an account's quota that this daemon may use, as a factor. `None` if the account has no quota, or had no
    /// request here.
    pub fn share(&self, now: Timestamp, account: &Account) -> Option<f64> {
        self.holders.get(&AccountKey::from_name(&account.name)).map(|holder| holder.share(now))
    }

    /// Shares of an account's quota that this daemon leased to others and itself and that may be in use, as a factor.
    pub fn outstanding(&self, now: Timestamp, account: &Account) -> f64 {
        self.coordinations
            .get(&AccountKey::from_name(&account.name))
            .map_or(0.0, |c| c.state.outstanding(now))
    }

    /// Interval at which [`tick`](Self::tick) sends reports.
    pub fn report_period(&self) -> Duration {
        self.fleet.report_period()
    }

    /// Returns the reports that are due. Call periodically.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if self.is_starting && now.since(self.started_at) >= START_DURATION {
            self.is_starting = false;
            self.fleet = QuotaFleet::new(self.daemons.clone(), false);
            self.configure_holders(now);
        }
        let period = self.fleet.report_period();
        if self.reported_at.is_none_or(|at| now.since(at) >= period) {
            (self.reported_at, self.urgently_reported_at) = (Some(now), now);
            self.expire(now);
            return self.reports(now, |holder| holder.needs_report(now));
        }
        if now.since(self.urgently_reported_at) < self.fleet.urgent_report_period() {
            return Vec::new();
        }
        self.urgently_reported_at = now;
        self.reports(now, Holder::has_rejected)
    }

    /// Removes outdated state.
    fn expire(&mut self, now: Timestamp) {
        self.holders.retain(|_, holder| !holder.is_idle(now));
        self.coordinations.retain(|_, c| now < c.grants_from || !c.state.is_idle(now));
        self.peers.retain(|_, peer| now.since(peer.heard_at) < PEER_RETENTION);
        self.sent_reports.retain(|_, sent_at| now.since(*sent_at) < MAX_REPORT_AGE);
    }

    /// Creates the reports on the accounts that are due to all coordinators. Demands of accounts that this daemon coordinates are granted at once.
    fn reports(&mut self, now: Timestamp, is_due: impl Fn(&Holder) -> bool) -> Vec<Outgoing> {
        let mut demands: BTreeMap<DaemonKey, Vec<Demand>> = BTreeMap::new();
        for (key, holder) in &mut self.holders {
            if !is_due(holder) {
                continue;
            }
            let Some(coordinator) = self.fleet.coordinator(*key) else {
                continue;
            };
            demands.entry(coordinator).or_default().push(holder.report(now, *key, coordinator));
        }
        let mut out = Vec::new();
        for (to, demands) in demands {
            for part in demands.chunks(MAX_ACCOUNTS_PER_MESSAGE) {
                let report = Report { from: self.me, sequence: self.next_sequence(), demands: part.to_vec() };
                self.sent_reports.insert(report.sequence, now);
                if to != self.me {
                    out.push(Outgoing { to, datagram: Datagram::Report(report) });
                    continue;
                }
                let mut own_report = Some(report);
                while let Some(report) = own_report {
                    let grant = self.answer(now, &report);
                    own_report = grant.and_then(|grant| self.apply_grant(now, &grant));
                }
            }
        }
        out
    }

    fn next_sequence(&mut self) -> Sequence {
        self.sequence.0 += 1;
        self.sequence
    }

    /// Handles a message of another daemon. Returns the answer, if there is one.
    ///
    /// # Errors
    ///
    /// [`Ignored`] if the sender is not listed, or a later message of it is known.
    pub fn receive(&mut self, now: Timestamp, datagram: &Datagram) -> Result<Option<Outgoing>, Ignored> {
        self.check_new(now, datagram)?;
        Ok(match datagram {
            Datagram::Report(report) => {
                let grant = self.answer(now, report);
                grant.map(|grant| Outgoing { to: report.from, datagram: Datagram::Grant(grant) })
            }
            Datagram::Grant(grant) => {
                let report = self.apply_grant(now, grant);
                report.map(|report| Outgoing { to: grant.from, datagram: Datagram::Report(report) })
            }
        })
    }

    /// Checks that the sender of a message is listed and that no later message of the kind is known.
    fn check_new(&mut self, now: Timestamp, datagram: &Datagram) -> Result<(), Ignored> {
        let (Datagram::Report(Report { from, sequence, .. }) | Datagram::Grant(Grant { from, sequence, .. })) =
            datagram;
        if *from == self.me || !self.fleet.contains(*from) {
            return Err(Ignored::Unlisted);
        }
        let nothing = Peer { report: Sequence(0), grant: Sequence(0), heard_at: now };
        let peer = self.peers.entry(*from).or_insert(nothing);
        let last = match datagram {
            Datagram::Report(_) => &mut peer.report,
            Datagram::Grant(_) => &mut peer.grant,
        };
        if sequence <= last {
            return Err(Ignored::Late);
        }
        *last = *sequence;
        peer.heard_at = now;
        Ok(())
    }

    /// Answers a report with grants for the accounts that this daemon coordinates. `None` if it coordinates none of them.
    fn answer(&mut self, now: Timestamp, report: &Report) -> Option<Grant> {
        let listed_since = self.listed_since.filter(|_| self.may_coordinate(now))?;
        let grants_from = self.fleet_changed_at.max(listed_since) + self.fleet.takeover_delay();
        let sequence = self.next_sequence();
        let lease_duration = self.fleet.lease_duration();
        let mut shares = Vec::new();
        for demand in report.demands.iter().take(MAX_ACCOUNTS_PER_MESSAGE) {
            let Some(quota) = self.quotas.get(&demand.account) else {
                continue;
            };
            if self.fleet.coordinator(demand.account) != Some(self.me) {
                continue;
            }
            let coordination = self
                .coordinations
                .entry(demand.account)
                .or_insert_with(|| Coordination { state: Coordinator::default(), grants_from });
            if now < coordination.grants_from {
                continue;
            }
            let terms = Terms {
                quota: *quota,
                leased_fraction: self.fleet.leased_fraction(),
                floor: self.fleet.floor(report.from, demand.account, quota, &self.limits).share,
                lease_duration,
                tolerance: self.limits.tolerance(quota),
            };
            let share = coordination.state.grant(now, report.from, demand, sequence, &terms);
            shares.push(LeasedShare { account: demand.account, share });
        }
        let lease_ms = lease_duration.as_millis() as u32;
        (!shares.is_empty()).then_some(Grant {
            from: self.me,
            sequence,
            report: report.sequence,
            lease_ms,
            shares,
        })
    }

    /// Whether this daemon, which is listed, may grant leases. One whose entry may have ended, or that may not know of a daemon
    /// that joined, must not, since another one may have taken over. If the list cannot be confirmed, a daemon that hears from
    /// most of the others is not cut off from them.
    fn may_coordinate(&self, now: Timestamp) -> bool {
        if now.since(self.registered_at) < REGISTRATION_TTL && now.since(self.viewed_at) < VIEW_DELAY {
            return true;
        }
        let lease = self.fleet.lease_duration();
        let is_heard =
            |key: &DaemonKey| self.peers.get(key).is_some_and(|peer| now.since(peer.heard_at) < lease);
        let heard = self.fleet.keys().filter(|key| *key == self.me || is_heard(key)).count();
        2 * heard > self.fleet.len()
    }

    /// Applies leases, which last from the time at which the report was sent, so that a delay of the messages does not
    /// extend them. Returns a report that confirms the leases that became much smaller.
    fn apply_grant(&mut self, now: Timestamp, grant: &Grant) -> Option<Report> {
        let sent_at = self.sent_reports.get(&grant.report)?;
        let expires_at = *sent_at + Duration::from_millis(u64::from(grant.lease_ms));
        let mut demands = Vec::new();
        for leased in grant.shares.iter().take(MAX_ACCOUNTS_PER_MESSAGE) {
            let is_valid = (0.0..=1.0).contains(&leased.share.0);
            if !is_valid || self.fleet.coordinator(leased.account) != Some(grant.from) {
                continue;
            }
            let Some(holder) = self.holders.get_mut(&leased.account) else {
                continue;
            };
            if holder.lease(now, grant.from, grant.sequence, leased.share, expires_at) {
                demands.push(holder.report(now, leased.account, grant.from));
            }
        }
        if demands.is_empty() {
            return None;
        }
        let report = Report { from: self.me, sequence: self.next_sequence(), demands };
        self.sent_reports.insert(report.sequence, now);
        Some(report)
    }
}
