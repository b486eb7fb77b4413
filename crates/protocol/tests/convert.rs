//! Tests of the conversion of configuration values and of its error messages.

use medlarstair_protocol::convert::{fleet, fleet_value, parse_value};
use medlarstair_state::model::ConfigValue;

fn outcome(key: &str, value: &str) -> String {
    match parse_value(key, value) {
        Ok(Some(_)) => "ok".into(),
        Ok(None) => "not a configuration key".into(),
        Err(e) => e.to_string(),
    }
}

/// Guards against an invalid value that takes effect, and against an error message that does not name the problem.
#[test]
fn values_give_the_outcomes_of_the_table() {
    let lines = include_str!("data/values.txt").lines();
    let cases = lines.filter(|line| !line.is_empty() && !line.starts_with('#')).collect::<Vec<_>>();
    assert!(cases.len() % 3 == 0, "a case has a key, a value and an outcome");
    for case in cases.chunks(3) {
        assert_eq!(outcome(case[0], case[1]), case[2], "{} {}", case[0], case[1]);
    }
}

/// Guards against a list that exhausts the memory of a daemon.
#[test]
fn long_lists_are_rejected() {
    let link = r#"{"from":"a","to":"b","bandwidth":1,"delay_ms":1}"#;
    let links = vec![link; 10_001].join(",");
    let value = format!(r#"{{"change_id":"c1","links":[{links}]}}"#);
    assert_eq!(outcome("config/topology", &value), "links: more than 10000 items");
}

/// Guards against a conversion that loses or changes a part of a fleet, since daemons write fleets back.
#[test]
fn a_fleet_round_trips() {
    let value = include_str!("data/fleet.json");
    let Ok(Some(ConfigValue::Fleet(parsed))) = parse_value("config/fleet", value) else {
        panic!("the value is a fleet");
    };
    assert_eq!(parsed.members.iter().map(|m| m.node.0).collect::<Vec<_>>(), [1, 2], "ordered by node");
    assert_eq!(fleet(&fleet_value(&parsed, "c2")), Ok(parsed));
}
