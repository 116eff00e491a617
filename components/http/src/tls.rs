use std::path::Path;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use futures_rustls::TlsAcceptor;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

/// Reason why a certificate or key can not be used.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TlsError {
    /// The file can not be read or has no PEM object of the required kind.
    #[error("can not read a {what} from {file}")]
    Unreadable {
        /// Required kind: `certificate` or `private key`.
        what: &'static str,
        /// Path of the file.
        file: String,
    },
    /// The certificate and the private key do not match or are not supported.
    #[error("the certificate and the private key can not be used together")]
    Mismatch,
}

/// Loads the certificates from a PEM file, in the file's order.
///
/// # Errors
/// [`TlsError::Unreadable`] if the file can not be read or has none.
pub fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Report<TlsError>> {
    let unreadable = || TlsError::Unreadable {
        what: "certificate",
        file: path.display().to_string(),
    };
    let read = CertificateDer::pem_file_iter(path).change_context_lazy(unreadable)?;
    let certificates = read
        .collect::<Result<Vec<_>, _>>()
        .change_context_lazy(unreadable)?;
    if certificates.is_empty() {
        return Err(Report::new(unreadable()));
    }
    Ok(certificates)
}

/// Loads a private key from a PEM file.
///
/// # Errors
/// [`TlsError::Unreadable`] if the file can not be read or has none.
pub fn load_key(path: &Path) -> Result<PrivateKeyDer<'static>, Report<TlsError>> {
    let unreadable = || TlsError::Unreadable {
        what: "private key",
        file: path.display().to_string(),
    };
    PrivateKeyDer::from_pem_file(path).change_context_lazy(unreadable)
}

/// Builds a TLS acceptor from a PEM file with certificates and a PEM file with a private key.
///
/// # Errors
/// [`TlsError`] if the files can not be used.
pub fn load_acceptor(certificate: &Path, key: &Path) -> Result<TlsAcceptor, Report<TlsError>> {
    let chain = load_certificates(certificate)?;
    let key = load_key(key)?;
    let builder = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .change_context(TlsError::Mismatch)?;
    let cfg = builder
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .change_context(TlsError::Mismatch)?;
    Ok(TlsAcceptor::from(Arc::new(cfg)))
}
