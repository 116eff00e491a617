use std::net::SocketAddr;

/// Errors of starting and running a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum GatewayError {
    /// The gateway can not listen on the address.
    #[error("can not listen on {0}")]
    Listen(SocketAddr),
    /// A thread could not be started.
    #[error("a thread could not be started")]
    Thread,
    /// A thread panicked.
    #[error("a thread panicked")]
    Panicked,
}
