use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use error_stack::Report;
use http_io::{Client, ClientConfig, Executor, empty_body};
use hyper::Request;
use loadgen::Entry;

use crate::TrialError;

/// Interval between two readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for all hosts to become ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Polls the readiness of entry hosts, like the load balancer of the platform.
pub(crate) struct Balancer {
    /// Client for the readiness checks.
    client: Client,
    /// Entry hosts with the addresses of their listeners for operators.
    hosts: Vec<(Entry, SocketAddr)>,
}

impl Balancer {
    pub(crate) fn new(ex: &Executor, hosts: Vec<(Entry, SocketAddr)>) -> Self {
        let cfg = ClientConfig {
            response_timeout: Duration::from_millis(300),
            ..ClientConfig::default()
        };
        Self {
            client: Client::new(ex.clone(), cfg),
            hosts,
        }
    }

    /// Polls until every host is ready, at most for [`READY_TIMEOUT`].
    pub(crate) async fn wait_until_ready(&self) -> Result<(), Report<TrialError>> {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_TIMEOUT {
            self.update_readiness().await;
            if self
                .hosts
                .iter()
                .all(|(entry, _)| entry.ready.load(Ordering::Relaxed))
            {
                return Ok(());
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Err(Report::new(TrialError::NotReady))
    }

    /// Polls readiness without end.
    pub(crate) async fn poll(&self) {
        loop {
            self.update_readiness().await;
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Checks the readiness of each host and stores the result in its [`Entry`].
    async fn update_readiness(&self) {
        for (entry, operators) in &self.hosts {
            entry
                .ready
                .store(self.is_ready(*operators).await, Ordering::Relaxed);
        }
    }

    async fn is_ready(&self, operators: SocketAddr) -> bool {
        let req = Request::builder()
            .uri("/readyz")
            .header("host", operators.to_string())
            .body(empty_body());
        let Ok(req) = req else {
            return false;
        };
        let answer = self.client.send(operators, req).await;
        answer.is_ok_and(|res| res.status().is_success())
    }
}
