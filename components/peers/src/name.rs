use error_stack::{Report, ResultExt};
use quinn::Connection;
use rustls::client::verify_server_name;
use rustls::server::ParsedCertificate;
use rustls_pki_types::{CertificateDer, ServerName};
use utils::HostId;

use crate::PeerError;

/// Maximum length of a host's name, in bytes.
const MAX_NAME_BYTES: usize = 255;

/// Sends the name of this host to the other end, which checks it against the certificate.
pub(crate) async fn send_name(connection: &Connection, name: &str) -> Result<(), Report<PeerError>> {
    let mut stream = connection
        .open_uni()
        .await
        .change_context(PeerError::NotConnected)?;
    stream
        .write_all(name.as_bytes())
        .await
        .change_context(PeerError::NotConnected)?;
    stream.finish().change_context(PeerError::NotConnected)
}

/// Receives the name of the host that opened the connection and checks it against the certificate.
pub(crate) async fn receive_name(connection: &Connection) -> Result<HostId, Report<PeerError>> {
    let mut stream = connection
        .accept_uni()
        .await
        .change_context(PeerError::NotConnected)?;
    let bytes = stream
        .read_to_end(MAX_NAME_BYTES)
        .await
        .change_context(PeerError::InvalidCertificate)?;
    let name = String::from_utf8(bytes).change_context(PeerError::InvalidCertificate)?;
    check_name(connection, &name)?;
    Ok(name.into())
}

fn check_name(connection: &Connection, name: &str) -> Result<(), Report<PeerError>> {
    let identity = connection.peer_identity().ok_or(PeerError::InvalidCertificate)?;
    let chain = identity
        .downcast::<Vec<CertificateDer<'static>>>()
        .map_err(|_| PeerError::InvalidCertificate)?;
    let first = chain.first().ok_or(PeerError::InvalidCertificate)?;
    let certificate = ParsedCertificate::try_from(first).change_context(PeerError::InvalidCertificate)?;
    let name = ServerName::try_from(name).change_context(PeerError::InvalidCertificate)?;
    verify_server_name(&certificate, &name).change_context(PeerError::InvalidCertificate)
}
