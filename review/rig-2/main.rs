//! Stand-ins and drivers of the cases 6 to 10. Uses the standard library only.
//!
//! `rig-2 CASE RECORD` plays a case and writes its record. It exits with 1 if the rule was broken, with 0 if it held and with
//! 2 if the case could not run. With the variable `TROUBLE=0` the case is played without its disruption.

mod daemon;
mod deployment;
mod evacuated_again;
mod http;
mod json;
mod late_registration;
mod leaving_clients;
mod missed_change;
mod record;
mod shared_transaction;
mod slow_readers;
mod store;
mod target;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a run is given up.
const LONGEST: Duration = Duration::from_secs(115);

/// Outcome of a case: whether the rule was broken.
type Outcome = std::io::Result<bool>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: rig-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let Ok(record) = Record::create(&path).map(Arc::new) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        daemon::kill_all();
        println!("could not run: it took too long");
        std::process::exit(2);
    });
    let played = match case.as_str() {
        "evacuated-again" => evacuated_again::play(&record, has_trouble),
        "late-registration" => late_registration::play(&record, has_trouble),
        "leaving-clients" => leaving_clients::play(&record, has_trouble),
        "missed-change" => missed_change::play(&record, has_trouble),
        // No case: see the report.
        "shared-transaction" => shared_transaction::play(&record, has_trouble),
        "slow-readers" => slow_readers::play(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(broken) => {
            let text = if broken { "the rule is BROKEN" } else { "the rule held" };
            record.line(text);
            println!("{text}");
            ExitCode::from(u8::from(broken))
        }
        Err(e) => {
            record.line(&format!("could not run: {e}"));
            println!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}
