//! The command line against real daemons.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::Cluster;
use medlarstair::protocol::border::TimelineEvent;
use medlarstair_daemons::ctl::replay::EffectLine;
use medlarstair_standins::{BackendFaults, KvFaults};
use serde_json::{Value, json};

/// How a command ended.
#[derive(Debug)]
struct Ran {
    code: Option<i32>,
    out: String,
    err: String,
}

impl From<Output> for Ran {
    fn from(output: Output) -> Self {
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is text");
        Self { code: output.status.code(), out: text(output.stdout), err: text(output.stderr) }
    }
}

fn medlarctl(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_medlarctl"));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(mut command: Command) -> Ran {
    command.output().expect("medlarctl can be started").into()
}

/// An operator in the first region, who uses daemon 1 and else daemon 2.
struct Operator {
    options: Vec<String>,
    dir: PathBuf,
}

impl Operator {
    fn of(cluster: &Cluster) -> Self {
        let entries = [1, 2].map(|node| cluster.entry(node).http.front);
        Self::using(cluster, &entries)
    }

    fn using(cluster: &Cluster, entries: &[SocketAddr]) -> Self {
        let source = cluster.plan.client_ip(&cluster.plan.regions[0]).expect("the region exists");
        let token = cluster.dir.join("settings/operator.token");
        let mut options = vec!["--source".to_owned(), source.to_string()];
        options.extend(["--token-file".to_owned(), token.display().to_string()]);
        options.extend(entries.iter().flat_map(|at| ["--entry".to_owned(), at.to_string()]));
        Self { options, dir: cluster.dir.clone() }
    }

    fn command(&self, args: &str) -> Command {
        let mut command = medlarctl(&[]);
        command.args(&self.options).args(args.split_whitespace());
        command
    }

    fn run(&self, args: &str) -> Ran {
        run(self.command(args))
    }

    /// Runs a command that must end with `code`.
    fn expect(&self, code: i32, args: &str) -> Ran {
        let ran = self.run(args);
        assert_eq!(ran.code, Some(code), "{args}: {ran:?}");
        ran
    }

    fn json(&self, args: &str) -> Value {
        let ran = self.expect(0, &format!("--json {args}"));
        serde_json::from_str(&ran.out).expect("the output is JSON")
    }

    fn file(&self, name: &str, value: &Value) -> String {
        let path = self.dir.join(name);
        fs::write(&path, value.to_string()).expect("the file can be written");
        path.display().to_string()
    }

    /// A file with the contract of the first customer as it is, but for the rate of its first service.
    fn contract(&self, name: &str, rate: u32) -> String {
        let mut value = self.json("contract get muscat-wholesale");
        value["services"][0]["rate"] = json!(rate);
        self.file(name, &value)
    }

    fn rate(&self) -> Value {
        self.json("contract get muscat-wholesale")["services"][0]["rate"].clone()
    }
}

/// Passes connections on to `to`, but drops every answer to a `PUT` after it has taken effect.
fn losing_answers(to: SocketAddr, source: std::net::IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((source, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else { continue };
            let lose = Arc::new(AtomicBool::new(false));
            let (from, mut into) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let seen = Arc::clone(&lose);
            thread::spawn(move || {
                copy(from, &mut into, |bytes| {
                    if bytes.starts_with(b"PUT ") {
                        seen.store(true, Ordering::SeqCst);
                    }
                    true
                })
            });
            let mut into = client;
            thread::spawn(move || copy(server, &mut into, |_| !lose.load(Ordering::SeqCst)));
        }
    });
    address
}

/// Copies until the end, or until `go_on` of a chunk is false; then closes both directions.
fn copy(mut from: TcpStream, into: &mut TcpStream, go_on: impl Fn(&[u8]) -> bool) {
    let mut buf = [0; 16_384];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || !go_on(&buf[..n]) || into.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), into.shutdown(Shutdown::Both));
}

/// Guards against exit codes that scripts cannot rely on, and errors that do not say what to do next.
#[test]
fn usage_and_input_have_their_exit_codes() {
    let unreachable = ["--entry", "127.0.0.1:1", "contract", "list"];
    let cases: [(i32, &[&str]); 8] = [
        (2, &["no-such-command"]),
        (2, &["contract", "list"]),
        (2, &["--entry", "not-an-address", "status"]),
        (2, &["--entry", "127.0.0.1:1", "--token-file", "/nonexistent", "status"]),
        (2, &["check"]),
        (2, &["check", "/nonexistent.ini", "--value", "colour/blue=/dev/null"]),
        (2, &["replay", "/dev/null"]),
        (4, &unreachable),
    ];
    let mut shown = String::new();
    for (code, args) in cases {
        let ran = run(medlarctl(args));
        assert_eq!(ran.code, Some(code), "{args:?}: {ran:?}");
        shown += &format!("$ medlarctl {}\n{}{}", args.join(" "), ran.out, ran.err);
    }
    insta::assert_snapshot!("usage", shown);
    let help = run(medlarctl(&["--help"]));
    assert_eq!(help.code, Some(0));
    let codes = help.out.split_once("Error codes:").expect("the help lists the exit codes").1;
    assert!((1..=5).all(|code| codes.contains(&format!("\n  {code} "))), "{codes}");
}

/// Guards against lost updates, changes that are applied twice, and reports of changes that are not in force.
#[actix_rt::test]
async fn changes_are_compare_and_swap() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let operator = Operator::of(&cluster);
    let listed = operator.expect(0, "contract list").out;
    assert_eq!(listed.lines().count(), 3, "{listed}");

    // A change that is in force everywhere.
    let changed = operator.contract("a.json", 111);
    let put = operator.expect(0, &format!("contract put muscat-wholesale {changed} --wait --limit-ms 30000"));
    assert!(put.out.ends_with("in force on 7 of 7\n"), "{put:?}");
    assert_eq!(operator.rate(), 111);

    // Two operators at the same time: one wins, the other is told the winning revision.
    let files = [operator.contract("b.json", 222), operator.contract("c.json", 333)];
    let start = |file: &String| {
        operator.command(&format!("contract put muscat-wholesale {file}")).spawn().expect("it starts")
    };
    let children = files.each_ref().map(start);
    let ran = children.map(|child| Ran::from(child.wait_with_output().expect("it ends")));
    let winner = ran.iter().position(|r| r.code == Some(0)).expect("one wins");
    let loser = &ran[1 - winner];
    let won = operator.json("contract get muscat-wholesale");
    assert_eq!(loser.code, Some(3), "{ran:?}");
    assert!(loser.err.contains(&format!("has revision {}", won["revision"])), "{loser:?}");
    assert!(loser.err.contains("get it, apply your change to it and try again"), "{loser:?}");
    assert_eq!(won["services"][0]["rate"], json!([222, 333][winner]));

    // An answer that is lost between operator and daemon, and one that the key-value service loses.
    let source = cluster.plan.client_ip(&cluster.plan.regions[0]).expect("the region exists");
    let lossy = losing_answers(cluster.entry(1).http.real, source);
    let (unlucky, file) = (Operator::using(&cluster, &[lossy]), operator.contract("d.json", 444));
    let puts = cluster.platform.kv.calls().put;
    unlucky.expect(0, &format!("contract put muscat-wholesale {file}"));
    assert_eq!((operator.rate(), cluster.platform.kv.calls().put), (json!(444), puts + 1));
    cluster.platform.kv.set_faults(KvFaults { lose_answers: 1, ..KvFaults::default() });
    let file = operator.contract("e.json", 555);
    operator.expect(0, &format!("contract put muscat-wholesale {file}"));
    assert_eq!(operator.rate(), 555);

    // Refusals.
    let mut value = operator.json("contract get muscat-wholesale");
    value["services"][0]["max_deadline_ms"] = json!(0);
    let invalid = operator.file("invalid.json", &value);
    let ran = operator.expect(2, &format!("contract put muscat-wholesale {invalid}"));
    assert!(ran.err.contains("max_deadline_ms: must be 1 to 10000"), "{ran:?}");
    operator.expect(1, "contract get nobody");
    let mut stranger = Operator::of(&cluster);
    stranger.options[3] = operator.file("wrong.token", &json!("wrong"));
    let ran = stranger.expect(1, "contract list");
    assert!(ran.err.contains("--token-file"), "{ran:?}");
    cluster.platform.kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
    operator.expect(4, "contract list");
    for args in ["status", "in-force", "report", "timeline"] {
        operator.expect(0, args);
    }
    cluster.platform.kv.set_faults(KvFaults::default());

    // Accepted, but the daemons cannot learn of it in time.
    common::wait_for("the service answers", async || {
        (operator.run("contract list").code == Some(0)).then_some(())
    })
    .await;
    let file = operator.contract("f.json", 666);
    cluster.platform.kv.set_faults(KvFaults { stale_reads: true, ..KvFaults::default() });
    let args = format!("contract put muscat-wholesale {file} --wait --limit-ms 500");
    let ran = operator.expect(5, &args);
    assert!(ran.out.contains("in force on 0 of 7; not yet on: n1, n2, n3, n4, n5, n6, n7"), "{ran:?}");
    cluster.platform.kv.set_faults(KvFaults::default());
    operator.expect(0, "in-force --wait --limit-ms 30000 --key contract/muscat-wholesale");

    // A daemon that is gone is named and does not hold up the others.
    cluster.kill(7);
    let ran = operator.expect(0, "contract delete sohar-wholesale --wait --limit-ms 30000");
    assert_eq!(ran.out, "contract/sohar-wholesale is deleted\nin force on 6 of 7; unreachable: n7\n");
    operator.expect(1, "contract get sohar-wholesale");
}

/// Guards against drains that overload the remaining servers, and against a fleet change that is completed while loans
/// under the old division may last.
#[actix_rt::test]
async fn drains_and_fleet_changes_are_checked() {
    let mut cluster = Cluster::start("consortium", |_| {}).await;
    let operator = Operator::of(&cluster);
    let load = |in_use: Option<u32>| {
        for backend in cluster.platform.backends.values() {
            backend.set_faults(BackendFaults { fixed_in_use: in_use, ..BackendFaults::default() });
        }
    };
    load(Some(2));
    let refused = operator.expect(1, "drain add region muscat").err;
    let unknown = operator.expect(1, "drain add backend no-such-server").err;
    insta::assert_snapshot!("drain_refused", format!("{refused}{unknown}"));
    operator.expect(0, "drain add region muscat --force --wait --limit-ms 30000");
    load(None);
    operator.expect(0, "drain add backend catalogue-2");
    let names =
        |listed: Value| listed.as_array().unwrap().iter().map(|l| l["name"].clone()).collect::<Vec<_>>();
    assert_eq!(names(operator.json("drain list")), ["backend/catalogue-2", "region/muscat"]);
    operator.expect(0, "drain remove region muscat --wait --limit-ms 30000");
    operator.expect(1, "drain remove region muscat");
    assert_eq!(names(operator.json("drain list")), ["backend/catalogue-2"]);

    cluster.kill(7);
    let started = std::time::Instant::now();
    operator.expect(0, "fleet remove --node 7 --wait --limit-ms 30000");
    let shown = operator.expect(0, "fleet show").out;
    assert!(shown.contains("change under way; members before it: n1, n2, n3, n4, n5, n6, n7"), "{shown}");
    let second = operator.expect(1, "fleet remove --node 6").err;
    assert!(second.contains("another fleet change is under way"), "{second}");
    let early = operator.expect(5, "fleet finish").err;
    assert!(early.contains("n1 needs ") && early.contains("n7 does not answer"), "{early}");
    operator.expect(5, "fleet finish --wait --limit-ms 2000");
    operator.expect(0, "fleet finish --wait --gone 7 --limit-ms 60000");
    // A loan lasts 11 s, and the margin for clocks is 5 % and 50 ms.
    assert!(started.elapsed().as_millis() >= 11_600, "completed after {:?}", started.elapsed());
    let fleet = operator.json("fleet show");
    assert_eq!(fleet["fleet"]["members"].as_array().map(Vec::len), Some(6));
    assert_eq!(fleet["fleet"]["previous"], json!([]));
}

/// Guards against traces that cannot be replayed, timelines out of order and planned stops that do not end.
#[actix_rt::test]
async fn stopped_daemon_leaves_a_trace_that_replays() {
    let mut cluster = Cluster::start_platform("consortium", |_| {});
    let settings = cluster.settings_file(1);
    let text = common::read(&settings) + "trace_file = n1.trace\n";
    fs::write(&settings, text).expect("the settings can be written");
    for node in 1..=7 {
        cluster.spawn(node);
    }
    cluster.wait_ready().await;
    let operator = Operator::of(&cluster);
    for args in ["--rank urgent", "--rank bulk", "--once"] {
        let called =
            operator.json(&format!("call muscat-wholesale trade-counter /stock {args} --body hello"));
        assert_eq!(
            (&called["status"], &called["outcome"], &called["body"]),
            (&json!(200), &json!("ran"), &json!("hello"))
        );
        assert_eq!(called["entry"], 1);
    }
    let ran = operator.expect(1, "call nobody trade-counter /stock");
    assert!(ran.out.contains("outcome=not-run reason=no-contract"), "{ran:?}");
    let reports = operator.json("report --node 1");
    assert!(reports["reports"][0]["limits"].as_array().is_some_and(|l| !l.is_empty()), "{reports}");

    let timeline = operator.json("timeline");
    let events = serde_json::from_value::<Vec<TimelineEvent>>(timeline["events"].clone()).expect("events");
    assert!(events.is_sorted_by_key(|e| (e.wall_ms, e.logical)));
    assert!((1..=7).all(|node| events.iter().any(|e| e.node == node && e.code == 100)));

    operator.expect(0, "stop --node 1 --wait");
    assert!(cluster.wait_exit(1).await.success());
    let trace = cluster.dir.join("settings/n1.trace").display().to_string();
    let replayed = run(medlarctl(&["replay", &trace]));
    assert_eq!(replayed.code, Some(0), "{}", replayed.err);
    let effects =
        replayed.out.lines().map(|line| serde_json::from_str::<EffectLine>(line).expect("an effect"));
    let dispatches = effects.filter(|line| format!("{:?}", line.effect).starts_with("Dispatch")).count();
    assert_eq!(dispatches, 3);
    assert!(replayed.out.ends_with("\"Exit\"}\n"));

    // A daemon that is killed leaves an incomplete last line.
    let recorded = common::read(trace.as_ref());
    fs::write(&trace, recorded + "{\"at\":12").expect("the file can be written");
    let expected = cluster.dir.join("expected.jsonl");
    fs::write(&expected, &replayed.out).expect("the file can be written");
    let same = run(medlarctl(&["replay", &trace, "--expect", &expected.display().to_string()]));
    assert_eq!(same.code, Some(0), "{same:?}");
    let shorter = replayed.out.lines().skip(1).map(|line| format!("{line}\n")).collect::<String>();
    fs::write(&expected, shorter).expect("the file can be written");
    let other = run(medlarctl(&["replay", &trace, "--expect", &expected.display().to_string()]));
    assert_eq!(other.code, Some(1), "{other:?}");
    assert!(other.err.contains("effect 1 differs"), "{other:?}");
}
