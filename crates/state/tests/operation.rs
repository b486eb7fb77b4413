//! Tests of the operation table: an operation runs at most once, and is reported as not run only if it was not run.

use std::cell::Cell;
use std::time::Duration;

use medlarstair_state::id::{Boot, Fingerprint, Incarnation, NodeId, RequestId};
use medlarstair_state::operation::*;
use medlarstair_state::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Wall clock at the start of the tests, in minutes since 1970.
const START_MINUTE: u32 = 29_000_000;
const CFG: OperationConfig = OperationConfig { max_entries: 4, max_bytes: 1 << 20, max_answer_bytes: 24 };

fn incarnation(node: u32, boot: u64) -> Incarnation {
    Incarnation { node: NodeId(node), boot: Boot(boot) }
}

fn req(id: u64, customer: &str) -> OperationRequest {
    OperationRequest { id: RequestId(id), customer: customer.parse().unwrap(), fingerprint: Fingerprint(7) }
}

fn answer(body: &str) -> RecordedAnswer {
    RecordedAnswer { status: 200, content_type: "text/plain".into(), body: body.into(), omitted: false }
}

fn answered(body: &str) -> AttemptOutcome {
    AttemptOutcome::Answered(answer(body))
}

fn minutes(n: u32) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(60) * n
}

/// A table with the wall clock at [`START_MINUTE`] plus `at` minutes.
struct Table {
    inner: OperationTable,
    at: u32,
}

impl Table {
    fn new(me: Incarnation, cfg: OperationConfig) -> Self {
        Self { inner: OperationTable::new(me, cfg), at: 0 }
    }

    fn token(&self, suffix: &str) -> Token {
        format!("{}{suffix}", self.inner.token_prefix(Minute(START_MINUTE + self.at))).parse().unwrap()
    }

    fn begin(&mut self, token: &Token, id: u64) -> BeginOutcome {
        self.inner.begin(minutes(self.at), Minute(START_MINUTE + self.at), token, &req(id, "acme"))
    }

    fn finish(&mut self, id: u64, end: AttemptOutcome) -> Vec<RequestId> {
        self.inner.finish(minutes(self.at), RequestId(id), end)
    }

    fn export(&mut self, successor: Incarnation) -> Option<HandoverTable> {
        self.inner.export(minutes(self.at), Minute(START_MINUTE + self.at), successor)
    }

    fn import(&mut self, table: &HandoverTable) -> Result<ImportProgress, ImportError> {
        self.inner.import(minutes(self.at), table.clone())
    }
}

/// Guards against tokens with more than one spelling, and against unbounded or unprintable suffixes.
#[test]
fn tokens_are_parsed_strictly() {
    for line in include_str!("data/operation_tokens.txt").lines().filter(|line| !line.starts_with('#')) {
        let (expected, text) = line.split_once(' ').unwrap();
        let token = text.parse::<Token>();
        assert_eq!(token.is_ok(), expected == "ok", "{text:?}");
        if let Ok(token) = token {
            assert_eq!(token.to_string(), text);
        }
    }
}

/// Guards against a resend that runs the operation again, a joined request that gets no answer, an answer that is
/// replayed to another customer or another request, and a "not run" outcome after which a resend does not run.
#[test]
fn resends_join_the_attempt_and_get_its_answer() {
    let mut table = Table::new(incarnation(1, 1), CFG);
    let token = table.token("a");
    assert_eq!(table.begin(&token, 1), BeginOutcome::Run);
    assert_eq!(table.finish(1, AttemptOutcome::NotRun), []);
    assert_eq!((table.inner.entries(), table.inner.bytes()), (0, 0));
    assert_eq!(table.begin(&token, 2), BeginOutcome::Run);
    for id in [3, 4, 5] {
        assert_eq!(table.begin(&token, id), BeginOutcome::Join);
    }
    table.inner.detach(RequestId(4));
    table.inner.detach(RequestId(2));
    assert_eq!(table.finish(3, answered("not the runner")), []);
    assert_eq!(table.finish(2, answered("done")), [RequestId(3), RequestId(5)]);
    assert_eq!(table.finish(2, answered("again")), []);
    assert_eq!(table.begin(&token, 6), BeginOutcome::Answer(answer("done")));
    let minute = Minute(START_MINUTE);
    let other = OperationRequest { fingerprint: Fingerprint(8), ..req(7, "acme") };
    let refused = BeginOutcome::Refused(OperationRefusal::NameInUse);
    assert_eq!(table.inner.begin(Timestamp::ZERO, minute, &token, &other), refused);
    assert_eq!(table.inner.begin(Timestamp::ZERO, minute, &token, &req(8, "other")), BeginOutcome::Run);
    let claim = Claim { key: "a".parse().unwrap(), issuer: table.inner.issuer(minute) };
    let claimed = |table: &mut Table, id| {
        table.inner.begin_claimed(
            minutes(table.at),
            Minute(START_MINUTE + table.at),
            &claim,
            &req(id, "acme"),
        )
    };
    assert_eq!(claimed(&mut table, 9), BeginOutcome::Run);
    assert_eq!(claimed(&mut table, 10), BeginOutcome::Join);
    assert_eq!(table.finish(9, AttemptOutcome::Unknown), [RequestId(10)]);
    assert_eq!(claimed(&mut table, 11), BeginOutcome::Unknown(UnknownReason::AttemptLost));
    table.at = RETENTION_MINUTES;
    table.inner.expire(minutes(table.at));
    assert_eq!(claimed(&mut table, 12), BeginOutcome::Unknown(UnknownReason::Expired));
}

/// Guards against dropping an entry within its retention, against unbounded memory, and against a wall clock that is
/// set back and makes an operation whose entry was dropped appear new, or new ones appear expired.
#[test]
fn a_full_table_refuses_and_retention_is_monotonic() {
    let mut table = Table::new(incarnation(1, 1), CFG);
    let tokens: Vec<Token> = (0..5).map(|n| table.token(&n.to_string())).collect();
    for (id, token) in (0..4).zip(&tokens) {
        assert_eq!(table.begin(token, id), BeginOutcome::Run);
        table.finish(id, answered(if id == 0 { "longer than the bound" } else { "short" }));
    }
    let omitted = RecordedAnswer { content_type: "".into(), body: Vec::new(), omitted: true, ..answer("") };
    assert_eq!(table.begin(&tokens[0], 9), BeginOutcome::Answer(omitted));
    assert_eq!(table.begin(&tokens[4], 9), BeginOutcome::Refused(OperationRefusal::TableFull));
    let mut small = Table::new(incarnation(1, 1), OperationConfig { max_bytes: table.inner.bytes(), ..CFG });
    let begun =
        tokens.iter().zip(0..).filter(|(token, id)| small.begin(token, *id) == BeginOutcome::Run).count();
    assert!(begun == 3 && small.inner.bytes() <= table.inner.bytes(), "running operations reserve bytes");

    table.at = RETENTION_MINUTES - 1;
    table.inner.expire(minutes(table.at));
    assert_eq!(table.begin(&tokens[1], 9), BeginOutcome::Answer(answer("short")));
    assert_eq!(table.begin(&tokens[4], 9), BeginOutcome::Refused(OperationRefusal::TableFull));
    let now = minutes(RETENTION_MINUTES);
    table.inner.expire(now);
    assert_eq!((table.inner.entries(), table.inner.bytes()), (0, 0));
    let set_back = Minute(START_MINUTE - 60);
    let expired = BeginOutcome::Unknown(UnknownReason::Expired);
    assert_eq!(table.inner.begin(now, set_back, &tokens[1], &req(9, "acme")), expired);
    let new_token = format!("{}x", table.inner.token_prefix(set_back)).parse().unwrap();
    assert_eq!(table.inner.begin(now, set_back, &new_token, &req(9, "acme")), BeginOutcome::Run);
    let forged = Token { issued: Minute(START_MINUTE + 1_000), ..new_token };
    let refused = BeginOutcome::Refused(OperationRefusal::NotIssued);
    assert_eq!(table.inner.begin(now, set_back, &forged, &req(10, "acme")), refused);
}

/// Guards against an operation that is run by the old owner after the export, by a second successor, by a later boot of
/// the successor or before all parts have arrived, and against a running operation that is exported as finished.
#[test]
fn a_handover_has_a_single_successor() {
    let (old, new, third) = (incarnation(1, 1), incarnation(2, 1), incarnation(3, 1));
    let mut owner = Table::new(old, CFG);
    let mut successor = Table::new(new, CFG);
    let [done, running, unlisted] = ["done", "running", "unlisted"].map(|suffix| owner.token(suffix));
    assert_eq!(owner.begin(&done, 1), BeginOutcome::Run);
    owner.finish(1, answered("done"));
    assert_eq!(owner.begin(&running, 2), BeginOutcome::Run);
    let forward = |node| BeginOutcome::NotOwner { owner: old, forward_to: NodeId(node) };
    assert_eq!(successor.begin(&unlisted, 1), forward(1));
    owner.inner.begin_stop();
    assert_eq!(owner.begin(&unlisted, 3), BeginOutcome::Refused(OperationRefusal::Leaving));

    let table = owner.export(new).unwrap();
    assert_eq!(owner.export(third), None);
    assert_eq!(owner.begin(&unlisted, 3), BeginOutcome::Unknown(UnknownReason::HandedOver));
    assert_eq!(owner.begin(&running, 3), BeginOutcome::Join);
    let mut other = Table::new(third, CFG);
    assert_eq!(other.import(&table), Err(ImportError::OtherSuccessor));
    assert_eq!(Table::new(incarnation(2, 2), CFG).import(&table), Err(ImportError::OtherSuccessor));
    let full = OperationConfig { max_entries: 1, ..CFG };
    assert_eq!(Table::new(new, full).import(&table), Err(ImportError::Full));

    let parts = table.clone().split(1);
    assert_eq!(parts.len(), 2);
    assert_eq!(successor.import(&parts[1]), Ok(ImportProgress::Partial));
    assert_eq!(successor.import(&parts[1]), Ok(ImportProgress::Partial));
    assert_eq!(successor.begin(&unlisted, 1), forward(1));
    assert_eq!(successor.import(&parts[0]), Ok(ImportProgress::Complete));
    owner.inner.set_successor(old, NodeId(2));
    other.inner.set_successor(old, NodeId(2));
    assert_eq!((owner.begin(&unlisted, 3), other.begin(&done, 1)), (forward(2), forward(2)));
    assert_eq!(other.inner.successor(old), Some(NodeId(2)));

    assert_eq!(successor.begin(&done, 1), BeginOutcome::Answer(answer("done")));
    assert_eq!(successor.begin(&running, 1), BeginOutcome::Unknown(UnknownReason::AttemptLost));
    assert_eq!(successor.begin(&unlisted, 1), BeginOutcome::Run);
    let entries = successor.inner.entries();
    assert_eq!(successor.import(&table), Ok(ImportProgress::Complete));
    assert_eq!((successor.inner.entries(), successor.begin(&unlisted, 2)), (entries, BeginOutcome::Join));

    // The next handover includes the imported table. A restarted successor has lost the entries of both owners.
    let chained = successor.export(third).unwrap();
    assert_eq!(other.import(&chained), Ok(ImportProgress::Complete));
    assert_eq!(other.begin(&unlisted, 1), BeginOutcome::Unknown(UnknownReason::AttemptLost));
    assert_eq!(successor.import(&table), Err(ImportError::Leaving));
    let mut restarted = Table::new(incarnation(2, 2), CFG);
    restarted.inner.set_successor(old, NodeId(2));
    let ended = BeginOutcome::Unknown(UnknownReason::OwnerEnded);
    assert_eq!(
        (restarted.begin(&done, 1), restarted.begin(&successor.token("x"), 2)),
        (ended.clone(), ended)
    );
    other.at = RETENTION_MINUTES;
    assert_eq!(other.begin(&unlisted, 3), BeginOutcome::Unknown(UnknownReason::Expired));
}

const DAEMONS: usize = 3;
const TOKENS: usize = 6;

#[derive(Debug, Clone)]
enum Step {
    Issue {
        at: usize,
    },
    Send {
        token: usize,
        via: usize,
    },
    Finish {
        attempt: usize,
        end: u8,
    },
    Restart {
        at: usize,
    },
    Advance {
        minutes: u32,
    },
    SetClock {
        at: usize,
        ahead: u32,
    },
    Expire {
        at: usize,
    },
    Stop {
        at: usize,
    },
    Export {
        at: usize,
        to: usize,
        part_bytes: usize,
    },
    /// Delivers a part of a table, possibly late or repeatedly, to its successor or to the daemon `to`.
    DeliverPart {
        part: usize,
        to: Option<usize>,
        notified: [bool; DAEMONS],
    },
}

fn step() -> impl Strategy<Value = Step> {
    use Step::*;
    let at = || 0..DAEMONS;
    prop_oneof![
        2 => at().prop_map(|at| Issue { at }),
        8 => (0..TOKENS, at()).prop_map(|(token, via)| Send { token, via }),
        4 => (any::<usize>(), 0..3u8).prop_map(|(attempt, end)| Finish { attempt, end }),
        1 => at().prop_map(|at| Restart { at }),
        1 => (1..5u32).prop_map(|minutes| Advance { minutes }),
        1 => (at(), 0..8u32).prop_map(|(at, ahead)| SetClock { at, ahead }),
        1 => at().prop_map(|at| Expire { at }),
        1 => at().prop_map(|at| Stop { at }),
        2 => (at(), at(), 1..2_000usize).prop_map(|(at, to, part_bytes)| Export { at, to, part_bytes }),
        4 => (any::<usize>(), proptest::option::weighted(0.2, at()), any::<[bool; DAEMONS]>())
            .prop_map(|(part, to, notified)| DeliverPart { part, to, notified }),
    ]
}

struct Daemon {
    me: Incarnation,
    table: OperationTable,
    ahead: u32,
}

struct Attempt {
    daemon: usize,
    request: RequestId,
    token: usize,
    joined: Vec<RequestId>,
}

#[derive(Clone, Default)]
struct ExpectedState {
    /// Whether an attempt has begun that was not reported as not run.
    may_have_run: bool,
    answer: Option<RecordedAnswer>,
}

#[derive(Default)]
struct OutcomeCounts {
    runs: Cell<u32>,
    successor_runs: Cell<u32>,
    answers: Cell<u32>,
    refused: Cell<u32>,
}

fn increment(cell: &Cell<u32>) {
    cell.set(cell.get() + 1);
}

struct Sim<'a> {
    counts: &'a OutcomeCounts,
    daemons: Vec<Daemon>,
    tokens: Vec<(Token, ExpectedState)>,
    attempts: Vec<Attempt>,
    parts: Vec<HandoverTable>,
    now: Timestamp,
    requests: u64,
}

impl Sim<'_> {
    fn minute(&self, at: usize) -> Minute {
        let passed = self.now.since(Timestamp::ZERO).as_secs() / 60;
        Minute(START_MINUTE + passed as u32 + self.daemons[at].ahead)
    }

    fn send(&mut self, token: usize, via: usize) {
        let Some((name, expected)) = self.tokens.get(token).cloned() else {
            return;
        };
        self.requests += 1;
        let req = req(self.requests, "acme");
        let mut daemon = via;
        for _ in 0..3 {
            let minute = self.minute(daemon);
            let begin = self.daemons[daemon].table.begin(self.now, minute, &name, &req);
            match begin {
                BeginOutcome::NotOwner { forward_to, .. } => {
                    daemon = forward_to.0 as usize;
                    continue;
                }
                BeginOutcome::Run => {
                    assert!(!expected.may_have_run, "{name} runs a second time, at daemon {daemon}");
                    self.tokens[token].1.may_have_run = true;
                    self.attempts.push(Attempt { daemon, request: req.id, token, joined: Vec::new() });
                    increment(&self.counts.runs);
                    if name.owner != self.daemons[daemon].me {
                        increment(&self.counts.successor_runs);
                    }
                }
                BeginOutcome::Join => {
                    let running = |attempt: &&mut Attempt| attempt.daemon == daemon && attempt.token == token;
                    let attempt = self.attempts.iter_mut().find(running).expect("joined a running attempt");
                    attempt.joined.push(req.id);
                }
                BeginOutcome::Answer(answer) => {
                    assert_eq!(Some(answer), expected.answer, "{name} got another answer");
                    increment(&self.counts.answers);
                }
                BeginOutcome::Unknown(_) => {}
                BeginOutcome::Refused(reason) => {
                    assert!(
                        !expected.may_have_run,
                        "{name} is reported as not run ({reason:?}) but may have run"
                    );
                    increment(&self.counts.refused);
                }
            }
            return;
        }
    }

    fn finish(&mut self, attempt: usize, end: u8) {
        let Some(attempt) = attempt.checked_rem(self.attempts.len()) else {
            return;
        };
        let attempt = self.attempts.swap_remove(attempt);
        let expected = &mut self.tokens[attempt.token].1;
        let end = match end {
            0 => {
                expected.answer = Some(answer(&attempt.request.to_string()));
                AttemptOutcome::Answered(expected.answer.clone().unwrap())
            }
            1 => {
                expected.may_have_run = false;
                AttemptOutcome::NotRun
            }
            _ => AttemptOutcome::Unknown,
        };
        let joined = self.daemons[attempt.daemon].table.finish(self.now, attempt.request, end);
        assert_eq!(joined, attempt.joined, "every request that joined gets the answer");
    }

    fn deliver(&mut self, part: usize, to: Option<usize>, notified: [bool; DAEMONS]) {
        let Some(part) = part.checked_rem(self.parts.len()).map(|part| self.parts[part].clone()) else {
            return;
        };
        let to = to.unwrap_or(part.successor.node.0 as usize);
        let owner = part.owner;
        if self.daemons[to].table.import(self.now, part) != Ok(ImportProgress::Complete) {
            return;
        }
        let notified_daemons = self.daemons.iter_mut().zip(notified).filter(|(_, notified)| *notified);
        notified_daemons.for_each(|(daemon, _)| daemon.table.set_successor(owner, NodeId(to as u32)));
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Issue { at } if self.tokens.len() < TOKENS => {
                let prefix = self.daemons[at].table.token_prefix(self.minute(at));
                let token = format!("{prefix}{}", self.tokens.len()).parse().unwrap();
                self.tokens.push((token, ExpectedState::default()));
            }
            Step::Issue { .. } => {}
            Step::Send { token, via } => self.send(token, via),
            Step::Finish { attempt, end } => self.finish(attempt, end),
            Step::Restart { at } => {
                let me = incarnation(at as u32, self.daemons[at].me.boot.0 + 1);
                self.daemons[at].me = me;
                self.daemons[at].table = OperationTable::new(me, CFG);
                self.attempts.retain(|attempt| attempt.daemon != at);
            }
            Step::Advance { minutes } => self.now = now + Duration::from_secs(60) * minutes,
            Step::SetClock { at, ahead } => self.daemons[at].ahead = ahead,
            Step::Expire { at } => self.daemons[at].table.expire(now),
            Step::Stop { at } => self.daemons[at].table.begin_stop(),
            Step::Export { at, to, part_bytes } => {
                let (minute, successor) = (self.minute(at), self.daemons[to].me);
                let table = self.daemons[at].table.export(now, minute, successor);
                self.parts.extend(table.into_iter().flat_map(|table| table.split(part_bytes)));
            }
            Step::DeliverPart { part, to, notified } => self.deliver(part, to, notified),
        }
    }
}

/// Guards against an operation that runs twice or is wrongly reported as not run. The random schedules contain resends
/// through other daemons, restarts, clocks that are set forward and back, expiry, full tables, and handovers that are
/// lost, partial, repeated, late or misdelivered.
#[test]
fn an_operation_runs_at_most_once() {
    let counts = OutcomeCounts::default();
    let cfg = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]));
    let run = |steps: Vec<Step>| {
        let daemon = |node: u32| {
            let me = incarnation(node, 1);
            Daemon { me, table: OperationTable::new(me, CFG), ahead: 0 }
        };
        let mut sim = Sim {
            counts: &counts,
            daemons: (0..DAEMONS as u32).map(daemon).collect(),
            tokens: Vec::new(),
            attempts: Vec::new(),
            parts: Vec::new(),
            now: Timestamp::ZERO,
            requests: 0,
        };
        let issue = (0..DAEMONS).map(|at| Step::Issue { at });
        issue.chain(steps).for_each(|step| sim.step(step));
        Ok(())
    };
    runner.run(&proptest::collection::vec(step(), 1..80), run).unwrap();
    let OutcomeCounts { runs, successor_runs, answers, refused } = &counts;
    println!("{runs:?} runs, {successor_runs:?} at successors, {answers:?} answers, {refused:?} refused");
    for cell in [runs, successor_runs, answers, refused] {
        assert!(cell.get() > 100, "the schedules reach every outcome");
    }
}
