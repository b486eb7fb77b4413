//! Simulation of a rate limit while one rank is overloaded, in virtual time.

use std::time::Duration;

use medlarstair_state::id::Rank;
use medlarstair_state::model::Percent;
use medlarstair_state::ranked::RankedBucket;
use medlarstair_state::time::Timestamp;

const RATE: u32 = 200;
const BURST: Duration = Duration::from_millis(500);
const SECONDS: u32 = 20;

/// Returns the requests per second granted to each rank when it requests `demand` times the rate, by rank index.
fn served(demand: [f64; 3], rate: u32) -> [f64; 3] {
    let mut bucket = RankedBucket::new(Timestamp::ZERO, BURST);
    bucket.set_floors([Percent(0), Percent(10), Percent(5)]);
    let mut asked = [0.0; 3];
    let mut taken = [0; 3];
    for ms in 0..u64::from(SECONDS) * 1_000 {
        let now = Timestamp::from_millis(ms);
        bucket.set_rate(now, rate);
        for rank in Rank::ALL.into_iter().rev() {
            let i = rank.index();
            asked[i] += demand[i] * f64::from(rate) / 1_000.0;
            while asked[i] >= 1.0 {
                asked[i] -= 1.0;
                taken[i] += u32::from(bucket.take(now, rank, 1));
            }
        }
    }
    taken.map(|n| f64::from(n) / f64::from(SECONDS))
}

/// Guards against an overload of bulk work that uses up the rate of a contract, so that its urgent work is refused.
#[test]
fn urgent_work_keeps_its_rate_in_a_bulk_flood() {
    for rate in [RATE, 12] {
        let [urgent, standard, bulk] = served([0.5, 0.2, 10.0], rate);
        let rate = f64::from(rate);
        assert!(urgent >= 0.5 * rate - 1.0, "urgent {urgent} of {rate}");
        assert!(standard >= 0.2 * rate - 1.0, "standard {standard} of {rate}");
        assert!(bulk >= 0.25 * rate, "bulk {bulk} of {rate}");
    }
}

/// Guards against an overload of urgent work that takes the tokens of the other ranks' floors.
#[test]
fn lower_ranks_keep_their_floors_in_an_urgent_flood() {
    // 14 requests/s is one daemon's share of a rate of 100 requests/s that is divided among seven daemons.
    for rate in [RATE, 14] {
        let [urgent, standard, bulk] = served([10.0, 0.5, 0.5], rate);
        let rate = f64::from(rate);
        assert!(standard >= 0.095 * rate, "standard {standard} of {rate}");
        assert!(bulk >= 0.045 * rate, "bulk {bulk} of {rate}");
        // At the end of the simulation, the count may be off by one request.
        assert!(urgent >= 0.80 * rate - 1.0 / f64::from(SECONDS), "urgent {urgent} of {rate}");
    }
}

/// Guards against ranks that together get more than the rate, and against unused floors that lower the total.
#[test]
fn all_ranks_together_get_the_rate() {
    for demand in [[10.0, 10.0, 10.0], [10.0, 0.0, 0.0], [0.0, 0.0, 10.0], [0.3, 0.3, 10.0]] {
        let total = served(demand, RATE).iter().sum::<f64>();
        let rate = f64::from(RATE);
        let burst = rate * BURST.as_secs_f64() / f64::from(SECONDS);
        assert!(total <= rate + burst, "{demand:?}: {total}");
        assert!(total >= 0.95 * rate, "{demand:?}: {total}");
    }
}
