//! The operation table of one daemon.

use std::collections::BTreeMap;

use super::clock::MinuteClock;
use super::outcome::{
    AttemptOutcome, BeginOutcome, OperationRefusal, OperationRequest, RecordedAnswer, UnknownReason,
};
use super::owners::{Owners, Standing};
use super::token::{Claim, Issuer, Minute, OperationKey, Token};
use crate::id::{Fingerprint, Incarnation, NodeId, RequestId};
use crate::time::Timestamp;

/// Minutes from the issue minute during which an operation may run and its answer is kept.
///
/// All daemons must agree on it: a successor that kept operations longer would run those its predecessor forgot.
pub const RETENTION_MINUTES: u32 = 10;

/// Bytes that an entry takes besides its texts and its answer: key, state, the share of its tree node that is
/// unused, and allocator overhead. With it the table counts 618 bytes for an entry with a body of 256 bytes; the
/// resident set grows by 607 to 617 bytes per such entry (`benches/operation.rs`).
const ENTRY_BYTES: usize = 320;

/// Bounds of an [`OperationTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperationConfig {
    /// Most entries.
    pub max_entries: usize,
    /// Most bytes of all entries together. A running operation counts with the largest answer it can get.
    pub max_bytes: usize,
    /// Longest content type and body that are recorded, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for OperationConfig {
    fn default() -> Self {
        Self { max_entries: 100_000, max_bytes: 64 << 20, max_answer_bytes: 64 << 10 }
    }
}

#[derive(Debug, Clone)]
pub(super) enum State {
    Running { request: RequestId, joined: Vec<RequestId> },
    Answered(RecordedAnswer),
    Unknown(UnknownReason),
}

#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: State,
}

/// The operations that one daemon owns.
///
/// ```
/// use medlarstair_state::id::{Boot, Fingerprint, Incarnation, NodeId, RequestId};
/// use medlarstair_state::operation::*;
/// use medlarstair_state::time::Timestamp;
///
/// let me = Incarnation { node: NodeId(1), boot: Boot(1) };
/// let mut table = OperationTable::new(me, OperationConfig::default());
/// let (now, minute) = (Timestamp::ZERO, Minute(29_000_000));
/// let token: Token = format!("{}order-1", table.token_prefix(minute)).parse().unwrap();
/// let customer = "acme".parse().unwrap();
/// let mut req = OperationRequest { id: RequestId(1), customer, fingerprint: Fingerprint(7) };
/// assert_eq!(table.begin(now, minute, &token, &req), BeginOutcome::Run);
/// req.id = RequestId(2);
/// assert_eq!(table.begin(now, minute, &token, &req), BeginOutcome::Join);
/// assert_eq!(table.finish(now, RequestId(1), AttemptOutcome::Unknown), [RequestId(2)]);
/// let unknown = BeginOutcome::Unknown(UnknownReason::AttemptLost);
/// assert_eq!(table.begin(now, minute, &token, &req), unknown);
/// ```
#[derive(Debug, Clone)]
pub struct OperationTable {
    cfg: OperationConfig,
    pub(super) clock: MinuteClock,
    pub(super) owners: Owners,
    /// Entries by issue minute, so that a minute expires as a whole.
    pub(super) minutes: BTreeMap<Minute, BTreeMap<OperationKey, Entry>>,
    /// The operation that each running or joined request waits for.
    requests: BTreeMap<RequestId, OperationKey>,
    running: usize,
    pub(super) entries: usize,
    bytes: usize,
    pub(super) exports: u32,
}

impl OperationTable {
    /// An empty table of the incarnation `me`.
    pub fn new(me: Incarnation, cfg: OperationConfig) -> Self {
        Self {
            cfg,
            clock: MinuteClock::default(),
            owners: Owners::new(me),
            minutes: BTreeMap::new(),
            requests: BTreeMap::new(),
            running: 0,
            entries: 0,
            bytes: 0,
            exports: 0,
        }
    }

    /// The prefix of the tokens that lookups in `minute` of the wall clock hand out.
    pub fn token_prefix(&self, minute: Minute) -> Box<str> {
        format!("{}-", self.issuer(minute)).into()
    }

    /// The value to write into the key-value service for a key that is claimed in `minute` of the wall clock.
    pub fn issuer(&self, minute: Minute) -> Issuer {
        let issued = self.clock.current().map_or(minute, |current| current.max(minute));
        Issuer { owner: self.owners.me(), issued }
    }

    /// Decides about a request with a token. `minute` is the one of the wall clock.
    pub fn begin(
        &mut self,
        now: Timestamp,
        minute: Minute,
        token: &Token,
        req: &OperationRequest,
    ) -> BeginOutcome {
        self.begin_key(now, minute, OperationKey::from_token(&req.customer, token), req)
    }

    /// Decides about a request whose key is claimed in the key-value service.
    ///
    /// The claim may be older than this request: its issue minute bounds the time in which the operation may run, as
    /// that of a token does.
    pub fn begin_claimed(
        &mut self,
        now: Timestamp,
        minute: Minute,
        claim: &Claim,
        req: &OperationRequest,
    ) -> BeginOutcome {
        self.begin_key(now, minute, OperationKey::from_claim(&req.customer, claim), req)
    }

    fn begin_key(
        &mut self,
        now: Timestamp,
        minute: Minute,
        key: OperationKey,
        req: &OperationRequest,
    ) -> BeginOutcome {
        let minute = self.clock.observe(now, minute);
        let expired = is_expired(key.issuer.issued, minute);
        if let Some(entry) = self.entry_mut(&key) {
            if entry.fingerprint != req.fingerprint {
                return BeginOutcome::Refused(OperationRefusal::NameInUse);
            }
            return match &mut entry.state {
                State::Running { joined, .. } => {
                    joined.push(req.id);
                    self.requests.insert(req.id, key);
                    BeginOutcome::Join
                }
                _ if expired => BeginOutcome::Unknown(UnknownReason::Expired),
                State::Answered(answer) => BeginOutcome::Answer(answer.clone()),
                State::Unknown(reason) => BeginOutcome::Unknown(*reason),
            };
        }
        match self.owners.standing(key.issuer, minute) {
            Standing::Forward(node) => BeginOutcome::NotOwner { owner: key.issuer.owner, forward_to: node },
            Standing::Unknown(reason) => BeginOutcome::Unknown(reason),
            Standing::Refuse(_) | Standing::Run if expired => BeginOutcome::Unknown(UnknownReason::Expired),
            Standing::Refuse(reason) => BeginOutcome::Refused(reason),
            Standing::Run => self.run(key, req),
        }
    }

    fn run(&mut self, key: OperationKey, req: &OperationRequest) -> BeginOutcome {
        let bytes = entry_bytes(&key) + self.cfg.max_answer_bytes;
        if !self.fits(1, bytes) {
            return BeginOutcome::Refused(OperationRefusal::TableFull);
        }
        self.running += 1;
        self.requests.insert(req.id, key.clone());
        let state = State::Running { request: req.id, joined: Vec::new() };
        self.insert(key, Entry { fingerprint: req.fingerprint, state }, bytes);
        BeginOutcome::Run
    }

    /// Records how the attempt of `request` ended and returns the requests that joined it, which get the same end.
    ///
    /// Nothing happens if `request` runs no operation.
    pub fn finish(&mut self, _now: Timestamp, request: RequestId, end: AttemptOutcome) -> Vec<RequestId> {
        let Some(key) = self.requests.get(&request).cloned() else {
            return Vec::new();
        };
        let max_bytes = self.cfg.max_answer_bytes;
        let Some(entry) = self.entry_mut(&key) else {
            return Vec::new();
        };
        let joined = match &mut entry.state {
            State::Running { request: runner, joined } if *runner == request => std::mem::take(joined),
            _ => return Vec::new(),
        };
        let mut kept = 0;
        match end {
            AttemptOutcome::Answered(answer) => {
                let answer = answer.bounded(max_bytes);
                kept = answer.bytes();
                entry.state = State::Answered(answer);
            }
            AttemptOutcome::Unknown => entry.state = State::Unknown(UnknownReason::AttemptLost),
            AttemptOutcome::NotRun => self.remove(&key),
        }
        self.bytes = self.bytes + kept - max_bytes;
        self.running -= 1;
        for request in joined.iter().chain([&request]) {
            self.requests.remove(request);
        }
        joined
    }

    /// The caller of a request that joined has gone away. The attempt of a running request goes on without its caller.
    pub fn detach(&mut self, request: RequestId) {
        let Some(key) = self.requests.get(&request).cloned() else {
            return;
        };
        let Some(Entry { state: State::Running { request: runner, joined }, .. }) = self.entry_mut(&key)
        else {
            return;
        };
        if *runner != request {
            joined.retain(|joined| *joined != request);
            self.requests.remove(&request);
        }
    }

    /// Drops entries that are past their retention. Running ones stay until they finish.
    pub fn expire(&mut self, now: Timestamp) {
        self.clock.advance(now);
        let Some(minute) = self.clock.current() else {
            return;
        };
        self.owners.expire(minute);
        let kept = self.minutes.split_off(&Minute(minute.0.saturating_sub(RETENTION_MINUTES - 1)));
        let expired = std::mem::replace(&mut self.minutes, kept);
        for (key, entry) in expired.into_values().flatten() {
            let bytes = entry_bytes(&key);
            match &entry.state {
                State::Running { .. } => {
                    self.minutes.entry(key.issuer.issued).or_default().insert(key, entry);
                    continue;
                }
                State::Answered(answer) => self.bytes -= answer.bytes(),
                State::Unknown(_) => {}
            }
            self.bytes -= bytes;
            self.entries -= 1;
        }
    }

    /// Number of operations that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of entries.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Bytes that count towards [`OperationConfig::max_bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The daemon that answers for `owner`, if a handover of it is known.
    pub fn successor(&self, owner: Incarnation) -> Option<NodeId> {
        self.owners.successor(owner)
    }

    /// Notes that `successor` has acknowledged the handover of `owner`, which may be this daemon.
    pub fn set_successor(&mut self, owner: Incarnation, successor: NodeId) {
        self.owners.set_successor(owner, successor);
    }

    pub(super) fn fits(&self, entries: usize, bytes: usize) -> bool {
        self.entries + entries <= self.cfg.max_entries && self.bytes + bytes <= self.cfg.max_bytes
    }

    pub(super) fn entry_mut(&mut self, key: &OperationKey) -> Option<&mut Entry> {
        self.minutes.get_mut(&key.issuer.issued)?.get_mut(key)
    }

    pub(super) fn insert(&mut self, key: OperationKey, entry: Entry, bytes: usize) {
        self.minutes.entry(key.issuer.issued).or_default().insert(key, entry);
        self.entries += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, key: &OperationKey) {
        let Some(entries) = self.minutes.get_mut(&key.issuer.issued) else {
            return;
        };
        entries.remove(key);
        self.entries -= 1;
        self.bytes -= entry_bytes(key);
    }
}

pub(super) fn is_expired(issued: Minute, minute: Minute) -> bool {
    issued.saturating_add(RETENTION_MINUTES) <= minute
}

/// Bytes by which an entry without an answer counts towards the bound of a table.
pub(super) fn entry_bytes(key: &OperationKey) -> usize {
    ENTRY_BYTES + key.text_bytes()
}
