//! The routing configuration: routes, services and limits of one configuration version.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::id::{Region, Service};
use crate::steering::accounts::{Account, AccountId, Accounts};

/// Version of a configuration. A daemon never reverts to a lower version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct PlanVersion(pub u64);

/// Priority of a route. Zero is the most urgent, larger values are less urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct Priority(pub u8);

/// Whether a request may be retried after a send whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running the request twice has the same effect as running it once.
    Idempotent,
    /// The request must not run twice.
    AtMostOnce,
}

/// A service that serves a share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service that receives the requests.
    pub service: Service,
    /// Weight of the service in the distribution of the route's requests. With zero, it receives none.
    pub weight: u32,
}

/// How requests for one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, also used in logs and metrics. Measurements are kept over configuration changes by this name.
    pub name: Box<str>,
    /// Host of the request.
    pub host: Box<str>,
    /// Prefix of the path, with a leading and a trailing slash.
    pub prefix: Box<str>,
    /// Whether requests without an API key are served although accounts are configured.
    pub public: bool,
    /// Whether requests may be retried when they may already have run.
    pub retry_safety: RetrySafety,
    /// Priority in the queue of the daemon.
    pub priority: Priority,
    /// Maximum time from the arrival of a request to a useful response.
    pub latency_objective: Duration,
    /// Timeout of a request, from its arrival to the response. `None` if only the client sets one.
    pub timeout: Option<Duration>,
    /// Maximum number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests for the same object are sent to the same server.
    pub affinity: bool,
    /// Whether responses are large, so that the traffic between failure domains decides where requests are sent.
    pub large_responses: bool,
    /// Regions that may serve the requests. Empty if all regions may.
    pub home_regions: Vec<Region>,
    /// Services among which the requests are distributed. At least one.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// The route as it applies to the requests of an account: with the account's priority, and in the regions that both
    /// allow. `None` if they have no region in common.
    pub fn for_account(&self, account: &Account) -> Option<Self> {
        let mut route = self.clone();
        route.priority = account.priority.unwrap_or(self.priority);
        if account.home_regions.is_empty() {
            return Some(route);
        }
        if self.home_regions.is_empty() {
            route.home_regions.clone_from(&account.home_regions);
            return Some(route);
        }
        route.home_regions.retain(|region| account.home_regions.contains(region));
        (!route.home_regions.is_empty()).then_some(route)
    }
}

/// A service of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name by which the destinations of routes refer to the service.
    pub name: Service,
    /// Path that health checks request.
    pub health_path: Box<str>,
    /// Number of connections that a server accepts from all daemons together.
    pub max_connections: u32,
    /// Warm-up time of a server after its start.
    pub cold_duration: Duration,
    /// Intended request rate of a cold server, in requests per second from all daemons together.
    pub cold_rate: f64,
}

/// Limits on client requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the request head.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
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

/// The routes and services of a configuration are inconsistent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlanError {
    /// A route has no destination.
    #[display("route {route} has no destination")]
    NoDestination {
        /// The route.
        route: Box<str>,
    },
    /// A destination of a route is not among the services.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: Box<str>,
        /// The unknown service.
        service: Service,
    },
}

/// The routing configuration of one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Version of the configuration.
    pub version: PlanVersion,
    /// Limits on client requests and connections.
    pub limits: ClientLimits,
    routes: Vec<Route>,
    /// Indexes of the routes of each host, the longest prefix first.
    hosts: BTreeMap<Box<str>, Vec<usize>>,
    services: BTreeMap<Service, ServiceSpec>,
    accounts: Accounts,
}

impl Plan {
    /// Builds a configuration and checks that it is consistent.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError`] if a route has no destination, or one whose service is unknown.
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
        // The longest matching prefix takes precedence.
        for list in hosts.values_mut() {
            list.sort_by_key(|&n| std::cmp::Reverse(routes[n].prefix.len()));
        }
        Ok(Self { version, limits, routes, hosts, services, accounts: Accounts::default() })
    }

    /// Adds the client accounts to a configuration.
    pub fn with_accounts(mut self, accounts: Accounts) -> Self {
        self.accounts = accounts;
        self
    }

    /// The client accounts.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// The account of an API key. Does not allocate.
    pub fn account_of_key(&self, key: &[u8]) -> Option<AccountId> {
        self.accounts.of_key(key)
    }

    /// An account by its index in this configuration.
    ///
    /// # Panics
    ///
    /// If the index is of another configuration version that has more accounts.
    pub fn account(&self, id: AccountId) -> &Rc<Account> {
        self.accounts.get(id)
    }

    /// The route of a request: among the routes of its host, the one with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        for &n in self.hosts.get(host)? {
            let route = &self.routes[n];
            if path.starts_with(&*route.prefix) {
                return Some(route);
            }
        }
        None
    }

    /// All routes, in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns a service by its name. `None` if it is not configured.
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The priority of the most urgent route that sends requests to a service. `None` if there is no such route.
    pub fn top_priority(&self, service: &Service) -> Option<Priority> {
        let of_service = |r: &&Route| r.destinations.iter().any(|d| d.service == *service && d.weight > 0);
        self.routes.iter().filter(of_service).map(|r| r.priority).min()
    }
}
