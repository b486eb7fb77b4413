//! Tests of `medlarctl explain`, which finds the cause of a request's outcome in logs.

use std::io::Write as _;
use std::process::{Command, Stdio};

/// Runs `medlarctl explain` on a log that it reads from standard input. Returns the exit code and the output.
fn explain(request: &str, log: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarctl"))
        .args(["explain", request])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(log.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

fn cause(request: &str, log: &str) -> String {
    let (_, text) = explain(request, log);
    text.lines().find_map(|line| line.strip_prefix("cause: ")).expect("the output has a cause").to_owned()
}

/// Guards against examples in docs/OPERATIONS.md whose log lines no longer yield the documented cause.
#[test]
fn the_walk_throughs_lead_to_the_cause() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let (_, section) = page.split_once("### From a failed request to its cause").unwrap();
    let log: Vec<&str> =
        section.lines().map(str::trim).filter(|line| line.starts_with("{\"code\"")).collect();
    let log = log.join("\n");
    for (request, expected) in [
        ("6c08031b7aa8da96", "it would have waited too long for a server"),
        ("a275093dd1c54b66", "no answer came before the deadline"),
        ("c35e6e4fb2b34a72", "its server took 217 ms where 100 ms were expected"),
    ] {
        assert!(section.contains(&format!("medlarctl explain {request}")), "{request} is not on the page");
        assert!(cause(request, &log).starts_with(expected), "{request}: {}", cause(request, &log));
    }
}

/// Guards against events of several daemons in the wrong order, failures on lines that are not events, and a wrong
/// count of the other sends to a server.
#[test]
fn logs_of_several_daemons_are_read_together() {
    let log = "\
{\"code\":543,\"msg\":\"request ended\",\"ts\":\"2026-01-01T00:00:03.2Z\",\"daemon\":\"b\",\"request\":\"x\",\"outcome\":\"failed\",\"status\":502}
not an event
{\"code\":541,\"msg\":\"send ended\",\"ts\":\"2026-01-01T00:00:03.1Z\",\"daemon\":\"b\",\"request\":\"x\",\"backend\":\"s\",\"outcome\":\"broken\"}
{\"code\":541,\"ts\":\"2026-01-01T00:00:03.0Z\",\"daemon\":\"a\",\"request\":\"y\",\"backend\":\"s\",\"outcome\":\"broken\"}
{\"code\":541,\"ts\":\"2026-01-01T00:00:02.0Z\",\"daemon\":\"a\",\"request\":\"z\",\"backend\":\"s\",\"outcome\":\"ok\"}
{\"code\":560,\"msg\":\"key-value service does not answer\",\"ts\":\"2026-01-01T00:00:01.0Z\",\"daemon\":\"b\"}
{\"code\":560,\"msg\":\"key-value service does not answer\",\"ts\":\"2026-01-01T00:00:09.0Z\",\"daemon\":\"b\"}
";
    let (code, text) = explain("x", log);
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(text, @r"
    request x
    before:
      2026-01-01T00:00:01.0Z b: key-value service does not answer
    path:
      2026-01-01T00:00:03.1Z b: send ended server=s outcome=broken
      2026-01-01T00:00:03.2Z b: request ended outcome=failed status=502
    cause: the connection was lost before a response; the server may have crashed (server s: 1 of 2 other sends in these logs failed)
    1 lines are not events and were skipped
    ");
}

/// Guards against a cause that no log line supports.
#[test]
fn a_request_that_is_not_in_the_logs_is_said_so() {
    let (code, text) = explain("x", "{\"code\":575,\"of\":541,\"lines\":7}\n");
    assert_eq!(code, Some(1));
    assert!(text.contains("not in these logs") && text.contains("event 575"), "{text}");
}

/// Guards against confusing the causes of late responses.
#[test]
fn a_late_answer_has_one_cause() {
    for (send, expected) in [
        ("\"after_ms\":500,\"took_ms\":300,\"expected_ms\":290,\"warm\":false", "it waited 200 ms"),
        ("\"after_ms\":500,\"took_ms\":495,\"expected_ms\":290,\"warm\":false", "its server took 495 ms"),
        ("\"after_ms\":500,\"took_ms\":495,\"expected_ms\":480,\"warm\":false", "its server was not warm"),
        (
            "\"after_ms\":500,\"took_ms\":495,\"expected_ms\":480,\"warm\":true,\"occupancy\":3.0",
            "its server had 3.0",
        ),
    ] {
        let log = format!(
            "{{\"code\":541,\"request\":\"x\",\"backend\":\"s\",\"outcome\":\"ok\",{send}}}\n\
             {{\"code\":543,\"request\":\"x\",\"outcome\":\"answered\",\"status\":200,\"late\":true,\"objective_ms\":400}}"
        );
        assert!(cause("x", &log).starts_with(expected), "{}", cause("x", &log));
    }
}
