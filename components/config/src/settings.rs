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
    /// Name and location of the host.
    pub host: HostSettings,
    /// Addresses that the host listens on.
    pub listen: ListenSettings,
    /// Address of the platform, and intervals and timeout of calls to it.
    pub platform: PlatformSettings,
    /// Certificates and key for the traffic between entry hosts.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Certificate and key for the traffic with callers; `None` for plain HTTP.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
    /// Secrets that all entry hosts of a deployment share.
    pub secrets: SecretSettings,
    /// Numbers of threads.
    #[serde(default)]
    pub threads: ThreadSettings,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Timeouts.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Name and location of the host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name, unique over all regions.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
}

/// Addresses that the host listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers, over TCP.
    pub callers: SocketAddr,
    /// Address for operators, over TCP.
    pub operators: SocketAddr,
    /// Address for the other entry hosts, over UDP.
    pub peers: SocketAddr,
}

/// Address of the platform, and intervals and timeout of calls to it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table service, the object store and the host list.
    pub address: SocketAddr,
    /// Interval between reads of the host list, in milliseconds.
    #[serde(default = "default_list_ms")]
    pub list_interval_ms: u64,
    /// Interval between reads of the head of the release notes, in milliseconds.
    #[serde(default = "default_head_ms")]
    pub head_interval_ms: u64,
    /// Maximum wait for an answer, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Certificates and key for the traffic between entry hosts.
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

/// Certificate and key for the traffic with callers.
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
    /// Key that signs resume tokens.
    pub resume: utils::Digest,
    /// Key that the names of cache pieces and the fingerprints of requests are derived from.
    pub pieces: utils::Digest,
}

/// Numbers of threads.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ThreadSettings {
    /// Number of threads that serve callers, 1 to 64.
    pub traffic: usize,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of headers in a request.
    pub headers: usize,
    /// Maximum length of a prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of concurrent streams on the host.
    pub open_streams: usize,
    /// Memory of the machine, in MiB, from which the memory for callers and targets is derived.
    pub memory_mb: usize,
    /// Maximum number of open connections of callers on the host.
    pub connections: usize,
}

/// Timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeoutSettings {
    /// Maximum time for a caller to send the head of a request, in milliseconds.
    pub header_ms: u64,
    /// Maximum time for a caller to send the body of a request, in milliseconds.
    pub body_ms: u64,
    /// Maximum time until the first event of a target's answer, in milliseconds.
    pub first_event_ms: u64,
    /// Maximum time between two events of a target's answer, in milliseconds.
    pub progress_ms: u64,
    /// Time from the start of a drain until the host stops accepting requests, in milliseconds.
    pub drain_notice_ms: u64,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text for a terminal.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Log output.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
}

impl Settings {
    /// Reads, checks and parses a settings file.
    ///
    /// # Errors
    /// [`ConfigError`] with the file, and with line and field if they are known.
    pub fn load(path: &Path) -> Result<Self, Report<ConfigError>> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).change_context(ConfigError::Unreadable { file: file.clone() })?;
        Self::parse(&text, &file)
    }

    /// Checks and parses the text of a settings file; `file` is the file name in errors.
    ///
    /// # Errors
    /// [`ConfigError`] as for [`Settings::load`], except for an unreadable file.
    pub fn parse(text: &str, file: &str) -> Result<Self, Report<ConfigError>> {
        check(text, file)?;
        serde_saphyr::from_str(text).map_err(|e| syntax(file, &e))
    }
}

impl PlatformSettings {
    /// Creates settings with defaults for a platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            list_interval_ms: default_list_ms(),
            head_interval_ms: default_head_ms(),
            timeout_ms: default_platform_timeout_ms(),
        }
    }

    /// Returns the maximum wait for an answer.
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
            memory_mb: 256,
            connections: 4_000,
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
