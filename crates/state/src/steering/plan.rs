//! Routes, services and limits of one configuration version.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::id::{Region, Service};

/// Version of a configuration. A daemon never goes back to a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct PlanVersion(pub u64);

/// Priority of a route; zero is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct Priority(pub u8);

/// Whether a request may be sent again after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// It must not run twice.
    AtMostOnce,
}

/// A service that serves a part of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: Service,
    /// Its part, relative to the other weights of the route.
    pub weight: u32,
}

/// What happens with requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Box<str>,
    /// Host that the request names.
    pub host: Box<str>,
    /// Beginning of the path, from slash to slash.
    pub prefix: Box<str>,
    /// Whether requests may be repeated.
    pub retry_safety: RetrySafety,
    /// Priority.
    pub priority: Priority,
    /// Time within which an answer is useful.
    pub latency_objective: Duration,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Most backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests about the same object go to the same server.
    pub affinity: bool,
    /// Regions that may serve the requests; empty if all may.
    pub home_regions: Vec<Region>,
    /// Services, at least one.
    pub destinations: Vec<Destination>,
}

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: Service,
    /// Path of health checks.
    pub health_path: Box<str>,
    /// Connections that a server accepts from all daemons together.
    pub max_connections: u32,
    /// Time for which a server is cold after its start.
    pub cold_duration: Duration,
    /// Requests per second that a cold server is meant to get from all daemons together.
    pub cold_rate: f64,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Time to send the head.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A route names a service that the plan lacks.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlanError {
    /// A route has no service.
    #[display("route {route} has no destination")]
    NoDestination {
        /// The route.
        route: Box<str>,
    },
    /// A route names an unknown service.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: Box<str>,
        /// The service.
        service: Service,
    },
}

/// One configuration version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Its version.
    pub version: PlanVersion,
    /// Bounds for callers.
    pub limits: ClientLimits,
    routes: Vec<Route>,
    hosts: BTreeMap<Box<str>, Vec<usize>>,
    services: BTreeMap<Service, ServiceSpec>,
}

impl Plan {
    /// A plan of these routes and services.
    ///
    /// # Errors
    ///
    /// [`PlanError`] if a route has no known service.
    pub fn new(
        version: PlanVersion,
        limits: ClientLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
    ) -> Result<Self, PlanError> {
        let services: BTreeMap<_, _> = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let mut hosts: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
        for (n, route) in routes.iter().enumerate() {
            if route.destinations.is_empty() {
                return Err(PlanError::NoDestination { route: route.name.clone() });
            }
            if let Some(d) = route.destinations.iter().find(|d| !services.contains_key(&d.service)) {
                return Err(PlanError::UnknownService {
                    route: route.name.clone(),
                    service: d.service.clone(),
                });
            }
            hosts.entry(route.host.clone()).or_default().push(n);
        }
        // The longest prefix that begins the path decides.
        for list in hosts.values_mut() {
            list.sort_by_key(|&n| std::cmp::Reverse(routes[n].prefix.len()));
        }
        Ok(Self { version, limits, routes, hosts, services })
    }

    /// The route of a request: the one of its host whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        for &n in self.hosts.get(host)? {
            let route = &self.routes[n];
            if path.starts_with(&*route.prefix) {
                return Some(route);
            }
        }
        None
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// A service by its name.
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The priority of the most urgent route of a service.
    pub fn top_priority(&self, service: &Service) -> Option<Priority> {
        let of_service = |r: &&Route| r.destinations.iter().any(|d| d.service == *service && d.weight > 0);
        self.routes.iter().filter(of_service).map(|r| r.priority).min()
    }
}
