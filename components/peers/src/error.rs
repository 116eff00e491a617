/// Reason why traffic with another entry host failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// The settings do not name the authority, certificate and key for peers.
    #[error("the settings name no authority, certificate and key for peers")]
    NoKeys,
    /// A key or certificate can not be read or used.
    #[error("a key or certificate for peers can not be read")]
    UnreadableKeys,
    /// Keys can not be generated or written.
    #[error("keys can not be made or written")]
    KeysNotWritten,
    /// The address for peers can not be bound.
    #[error("the address for peers can not be used")]
    Bind,
    /// There is no connection to the host, or the attempt to open one failed.
    #[error("no connection to the host could be made")]
    NotConnected,
    /// The other end's certificate is not valid for the name that it states.
    #[error("the other end has no valid key for its name")]
    InvalidCertificate,
    /// The connection failed, or a message on it could not be processed.
    #[error("the connection broke")]
    ConnectionLost,
    /// The other end did not answer in time.
    #[error("the other end did not answer in time")]
    TimedOut,
}
