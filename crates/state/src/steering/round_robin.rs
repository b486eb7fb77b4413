//! Weighted distribution of a route's requests over services.
//!
//! Smooth weighted round robin gives each service its part within one request, where a random choice would miss it by a
//! few per cent in a short window.

use std::collections::BTreeMap;

use crate::id::Service;
use crate::steering::plan::Destination;

/// Distributes the requests of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credit: BTreeMap<Service, i64>,
}

impl WeightedRoundRobin {
    /// The service of the next request; `None` without a positive weight.
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
            if best.is_none_or(|(_, most)| *credit > most) {
                best = Some((&d.service, *credit));
            }
        }
        let (service, _) = best?;
        *self.credit.get_mut(service)? -= total;
        Some(service)
    }
}
