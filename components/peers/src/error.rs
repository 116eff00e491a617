/// Why traffic with another entry host failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum PeerError {
    /// The settings name no keys.
    #[error("the settings name no authority, certificate and key for peers")]
    NoKeys,
    /// A key or certificate can not be read.
    #[error("a key or certificate for peers can not be read")]
    UnreadableKeys,
    /// Keys can not be made or written.
    #[error("keys can not be made or written")]
    KeysNotWritten,
    /// The address for peers can not be used.
    #[error("the address for peers can not be used")]
    Bind,
    /// No connection could be made.
    #[error("no connection to the host could be made")]
    NotConnected,
    /// The other end has no valid key for its name.
    #[error("the other end has no valid key for its name")]
    InvalidCertificate,
    /// The connection broke.
    #[error("the connection broke")]
    ConnectionLost,
    /// The other end did not answer in time.
    #[error("the other end did not answer in time")]
    TimedOut,
}
