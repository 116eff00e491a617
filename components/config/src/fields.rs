use std::fmt;

/// Allowed values of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Allowed {
    /// One or more letters, digits, hyphens and dots.
    Name,
    /// An IP address and a port.
    Address,
    /// Path of a PEM file; also null.
    PemFile,
    /// 64 hexadecimal digits.
    HexDigits,
    /// One of these words.
    Words(&'static [&'static str]),
    /// A whole number from the first to the second value, inclusive.
    Range(u64, u64),
}

/// A field of the settings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Field {
    /// Path of the field, with its parts joined by dots.
    pub path: &'static str,
    /// Unit or kind of the value.
    pub unit: &'static str,
    /// Default value, `none` for an optional field, or `required`.
    pub default: &'static str,
    /// Allowed values.
    pub allowed: Allowed,
    /// Description of the field for operators.
    pub meaning: &'static str,
}

impl Allowed {
    /// Returns whether a value is allowed in the field.
    pub(crate) fn permits(self, value: &serde_json::Value) -> bool {
        let text = value.as_str();
        match self {
            Self::Name => text.is_some_and(is_name),
            Self::Address => text.is_some_and(|t| t.parse::<std::net::SocketAddr>().is_ok()),
            Self::PemFile => text.is_some_and(|t| !t.is_empty()) || value.is_null(),
            Self::HexDigits => text.is_some_and(|t| t.parse::<utils::Digest>().is_ok()),
            Self::Words(words) => text.is_some_and(|t| words.contains(&t)),
            Self::Range(min, max) => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
        }
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    !text.is_empty() && text.chars().all(allowed)
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => f.write_str("letters, digits, - and ."),
            Self::Address => f.write_str("an IP address and a port"),
            Self::PemFile => f.write_str("path of a PEM file"),
            Self::HexDigits => f.write_str("64 hexadecimal digits"),
            Self::Words(words) => f.write_str(&words.join(" or ")),
            Self::Range(min, max) => write!(f, "{min} to {max}"),
        }
    }
}

const fn field(
    path: &'static str,
    unit: &'static str,
    default: &'static str,
    allowed: Allowed,
    meaning: &'static str,
) -> Field {
    Field {
        path,
        unit,
        default,
        allowed,
        meaning,
    }
}

/// All fields, in the order of the file.
pub(crate) const FIELDS: &[Field] = &[
    field(
        "host.id",
        "name",
        "required",
        Allowed::Name,
        "Name of the host, unique over all regions.",
    ),
    field(
        "host.region",
        "name",
        "required",
        Allowed::Name,
        "Region of the host.",
    ),
    field(
        "host.failure_domain",
        "name",
        "required",
        Allowed::Name,
        "Failure domain inside the region.",
    ),
    field(
        "listen.callers",
        "ip:port",
        "required",
        Allowed::Address,
        "Address for callers, over TCP.",
    ),
    field(
        "listen.operators",
        "ip:port",
        "required",
        Allowed::Address,
        "Address for operators, over TCP.",
    ),
    field(
        "listen.peers",
        "ip:port",
        "required",
        Allowed::Address,
        "Address for the other entry hosts, over UDP.",
    ),
    field(
        "platform.address",
        "ip:port",
        "required",
        Allowed::Address,
        "Address of the table service, the object store and the host list.",
    ),
    field(
        "platform.list_interval_ms",
        "ms",
        "1000",
        Allowed::Range(100, 60_000),
        "Interval between reads of the host list.",
    ),
    field(
        "platform.head_interval_ms",
        "ms",
        "500",
        Allowed::Range(100, 60_000),
        "Interval between reads of the head of the release notes.",
    ),
    field(
        "platform.timeout_ms",
        "ms",
        "2000",
        Allowed::Range(50, 60_000),
        "Maximum wait for an answer of the platform.",
    ),
    field(
        "peers.authority",
        "path",
        "none",
        Allowed::PemFile,
        "Certificate of the authority that signs all hosts.",
    ),
    field(
        "peers.certificate",
        "path",
        "none",
        Allowed::PemFile,
        "Certificate of this host.",
    ),
    field(
        "peers.key",
        "path",
        "none",
        Allowed::PemFile,
        "Private key of this host.",
    ),
    field(
        "tls.certificate",
        "path",
        "none",
        Allowed::PemFile,
        "Certificate chain for callers.",
    ),
    field(
        "tls.key",
        "path",
        "none",
        Allowed::PemFile,
        "Private key for callers.",
    ),
    field(
        "secrets.resume",
        "hex",
        "required",
        Allowed::HexDigits,
        "Key that signs resume tokens; the same on all hosts.",
    ),
    field(
        "secrets.pieces",
        "hex",
        "required",
        Allowed::HexDigits,
        "Key that the names of cache pieces are derived from; the same on all hosts.",
    ),
    field(
        "threads.traffic",
        "threads",
        "2",
        Allowed::Range(1, 64),
        "Threads that serve callers.",
    ),
    field(
        "limits.body_bytes",
        "bytes",
        "4194304",
        Allowed::Range(1_024, 1_073_741_824),
        "Maximum size of a request body.",
    ),
    field(
        "limits.head_bytes",
        "bytes",
        "16384",
        Allowed::Range(8_192, 1_048_576),
        "Maximum size of a request head.",
    ),
    field(
        "limits.headers",
        "headers",
        "64",
        Allowed::Range(16, 1_000),
        "Maximum number of headers in a request.",
    ),
    field(
        "limits.prompt_tokens",
        "tokens",
        "262144",
        Allowed::Range(1, 16_777_216),
        "Maximum length of a prompt.",
    ),
    field(
        "limits.open_streams",
        "streams",
        "10000",
        Allowed::Range(1, 1_000_000),
        "Maximum number of concurrent streams on the host.",
    ),
    field(
        "limits.memory_mb",
        "MiB",
        "256",
        Allowed::Range(64, 1_048_576),
        "Memory of the machine, from which the memory for callers and targets is derived.",
    ),
    field(
        "limits.connections",
        "connections",
        "4000",
        Allowed::Range(64, 1_000_000),
        "Maximum number of open connections of callers; a new one closes those idle for longest.",
    ),
    field(
        "timeouts.header_ms",
        "ms",
        "10000",
        Allowed::Range(100, 600_000),
        "Maximum time for a caller to send the head of a request.",
    ),
    field(
        "timeouts.body_ms",
        "ms",
        "30000",
        Allowed::Range(100, 600_000),
        "Maximum time for a caller to send the body of a request.",
    ),
    field(
        "timeouts.first_event_ms",
        "ms",
        "10000",
        Allowed::Range(100, 600_000),
        "Maximum time until the first event of a target's answer.",
    ),
    field(
        "timeouts.progress_ms",
        "ms",
        "2000",
        Allowed::Range(50, 600_000),
        "Maximum time between two events of a target's answer.",
    ),
    field(
        "timeouts.drain_notice_ms",
        "ms",
        "3000",
        Allowed::Range(0, 600_000),
        "Time from a stop signal until the host stops accepting requests.",
    ),
    field(
        "log.format",
        "word",
        "text",
        Allowed::Words(&["text", "json"]),
        "Format of log lines.",
    ),
];

/// Returns all fields with their units, defaults, allowed values and meanings, as a Markdown table.
///
/// ```
/// assert!(config::explain().contains("| `threads.traffic` |"));
/// ```
pub fn explain() -> String {
    let mut text =
        String::from("| Field | Unit | Default | Allowed | Meaning |\n| --- | --- | --- | --- | --- |\n");
    for f in FIELDS {
        let row = format!(
            "| `{}` | {} | {} | {} | {} |\n",
            f.path, f.unit, f.default, f.allowed, f.meaning
        );
        text.push_str(&row);
    }
    text
}
