use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use config::PeerSettings;
use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::PeerError;

/// Time without traffic after which a connection is closed; heartbeats detect a failed connection much
/// earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the send and the receive buffer for datagrams, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of concurrent streams of each kind that the other end may open.
const MAX_STREAMS: u32 = 16;
/// ALPN protocol that both ends must support.
const PROTOCOL: &[u8] = b"laburnumtally-peers/1";

/// TLS configuration for both directions; each end presents a certificate signed by the shared authority.
#[derive(Clone)]
pub struct PeerTls {
    /// Configuration for connections that other hosts open.
    pub(crate) server: ServerConfig,
    /// Configuration for connections that this host opens.
    pub(crate) client: ClientConfig,
}

impl PeerTls {
    /// Loads the certificates and the key from the files in the settings.
    ///
    /// # Errors
    /// [`PeerError::NoKeys`] if a path is not set, [`PeerError::UnreadableKeys`] if a file can not be read or
    /// used.
    pub fn load(settings: &PeerSettings) -> Result<Self, Report<PeerError>> {
        let (Some(authority), Some(certificate), Some(key)) =
            (&settings.authority, &settings.certificate, &settings.key)
        else {
            return Err(Report::new(PeerError::NoKeys));
        };
        Self::from_pem(&read(authority)?, &read(certificate)?, &read(key)?)
    }

    /// Builds the configuration from the authority's certificate, this host's certificate and its private
    /// key, all in PEM format.
    ///
    /// # Errors
    /// [`PeerError::UnreadableKeys`] if one of them can not be used.
    ///
    /// ```
    /// let (authority, keys) = peers::generate_keys(&["entry-1".into()])?;
    /// peers::PeerTls::from_pem(&authority, &keys[0].certificate, &keys[0].key)?;
    /// # Ok::<(), error_stack::Report<peers::PeerError>>(())
    /// ```
    pub fn from_pem(authority: &str, certificate: &str, key: &str) -> Result<Self, Report<PeerError>> {
        let roots = Arc::new(roots(authority)?);
        let chain = certificates(certificate)?;
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).change_context(PeerError::UnreadableKeys)?;
        let transport = Arc::new(transport());
        let server = server(&roots, chain.clone(), key.clone_key(), &transport)?;
        let client = client(&roots, chain, key, &transport)?;
        Ok(Self { server, client })
    }
}

fn server(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<TransportConfig>,
) -> Result<ServerConfig, Report<PeerError>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .change_context(PeerError::UnreadableKeys)?;
    let mut cfg = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(PeerError::UnreadableKeys)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .change_context(PeerError::UnreadableKeys)?;
    cfg.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicServerConfig::try_from(cfg).change_context(PeerError::UnreadableKeys)?;
    let mut server = ServerConfig::with_crypto(Arc::new(quic));
    server.transport_config(transport.clone());
    Ok(server)
}

fn client(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<TransportConfig>,
) -> Result<ClientConfig, Report<PeerError>> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut cfg = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(PeerError::UnreadableKeys)?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(chain, key)
        .change_context(PeerError::UnreadableKeys)?;
    cfg.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicClientConfig::try_from(cfg).change_context(PeerError::UnreadableKeys)?;
    let mut client = ClientConfig::new(Arc::new(quic));
    client.transport_config(transport.clone());
    Ok(client)
}

fn transport() -> TransportConfig {
    let mut cfg = TransportConfig::default();
    cfg.max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    cfg.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    cfg.datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    cfg.max_concurrent_bidi_streams(MAX_STREAMS.into());
    cfg.max_concurrent_uni_streams(MAX_STREAMS.into());
    cfg.mtu_discovery_config(None);
    cfg
}

fn read(path: &Path) -> Result<String, Report<PeerError>> {
    std::fs::read_to_string(path).change_context(PeerError::UnreadableKeys)
}

fn certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, Report<PeerError>> {
    CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .change_context(PeerError::UnreadableKeys)
}

fn roots(pem: &str) -> Result<RootCertStore, Report<PeerError>> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(pem)? {
        roots.add(certificate).change_context(PeerError::UnreadableKeys)?;
    }
    Ok(roots)
}
