use std::fmt;

/// What may stand in a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Allowed {
    /// Letters, digits, hyphens and dots, at least one.
    Name,
    /// An IP address and a port.
    Address,
    /// Path of a PEM file.
    PemFile,
    /// 64 hexadecimal digits.
    HexDigits,
    /// One of these words.
    Words(&'static [&'static str]),
    /// A whole number from the first to the second, both included.
    Range(u64, u64),
}

/// A field of the settings.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Field {
    /// Path of the field, parts joined by dots.
    pub path: &'static str,
    /// Unit, or the kind of value.
    pub unit: &'static str,
    /// Default, or `required`.
    pub default: &'static str,
    /// What may stand there.
    pub allowed: Allowed,
    /// What the field does.
    pub meaning: &'static str,
}

impl Allowed {
    /// Whether a value may stand in the field.
    pub(crate) fn holds(self, value: &serde_json::Value) -> bool {
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

/// Every field, in the order of the file.
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
        "Region that the host stands in.",
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
        "Table service, object store and host list.",
    ),
    field(
        "platform.list_interval_ms",
        "ms",
        "1000",
        Allowed::Range(100, 60_000),
        "Time between two reads of the host list.",
    ),
    field(
        "platform.head_interval_ms",
        "ms",
        "500",
        Allowed::Range(100, 60_000),
        "Time between two reads of the notes' head.",
    ),
    field(
        "platform.timeout_ms",
        "ms",
        "2000",
        Allowed::Range(50, 60_000),
        "Longest wait for the platform's answer.",
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
        "Seals resume tokens; the same on all hosts.",
    ),
    field(
        "secrets.pieces",
        "hex",
        "required",
        Allowed::HexDigits,
        "Names cache pieces; the same on all hosts.",
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
        "Largest request body.",
    ),
    field(
        "limits.head_bytes",
        "bytes",
        "16384",
        Allowed::Range(8_192, 1_048_576),
        "Largest request head.",
    ),
    field(
        "limits.headers",
        "headers",
        "64",
        Allowed::Range(16, 1_000),
        "Most headers in a request.",
    ),
    field(
        "limits.prompt_tokens",
        "tokens",
        "262144",
        Allowed::Range(1, 16_777_216),
        "Longest prompt.",
    ),
    field(
        "limits.open_streams",
        "streams",
        "10000",
        Allowed::Range(1, 1_000_000),
        "Most streams open at once on the host.",
    ),
    field(
        "timeouts.header_ms",
        "ms",
        "10000",
        Allowed::Range(100, 600_000),
        "For a caller to send the head of a request.",
    ),
    field(
        "timeouts.body_ms",
        "ms",
        "30000",
        Allowed::Range(100, 600_000),
        "For a caller to send the body of a request.",
    ),
    field(
        "timeouts.first_event_ms",
        "ms",
        "10000",
        Allowed::Range(100, 600_000),
        "For the first event of a target's answer.",
    ),
    field(
        "timeouts.progress_ms",
        "ms",
        "2000",
        Allowed::Range(50, 600_000),
        "Between two events of a target's answer.",
    ),
    field(
        "timeouts.drain_notice_ms",
        "ms",
        "3000",
        Allowed::Range(0, 600_000),
        "From a stop signal to the end of accepting.",
    ),
    field(
        "log.format",
        "word",
        "text",
        Allowed::Words(&["text", "json"]),
        "How log lines look.",
    ),
];

/// Every field with its unit, default and allowed values, as a Markdown table.
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
