use std::net::SocketAddr;

/// Why a gateway could not start or run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum GatewayError {
    /// An address can not be listened on.
    #[error("can not listen on {0}")]
    Listen(SocketAddr),
    /// A thread could not be started.
    #[error("a thread could not be started")]
    Thread,
    /// A thread ended by a panic.
    #[error("a thread panicked")]
    Panicked,
}
