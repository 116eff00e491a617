use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::net::TcpStream;

/// Longest time for a reachable target or host to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of an attempt to connect to a target or host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probe {
    /// The address accepts connections.
    Accepts,
    /// The machine answers, but no process listens.
    Refuses,
    /// Nothing answers in time.
    Silent,
}

/// Checks whether a target or host accepts connections.
pub(crate) async fn probe(address: SocketAddr) -> Probe {
    let connect = async {
        match TcpStream::connect(address).await {
            Ok(_) => Probe::Accepts,
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Probe::Refuses,
            Err(_) => Probe::Silent,
        }
    };
    let late = async {
        smol::Timer::after(PROBE_TIMEOUT).await;
        Probe::Silent
    };
    connect.or(late).await
}
