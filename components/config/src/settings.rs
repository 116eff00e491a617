use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use utils::{FailureDomainId, HostId, RegionId};

use crate::ConfigError;
use crate::check::{check, syntax};

/// All settings of an entry host.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the host is and where it stands.
    pub host: HostSettings,
    /// Addresses that the host listens on.
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Keys for the traffic between entry hosts.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Keys for the traffic with callers; plain HTTP without them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
    /// Secrets that all entry hosts of a deployment share.
    pub secrets: SecretSettings,
    /// Threads.
    #[serde(default)]
    pub threads: ThreadSettings,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Longest waits.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who the host is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name, unique over all regions.
    pub id: HostId,
    /// Region.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
}

/// Addresses that the host listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers, over TCP.
    pub callers: SocketAddr,
    /// For operators, over TCP.
    pub operators: SocketAddr,
    /// For the other entry hosts, over UDP.
    pub peers: SocketAddr,
}

/// Where the platform is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service, the object store and the host list.
    pub address: SocketAddr,
    /// Time between two reads of the host list, in milliseconds.
    #[serde(default = "default_list_ms")]
    pub list_interval_ms: u64,
    /// Time between two reads of the head of the release notes, in milliseconds.
    #[serde(default = "default_head_ms")]
    pub head_interval_ms: u64,
    /// Longest wait for an answer, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Keys for the traffic between entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Certificate of the authority that signs all hosts, PEM.
    pub authority: Option<PathBuf>,
    /// Certificate of this host, PEM.
    pub certificate: Option<PathBuf>,
    /// Private key of this host, PEM.
    pub key: Option<PathBuf>,
}

/// Keys for the traffic with callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain of the host, PEM.
    pub certificate: PathBuf,
    /// Private key of the host, PEM.
    pub key: PathBuf,
}

/// Secrets that all entry hosts of a deployment share, as 64 hexadecimal digits each.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// Seals resume tokens.
    pub resume: utils::Digest,
    /// Names cache pieces and fingerprints of requests.
    pub pieces: utils::Digest,
}

/// Threads.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ThreadSettings {
    /// Threads that serve callers, 1 to 64.
    pub traffic: usize,
}

/// Limits on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Most headers.
    pub headers: usize,
    /// Longest prompt, in tokens.
    pub prompt_tokens: u32,
    /// Most streams open at once on the host.
    pub open_streams: usize,
}

/// Longest waits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeoutSettings {
    /// For a caller to send the head of a request, in milliseconds.
    pub header_ms: u64,
    /// For a caller to send the body of a request, in milliseconds.
    pub body_ms: u64,
    /// For the first event of a target's answer, in milliseconds.
    pub first_event_ms: u64,
    /// Between two events of a target's answer, in milliseconds.
    pub progress_ms: u64,
    /// Between the start of a drain and the end of accepting, in milliseconds.
    pub drain_notice_ms: u64,
}

/// How log lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For a terminal.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Logs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// How lines look.
    pub format: LogFormat,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// [`ConfigError`] names the file, and line and field where there is one.
    pub fn load(path: &Path) -> Result<Self, Report<ConfigError>> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).change_context(ConfigError::Unreadable { file: file.clone() })?;
        Self::parse(&text, &file)
    }

    /// Reads settings from text; `file` is used in errors.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn parse(text: &str, file: &str) -> Result<Self, Report<ConfigError>> {
        check(text, file)?;
        serde_saphyr::from_str(text).map_err(|e| syntax(file, &e))
    }
}

impl PlatformSettings {
    /// Settings with defaults for a platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            list_interval_ms: default_list_ms(),
            head_interval_ms: default_head_ms(),
            timeout_ms: default_platform_timeout_ms(),
        }
    }

    /// Longest wait for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl Default for ThreadSettings {
    fn default() -> Self {
        Self { traffic: 2 }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            head_bytes: 16 << 10,
            headers: 64,
            prompt_tokens: 256 << 10,
            open_streams: 10_000,
        }
    }
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            header_ms: 10_000,
            body_ms: 30_000,
            first_event_ms: 10_000,
            progress_ms: 2_000,
            drain_notice_ms: 3_000,
        }
    }
}

fn default_list_ms() -> u64 {
    1_000
}

fn default_head_ms() -> u64 {
    500
}

fn default_platform_timeout_ms() -> u64 {
    2_000
}
