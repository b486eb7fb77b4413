//! Prometheus metrics of an entry daemon.

use medlarstair_protocol::envelope::OpenError;
use medlarstair_state::id::Rank;
use medlarstair_state::node::Reason;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Metrics of one daemon. Copies share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    lookups: IntCounter,
    latency: [Histogram; 3],
    refused: IntCounterVec,
    datagrams_received: IntCounter,
    datagrams_sent: IntCounter,
    bytes_received: IntCounter,
    bytes_sent: IntCounter,
    messages_refused: IntCounterVec,
    requests: IntGauge,
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    created: prometheus::Result<C>,
) -> prometheus::Result<C> {
    let collector = created?;
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

impl Metrics {
    /// Creates and registers all metrics, with value zero.
    ///
    /// # Panics
    ///
    /// Never: the names are fixed, valid and different.
    pub fn new() -> Self {
        Self::try_new().expect("metric names are valid and unique")
    }

    fn try_new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let by_reason = |name: &str, help: &str| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), &["reason"]))
        };
        let opts =
            HistogramOpts::new("medlarstair_request_seconds", "Time from a request's arrival to its answer.");
        let latency =
            register(&registry, HistogramVec::new(opts.buckets(LATENCY_BUCKETS.to_vec()), &["rank"]))?;
        let of_rank = |rank: Rank| latency.with_label_values(&[rank.to_string().as_str()]);
        let lookups = counter("medlarstair_lookups_total", "Lookups answered.")?;
        let refused = by_reason("medlarstair_refused_total", "Requests refused, by reason.")?;
        let datagrams_received =
            counter("medlarstair_datagrams_received_total", "Datagrams of other daemons.")?;
        let datagrams_sent = counter("medlarstair_datagrams_sent_total", "Datagrams to other daemons.")?;
        let bytes_received = counter("medlarstair_peer_bytes_received_total", "Bytes of other daemons.")?;
        let bytes_sent = counter("medlarstair_peer_bytes_sent_total", "Bytes to other daemons.")?;
        let messages_refused =
            by_reason("medlarstair_messages_refused_total", "Messages refused, by reason.")?;
        let requests = register(&registry, IntGauge::new("medlarstair_requests", "Requests held."))?;
        let latency = Rank::ALL.map(of_rank);
        Ok(Self {
            registry,
            lookups,
            latency,
            refused,
            datagrams_received,
            datagrams_sent,
            bytes_received,
            bytes_sent,
            messages_refused,
            requests,
        })
    }

    /// Counts a lookup.
    pub fn on_lookup(&self) {
        self.lookups.inc();
    }

    /// Records the latency of a completed request, in seconds.
    pub fn on_response(&self, rank: Rank, seconds: f64) {
        self.latency[rank.index()].observe(seconds);
    }

    /// Counts a refused request.
    pub fn on_refusal(&self, reason: Reason) {
        self.refused.with_label_values(&[reason.to_string().as_str()]).inc();
    }

    /// Counts a received datagram and its size in bytes, also if it is rejected.
    pub fn on_datagram_received(&self, bytes: usize) {
        self.datagrams_received.inc();
        self.bytes_received.inc_by(bytes as u64);
    }

    /// Counts a sent datagram and its size in bytes.
    pub fn on_datagram_sent(&self, bytes: usize) {
        self.datagrams_sent.inc();
        self.bytes_sent.inc_by(bytes as u64);
    }

    /// Counts the bytes of frames received and sent over TCP.
    pub fn on_frame(&self, received: usize, sent: usize) {
        self.bytes_received.inc_by(received as u64);
        self.bytes_sent.inc_by(sent as u64);
    }

    /// Counts a message of another daemon that was rejected.
    pub fn on_message_refused(&self, reason: OpenError) {
        self.messages_refused.with_label_values(&[reason.to_string().as_str()]).inc();
    }

    /// Sets the number of requests that wait for their next step.
    pub fn set_waiting_requests(&self, requests: usize) {
        self.requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail, and the gathered metric families are valid.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
