//! The daemon's Prometheus metrics and the HTTP server that exposes them.

use std::net::SocketAddr;
use std::sync::Arc;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use sedgepath_core::event::Action;
use sedgepath_core::node::Node;

/// The upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// The counters, gauges and histograms of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    outcomes: IntCounterVec,
    latency: HistogramVec,
    dropped_total: IntCounterVec,
    datagrams: IntCounterVec,
    datagram_bytes: IntCounterVec,
    actions: IntCounterVec,
    revision: IntGauge,
    members: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics with a value of zero.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let latency = HistogramOpts::new(
            "sedgepath_request_seconds",
            "Time from a request's arrival to the end of its answer.",
        )
        .buckets(LATENCY_BUCKETS_S.to_vec());
        let metrics = Self {
            registry: Registry::new(),
            outcomes: counter("sedgepath_requests_total", "Requests by outcome.", &["outcome"])?,
            latency: HistogramVec::new(latency, &["outcome"])?,
            dropped_total: counter(
                "sedgepath_dropped_total",
                "Datagrams and frames that were dropped.",
                &["what", "reason"],
            )?,
            datagrams: counter("sedgepath_datagrams_total", "Datagrams.", &["direction"])?,
            datagram_bytes: counter(
                "sedgepath_datagram_bytes_total",
                "Bytes of datagrams.",
                &["direction"],
            )?,
            actions: counter("sedgepath_actions_total", "Actions of the node.", &["action"])?,
            revision: IntGauge::new("sedgepath_revision", "Configuration revision in force.")?,
            members: IntGauge::new("sedgepath_members", "Members that serve.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let counters = [
            &self.outcomes,
            &self.dropped_total,
            &self.datagrams,
            &self.datagram_bytes,
            &self.actions,
        ];
        for counter in counters {
            self.registry.register(Box::new(counter.clone()))?;
        }
        self.registry.register(Box::new(self.latency.clone()))?;
        self.registry.register(Box::new(self.revision.clone()))?;
        self.registry.register(Box::new(self.members.clone()))
    }

    /// Records a request's outcome and its duration.
    pub fn record_request(&self, outcome: &str, seconds: f64) {
        self.outcomes.with_label_values(&[outcome]).inc();
        self.latency.with_label_values(&[outcome]).observe(seconds);
    }

    /// Counts a datagram or frame that was dropped.
    pub fn count_dropped(&self, what: &str, reason: &str) {
        self.dropped_total.with_label_values(&[what, reason]).inc();
    }

    /// Counts a sent datagram and its size in bytes.
    pub fn count_sent_datagram(&self, bytes: usize) {
        self.datagrams.with_label_values(&["out"]).inc();
        self.datagram_bytes.with_label_values(&["out"]).inc_by(bytes as u64);
    }

    /// Counts a received datagram and its size in bytes.
    pub fn count_received_datagram(&self, bytes: usize) {
        self.datagrams.with_label_values(&["in"]).inc();
        self.datagram_bytes.with_label_values(&["in"]).inc_by(bytes as u64);
    }

    /// Counts an action of the node, if it is of a kind that is counted.
    pub fn count_action(&self, action: &Action) {
        let name = match action {
            Action::CallUpstream { .. } => "call_upstream",
            Action::RejectDispatch { .. } => "refuse",
            Action::Forward { .. } => "forward",
            Action::ForwardHome { .. } => "forward_home",
            Action::Conclude { .. } => "conclude",
            Action::Table { .. } => "table",
            Action::FetchPage { .. } => "fetch",
            _ => return,
        };
        self.actions.with_label_values(&[name]).inc();
    }

    /// Updates the gauges from the node's state.
    pub fn update_gauges(&self, node: &Node) {
        self.revision.set(node.configuration().revision().cast_signed());
        let serving =
            node.membership().members().iter().filter(|(_, member)| member.accepts_work()).count();
        self.members.set((serving as u64).cast_signed());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_unwritten error={:?}", error.to_string());
        }
        text
    }
}

/// The error if the metrics server can't listen on its address.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't listen for metrics requests on {address}")]
pub struct MetricsError {
    address: SocketAddr,
    #[source]
    source: Box<dyn std::error::Error + Send + Sync>,
}

/// Starts the thread that serves the metrics at `/metrics`; it runs until the process ends.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub fn serve(address: SocketAddr, metrics: Arc<Metrics>) -> Result<(), MetricsError> {
    let server =
        tiny_http::Server::http(address).map_err(|source| MetricsError { address, source })?;
    std::thread::spawn(move || {
        for request in server.incoming_requests() {
            let response = if request.url() == "/metrics" {
                tiny_http::Response::from_data(metrics.encode_text())
            } else {
                tiny_http::Response::from_data(Vec::new()).with_status_code(404)
            };
            // The client may have disconnected.
            let _client_gone = request.respond(response);
        }
    });
    Ok(())
}
