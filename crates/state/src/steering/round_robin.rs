//! Weighted distribution of the requests of a route over services.
//!
//! Smooth weighted round-robin keeps the number of requests of each service within one request of its share. A random
//! choice would deviate by a few percent in a short window.

use std::collections::BTreeMap;

use crate::id::Service;
use crate::steering::plan::Destination;

/// Distributes the requests of one route over its destinations.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    /// Credit of each service: its share of the requests so far minus those it has received, in units of weight.
    credit: BTreeMap<Service, i64>,
}

impl WeightedRoundRobin {
    /// Selects the service for the next request. `None` if no destination has a positive weight.
    pub fn next<'a>(&mut self, destinations: &'a [Destination]) -> Option<&'a Service> {
        let total: i64 = destinations.iter().map(|d| i64::from(d.weight)).sum();
        self.credit.retain(|service, _| destinations.iter().any(|d| d.service == *service));
        let mut best: Option<(&Service, i64)> = None;
        for d in destinations {
            if d.weight == 0 {
                continue;
            }
            let credit = self.credit.entry(d.service.clone()).or_default();
            *credit = (*credit + i64::from(d.weight)).clamp(-total, total);
            if best.is_none_or(|(_, max_credit)| *credit > max_credit) {
                best = Some((&d.service, *credit));
            }
        }
        let (service, _) = best?;
        *self.credit.get_mut(service)? -= total;
        Some(service)
    }
}
