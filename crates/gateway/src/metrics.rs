//! Metrics of a daemon, exported in the Prometheus text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];

/// Counters and histograms of a daemon. Labels are taken from the routes and services of the configuration and from a fixed
/// set of outcomes, so their cardinality is bounded.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Completed client requests by route and outcome.
    pub requests: IntCounterVec,
    /// Time in seconds from the arrival of a client request to its response, by route.
    pub latency: HistogramVec,
    /// Attempts to send a request to a backend server, by service and outcome.
    pub sends: IntCounterVec,
    /// Attempts to open a connection to a backend server, by service.
    pub connections: IntCounterVec,
    /// Announcements of backend servers in their responses, by kind.
    pub notices: IntCounterVec,
    /// Requests that were rejected because of their account, by reason.
    pub account_rejections: IntCounterVec,
    /// Messages to and from other daemons, by kind and direction.
    pub peer_messages: IntCounterVec,
    /// Bytes of these messages, by kind and direction.
    pub peer_bytes: IntCounterVec,
    /// Faults in the client accounts of the configuration versions that came into effect, by kind.
    pub account_faults: IntCounterVec,
    /// Calls to the key-value service, by kind and result.
    pub store_calls: IntCounterVec,
    /// Changes of the era of the key-value service, by direction. Responses of an earlier era are ignored.
    pub store_eras: IntCounterVec,
    /// Times that a limit on resources took effect, by limit.
    pub limits: IntCounterVec,
    /// Connections of clients that ended, by cause and by what happened on them.
    pub connection_ends: IntCounterVec,
    /// Resources that are in use, by resource.
    pub held: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics, starting at zero.
    ///
    /// # Errors
    ///
    /// Fails if a metric name is invalid or already registered.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let requests = counter("medlarstair_requests_total", "Finished requests", &["route", "outcome"])?;
        let sends = counter("medlarstair_sends_total", "Sends to backend servers", &["service", "outcome"])?;
        let connections =
            counter("medlarstair_connections_total", "Connections opened to backend servers", &["service"])?;
        let notices =
            counter("medlarstair_server_notices_total", "Announcements of backend servers", &["kind"])?;
        let account_rejections =
            counter("medlarstair_account_rejections_total", "Requests rejected by account", &["reason"])?;
        let account_faults =
            counter("medlarstair_account_faults_total", "Faulty client accounts", &["kind"])?;
        let store_calls =
            counter("medlarstair_store_calls_total", "Calls to the key-value service", &["kind", "result"])?;
        let store_eras =
            counter("medlarstair_store_eras_total", "Changes of the era of the service", &["direction"])?;
        let peer_messages =
            counter("medlarstair_peer_messages_total", "Messages between daemons", &["kind", "direction"])?;
        let peer_bytes =
            counter("medlarstair_peer_bytes_total", "Bytes of these messages", &["kind", "direction"])?;
        let limits =
            counter("medlarstair_limit_hits_total", "Limits on resources that took effect", &["limit"])?;
        let connection_ends = counter(
            "medlarstair_connection_ends_total",
            "Client connections that ended",
            &["cause", "phase"],
        )?;
        let held =
            IntGaugeVec::new(Opts::new("medlarstair_resources_in_use", "Resources in use"), &["resource"])?;
        registry.register(Box::new(held.clone()))?;
        let opts = HistogramOpts::new("medlarstair_request_seconds", "Time to the answer")
            .buckets(LATENCY_BUCKETS.to_vec());
        let latency = HistogramVec::new(opts, &["route"])?;
        registry.register(Box::new(latency.clone()))?;
        Ok(Self {
            registry,
            requests,
            latency,
            sends,
            connections,
            notices,
            account_rejections,
            peer_messages,
            peer_bytes,
            account_faults,
            store_calls,
            store_eras,
            limits,
            connection_ends,
            held,
        })
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
