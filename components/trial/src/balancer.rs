use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use error_stack::Report;
use http_io::{Client, ClientConfig, Executor, empty_body};
use hyper::Request;
use loadgen::Entry;

use crate::TrialError;

/// Time between two questions whether a host is ready.
const INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for the hosts at the start.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Asks entry hosts whether they are ready, as the platform's balancer does.
pub(crate) struct Balancer {
    /// Sends the questions.
    client: Client,
    /// Hosts with their operators' addresses.
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

    /// Waits until every host is ready.
    pub(crate) async fn wait(&self) -> Result<(), Report<TrialError>> {
        let began = Instant::now();
        while began.elapsed() < READY_LIMIT {
            self.ask_all().await;
            if self
                .hosts
                .iter()
                .all(|(entry, _)| entry.ready.load(Ordering::Relaxed))
            {
                return Ok(());
            }
            smol::Timer::after(INTERVAL).await;
        }
        Err(Report::new(TrialError::NotReady))
    }

    /// Asks again and again.
    pub(crate) async fn watch(&self) {
        loop {
            self.ask_all().await;
            smol::Timer::after(INTERVAL).await;
        }
    }

    async fn ask_all(&self) {
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
