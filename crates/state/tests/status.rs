//! Tests of the status text and of the decisions that it contains.

use std::time::Duration;

use medlarstair_state::id::Region;
use medlarstair_state::model::Percent;
use medlarstair_state::status::{
    Decision, Reason, StatusLine, StatusView, Verdict, VerdictInput, render, verdict,
};

fn line(customer: &str, service: &str, verdict: Verdict, load: u8, reason: Reason) -> StatusLine {
    StatusLine {
        customer: customer.parse().unwrap(),
        service: service.parse().unwrap(),
        decision: Decision { verdict, reason },
        load: Percent(load),
    }
}

/// Guards against changes of the text that would break the customers' scripts: order, keys, rounding.
#[test]
fn text_is_stable() {
    let wait = |micros| Verdict::Wait { retry_after: Duration::from_micros(micros) };
    let elsewhere = Verdict::Elsewhere { region: "salalah".parse().unwrap() };
    let view = StatusView {
        lines: vec![
            line("sohar-steel", "trade-counter", wait(250_001), 93, Reason::Load),
            line("nizwa-tools", "trade-counter", Verdict::Send, 41, Reason::Ok),
            line("nizwa-tools", "catalogue", elsewhere, 97, Reason::Load),
            line("a.b_c-1", "catalogue", wait(0), 255, Reason::NoSlots),
            line("sohar-steel", "catalogue", wait(2_000_000), 12, Reason::Rate),
            line("nizwa-tools", "trade-counter", wait(1), 99, Reason::Load),
        ],
    };
    let text = render(&view);
    assert!(text.is_ascii());
    insta::assert_snapshot!("lines", text);
    insta::assert_snapshot!("empty", render(&StatusView::default()));
}

/// Guards against verdicts that differ from the documented conditions, and against verdicts that alternate when a
/// value stays close to a threshold.
#[test]
fn verdicts_follow_the_documented_conditions() {
    let mut previous = None;
    for (number, row) in include_str!("data/verdicts.txt").lines().enumerate() {
        if row.starts_with('#') {
            continue;
        }
        if row == "reset" {
            previous = None;
            continue;
        }
        let fields: Vec<&str> = row.split_whitespace().collect();
        let regions: Vec<Region> =
            fields[3].split(',').filter(|r| *r != "-").map(|r| r.parse().unwrap()).collect();
        let retry_after = Duration::from_millis(700);
        let input = VerdictInput {
            load: Percent(fields[0].parse().unwrap()),
            has_slots: fields[1] == "yes",
            rate_used: Percent(fields[2].parse().unwrap()),
            retry_after,
            elsewhere: &regions,
        };
        let got = verdict(&input, previous.as_ref());
        let want = match fields[5].split_once(':') {
            Some((_, region)) => Verdict::Elsewhere { region: region.parse().unwrap() },
            None if fields[5] == "wait" => Verdict::Wait { retry_after },
            None => Verdict::Send,
        };
        assert_eq!((&got.verdict, got.reason.to_string().as_str()), (&want, fields[6]), "row {}", number + 1);
        previous = Some(got);
    }
}
