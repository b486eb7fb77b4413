//! The operation table of one daemon.

use std::collections::BTreeMap;

use super::clock::MinuteClock;
use super::outcome::{
    AttemptOutcome, BeginOutcome, OperationRefusal, OperationRequest, RecordedAnswer, UnknownReason,
};
use super::owners::{Disposition, Owners};
use super::token::{Claim, Issuer, Minute, OperationKey, Token};
use crate::id::{Fingerprint, Incarnation, NodeId, RequestId};
use crate::time::Timestamp;

/// Number of minutes, counted from the issue minute, during which an operation may run and its answer is kept.
///
/// It must be the same on all daemons. A successor with a longer retention would run operations whose entries its
/// predecessor has already dropped.
pub const RETENTION_MINUTES: u32 = 10;

/// Memory of an entry in bytes besides its texts and its answer: key, state, its part of the unused space in a tree
/// node, and allocator overhead.
///
/// With this value, an entry with a body of 256 bytes counts as 618 bytes. The measured growth of the resident set is
/// 607 to 617 bytes per such entry (`benches/operation.rs`).
const ENTRY_BYTES: usize = 320;

/// Size limits of an [`OperationTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OperationConfig {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum total size of the entries in bytes. A running operation counts with the largest answer that can be
    /// recorded.
    pub max_bytes: usize,
    /// Maximum size of an answer that is recorded, in bytes of content type and body together. Of a larger one only the
    /// status is kept.
    pub max_answer_bytes: usize,
}

impl Default for OperationConfig {
    fn default() -> Self {
        Self { max_entries: 100_000, max_bytes: 64 << 20, max_answer_bytes: 64 << 10 }
    }
}

/// State of an operation in the table.
#[derive(Debug, Clone)]
pub(super) enum EntryState {
    /// `request` runs the operation; the `joined` requests wait for its outcome.
    Running { request: RequestId, joined: Vec<RequestId> },
    /// The operation has run with this answer.
    Answered(RecordedAnswer),
    /// The operation may have run.
    Unknown(UnknownReason),
}

/// An operation in the table.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: EntryState,
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
    /// Entries by issue minute, so that all entries of a minute expire together.
    pub(super) entries_by_minute: BTreeMap<Minute, BTreeMap<OperationKey, Entry>>,
    /// The operation of each request that runs one or has joined a running one.
    requests: BTreeMap<RequestId, OperationKey>,
    /// Number of running operations.
    running: usize,
    /// Number of entries.
    pub(super) entries: usize,
    /// Size of the entries, as limited by [`OperationConfig::max_bytes`].
    bytes: usize,
    /// Number of exports so far, which is the number of the next one.
    pub(super) exports: u32,
}

impl OperationTable {
    /// Creates an empty table that is owned by the incarnation `me`.
    pub fn new(me: Incarnation, cfg: OperationConfig) -> Self {
        Self {
            cfg,
            clock: MinuteClock::default(),
            owners: Owners::new(me),
            entries_by_minute: BTreeMap::new(),
            requests: BTreeMap::new(),
            running: 0,
            entries: 0,
            bytes: 0,
            exports: 0,
        }
    }

    /// Prefix of the tokens that are issued by lookups in `minute` of the wall clock.
    pub fn token_prefix(&self, minute: Minute) -> Box<str> {
        format!("{}-", self.issuer(minute)).into()
    }

    /// Value to write into the key-value service for a key that is claimed in `minute` of the wall clock.
    pub fn issuer(&self, minute: Minute) -> Issuer {
        let issued = self.clock.current().map_or(minute, |current| current.max(minute));
        Issuer { owner: self.owners.me(), issued }
    }

    /// Decides how to handle a request with a token. `minute` is the current minute of the wall clock.
    pub fn begin(
        &mut self,
        now: Timestamp,
        minute: Minute,
        token: &Token,
        req: &OperationRequest,
    ) -> BeginOutcome {
        self.begin_key(now, minute, OperationKey::from_token(&req.customer, token), req)
    }

    /// Decides how to handle a request whose key is claimed in the key-value service. `minute` is the current minute of
    /// the wall clock.
    ///
    /// The claim may be older than this request. As with a token, its issue minute limits the time in which the
    /// operation may run.
    pub fn begin_claimed(
        &mut self,
        now: Timestamp,
        minute: Minute,
        claim: &Claim,
        req: &OperationRequest,
    ) -> BeginOutcome {
        self.begin_key(now, minute, OperationKey::from_claim(&req.customer, claim), req)
    }

    /// Decides how to handle a request for the operation with this key.
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
                EntryState::Running { joined, .. } => {
                    joined.push(req.id);
                    self.requests.insert(req.id, key);
                    BeginOutcome::Join
                }
                _ if expired => BeginOutcome::Unknown(UnknownReason::Expired),
                EntryState::Answered(answer) => BeginOutcome::Answer(answer.clone()),
                EntryState::Unknown(reason) => BeginOutcome::Unknown(*reason),
            };
        }
        match self.owners.disposition(key.issuer, minute) {
            Disposition::Forward(node) => {
                BeginOutcome::NotOwner { owner: key.issuer.owner, forward_to: node }
            }
            Disposition::Unknown(reason) => BeginOutcome::Unknown(reason),
            Disposition::Refuse(_) | Disposition::Run if expired => {
                BeginOutcome::Unknown(UnknownReason::Expired)
            }
            Disposition::Refuse(reason) => BeginOutcome::Refused(reason),
            Disposition::Run => self.start_run(key, req),
        }
    }

    /// Enters a new operation that is about to run. Refuses it if the table is full.
    fn start_run(&mut self, key: OperationKey, req: &OperationRequest) -> BeginOutcome {
        let bytes = entry_bytes(&key) + self.cfg.max_answer_bytes;
        if !self.has_room(1, bytes) {
            return BeginOutcome::Refused(OperationRefusal::TableFull);
        }
        self.running += 1;
        self.requests.insert(req.id, key.clone());
        let state = EntryState::Running { request: req.id, joined: Vec::new() };
        self.insert(key, Entry { fingerprint: req.fingerprint, state }, bytes);
        BeginOutcome::Run
    }

    /// Records the outcome of the attempt by `request` and returns the requests that joined it, which have the same
    /// outcome.
    ///
    /// Does nothing and returns no requests if `request` is not running an operation.
    pub fn finish(&mut self, _now: Timestamp, request: RequestId, end: AttemptOutcome) -> Vec<RequestId> {
        let Some(key) = self.requests.get(&request).cloned() else {
            return Vec::new();
        };
        let max_bytes = self.cfg.max_answer_bytes;
        let Some(entry) = self.entry_mut(&key) else {
            return Vec::new();
        };
        let joined = match &mut entry.state {
            EntryState::Running { request: runner, joined } if *runner == request => std::mem::take(joined),
            _ => return Vec::new(),
        };
        let mut answer_bytes = 0;
        match end {
            AttemptOutcome::Answered(answer) => {
                let answer = answer.bounded(max_bytes);
                answer_bytes = answer.bytes();
                entry.state = EntryState::Answered(answer);
            }
            AttemptOutcome::Unknown => entry.state = EntryState::Unknown(UnknownReason::AttemptLost),
            AttemptOutcome::NotRun => self.remove(&key),
        }
        self.bytes = self.bytes + answer_bytes - max_bytes;
        self.running -= 1;
        for request in joined.iter().chain([&request]) {
            self.requests.remove(request);
        }
        joined
    }

    /// Detaches a joined request whose caller has disconnected. Has no effect on a request that runs an operation: the
    /// attempt continues without its caller.
    pub fn detach(&mut self, request: RequestId) {
        let Some(key) = self.requests.get(&request).cloned() else {
            return;
        };
        let Some(Entry { state: EntryState::Running { request: runner, joined }, .. }) = self.entry_mut(&key)
        else {
            return;
        };
        if *runner != request {
            joined.retain(|joined| *joined != request);
            self.requests.remove(&request);
        }
    }

    /// Drops entries that are past their retention. Entries of running operations are kept until they finish.
    pub fn expire(&mut self, now: Timestamp) {
        self.clock.advance(now);
        let Some(minute) = self.clock.current() else {
            return;
        };
        self.owners.expire(minute);
        let retained =
            self.entries_by_minute.split_off(&Minute(minute.0.saturating_sub(RETENTION_MINUTES - 1)));
        let expired = std::mem::replace(&mut self.entries_by_minute, retained);
        for (key, entry) in expired.into_values().flatten() {
            let bytes = entry_bytes(&key);
            match &entry.state {
                EntryState::Running { .. } => {
                    self.entries_by_minute.entry(key.issuer.issued).or_default().insert(key, entry);
                    continue;
                }
                EntryState::Answered(answer) => self.bytes -= answer.bytes(),
                EntryState::Unknown(_) => {}
            }
            self.bytes -= bytes;
            self.entries -= 1;
        }
    }

    /// Number of running operations.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of entries, running operations included.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Size of the entries in bytes, as limited by [`OperationConfig::max_bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The daemon that has taken over the operations of `owner`. `None` if no handover is known.
    pub fn successor(&self, owner: Incarnation) -> Option<NodeId> {
        self.owners.successor(owner)
    }

    /// Records that `successor` has acknowledged the handover from `owner`, which may be this daemon.
    pub fn set_successor(&mut self, owner: Incarnation, successor: NodeId) {
        self.owners.set_successor(owner, successor);
    }

    /// Whether this many entries with this total size can be added.
    pub(super) fn has_room(&self, entries: usize, bytes: usize) -> bool {
        self.entries + entries <= self.cfg.max_entries && self.bytes + bytes <= self.cfg.max_bytes
    }

    pub(super) fn entry_mut(&mut self, key: &OperationKey) -> Option<&mut Entry> {
        self.entries_by_minute.get_mut(&key.issuer.issued)?.get_mut(key)
    }

    pub(super) fn insert(&mut self, key: OperationKey, entry: Entry, bytes: usize) {
        self.entries_by_minute.entry(key.issuer.issued).or_default().insert(key, entry);
        self.entries += 1;
        self.bytes += bytes;
    }

    fn remove(&mut self, key: &OperationKey) {
        let Some(entries) = self.entries_by_minute.get_mut(&key.issuer.issued) else {
            return;
        };
        entries.remove(key);
        self.entries -= 1;
        self.bytes -= entry_bytes(key);
    }
}

/// Whether an operation issued in minute `issued` is past its retention.
pub(super) fn is_expired(issued: Minute, minute: Minute) -> bool {
    issued.saturating_add(RETENTION_MINUTES) <= minute
}

/// Size of an entry without an answer, in bytes.
pub(super) fn entry_bytes(key: &OperationKey) -> usize {
    ENTRY_BYTES + key.text_bytes()
}
