//! Callers that connect over TLS.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{loopback, settings};
use config::TlsSettings;
use entry::Daemon;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use futures_rustls::TlsConnector;
use rustls::{ClientConfig, RootCertStore};

fn connector(certificate: &rcgen::Certificate) -> TlsConnector {
    let mut roots = RootCertStore::empty();
    roots.add(certificate.der().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let cfg = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(Arc::new(cfg))
}

#[test]
fn a_caller_is_served_over_tls_and_only_over_tls() {
    let dir = tempfile::tempdir().unwrap();
    let made = rcgen::generate_simple_self_signed(["entry.test".to_owned()]).unwrap();
    let (certificate, key) = (dir.path().join("cert.pem"), dir.path().join("key.pem"));
    std::fs::write(&certificate, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    let mut cfg = settings(0, loopback(), Duration::from_secs(1));
    cfg.tls = Some(TlsSettings { certificate, key });
    let host = Daemon::start(cfg, slog::Logger::root(slog::Discard, slog::o!())).unwrap();
    let addr = host.addresses().callers;
    let request = b"GET /v1/requests/0 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    smol::block_on(async {
        let tcp = smol::net::TcpStream::connect(addr).await.unwrap();
        let name = rustls_pki_types::ServerName::try_from("entry.test").unwrap();
        let mut stream = connector(&made.cert).connect(name, tcp).await.unwrap();
        stream.write_all(request).await.unwrap();
        stream.flush().await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        assert!(
            answer.starts_with(b"HTTP/1.1 401"),
            "{}",
            String::from_utf8_lossy(&answer)
        );

        let mut plain = smol::net::TcpStream::connect(addr).await.unwrap();
        plain.write_all(request).await.unwrap();
        let mut answer = Vec::new();
        let _ = plain.read_to_end(&mut answer).await;
        assert!(!answer.starts_with(b"HTTP/1.1"));
    });
    host.drain().unwrap();
}
