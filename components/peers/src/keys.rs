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

/// Permissions of written files.
const OWNER_ONLY: u32 = 0o600;

/// Certificate and private key of one host, PEM.
#[derive(Clone)]
pub struct HostKeys {
    /// The host.
    pub host: HostId,
    /// Certificate signed by the authority.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

/// Makes an authority and keys for hosts. Returns the authority's certificate; its private key is not kept.
///
/// # Errors
/// [`PeerError::KeysNotWritten`] if a name can not stand in a certificate.
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

/// Makes an authority and keys for hosts, and writes `authority.pem`, `HOST.pem` and `HOST.key` to `dir`.
///
/// # Errors
/// [`PeerError::KeysNotWritten`] if a file can not be written.
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

/// Writes a file that only its owner may read.
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
