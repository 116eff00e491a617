use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use utils::HostId;

use crate::PeerError;

/// File mode of written files: readable and writable by the owner only.
const OWNER_ONLY: u32 = 0o600;

/// Certificate and private key of a host, in PEM format.
#[derive(Clone)]
pub struct HostKeys {
    /// Name of the host.
    pub host: HostId,
    /// Certificate signed by the authority, in PEM format.
    pub certificate: String,
    /// Private key, in PEM format.
    pub key: String,
}

/// Generates an authority and the keys of hosts that it signs. Returns the authority's certificate and the
/// keys; the authority's private key is discarded.
///
/// # Errors
/// [`PeerError::KeysNotWritten`] if a name is not valid in a certificate or a key can not be generated.
///
/// ```
/// let (authority, keys) = peers::generate_keys(&["entry-1".into()])?;
/// assert!(authority.starts_with("-----BEGIN CERTIFICATE-----"));
/// assert_eq!(keys.len(), 1);
/// # Ok::<(), error_stack::Report<peers::PeerError>>(())
/// ```
pub fn generate_keys(hosts: &[HostId]) -> Result<(String, Vec<HostKeys>), Report<PeerError>> {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "laburnumtally peers");
    let key = KeyPair::generate().change_context(PeerError::KeysNotWritten)?;
    let authority = params
        .self_signed(&key)
        .change_context(PeerError::KeysNotWritten)?;
    let issuer = Issuer::new(params, key);
    let mut keys = Vec::with_capacity(hosts.len());
    for host in hosts {
        keys.push(host_keys(host, &issuer)?);
    }
    Ok((authority.pem(), keys))
}

/// Generates an authority and the keys of hosts, and writes `authority.pem`, `HOST.pem` and `HOST.key` to
/// `dir`.
///
/// # Errors
/// [`PeerError::KeysNotWritten`] if the keys can not be generated or a file can not be written.
pub fn write_keys(dir: &Path, hosts: &[HostId]) -> Result<(), Report<PeerError>> {
    let (authority, keys) = generate_keys(hosts)?;
    std::fs::create_dir_all(dir).change_context(PeerError::KeysNotWritten)?;
    write(&dir.join("authority.pem"), &authority)?;
    for host in keys {
        write(&dir.join(format!("{}.pem", host.host)), &host.certificate)?;
        write(&dir.join(format!("{}.key", host.host)), &host.key)?;
    }
    Ok(())
}

/// Writes a file and creates it with [`OWNER_ONLY`] permissions.
fn write(path: &Path, text: &str) -> Result<(), Report<PeerError>> {
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(OWNER_ONLY)
        .open(path)
        .change_context(PeerError::KeysNotWritten)?;
    file.write_all(text.as_bytes())
        .change_context(PeerError::KeysNotWritten)
}

fn host_keys(host: &HostId, issuer: &Issuer<'_, KeyPair>) -> Result<HostKeys, Report<PeerError>> {
    let mut params =
        CertificateParams::new(vec![host.to_string()]).change_context(PeerError::KeysNotWritten)?;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().change_context(PeerError::KeysNotWritten)?;
    let certificate = params
        .signed_by(&key, issuer)
        .change_context(PeerError::KeysNotWritten)?;
    Ok(HostKeys {
        host: host.clone(),
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}
