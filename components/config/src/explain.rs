/// A field of the settings, for the operator.
struct Field {
    /// Path of the field, parts joined by dots.
    path: &'static str,
    /// Unit, or the kind of value.
    unit: &'static str,
    /// Default, or `required`.
    default: &'static str,
    /// What may stand there.
    allowed: &'static str,
    /// What the field does.
    meaning: &'static str,
}

const fn field(
    path: &'static str,
    unit: &'static str,
    default: &'static str,
    allowed: &'static str,
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
const FIELDS: &[Field] = &[
    field(
        "host.id",
        "name",
        "required",
        "letters, digits, - and .",
        "Name of the host, unique over all regions.",
    ),
    field(
        "host.region",
        "name",
        "required",
        "letters, digits, - and .",
        "Region that the host stands in.",
    ),
    field(
        "host.failure_domain",
        "name",
        "required",
        "letters, digits, - and .",
        "Failure domain inside the region.",
    ),
    field(
        "listen.callers",
        "ip:port",
        "required",
        "any",
        "Address for callers, over TCP.",
    ),
    field(
        "listen.operators",
        "ip:port",
        "required",
        "any",
        "Address for operators, over TCP.",
    ),
    field(
        "listen.peers",
        "ip:port",
        "required",
        "any",
        "Address for the other entry hosts, over UDP.",
    ),
    field(
        "platform.address",
        "ip:port",
        "required",
        "any",
        "Table service, object store and host list.",
    ),
    field(
        "platform.list_interval_ms",
        "ms",
        "1000",
        "100 to 60000",
        "Time between two reads of the host list.",
    ),
    field(
        "platform.head_interval_ms",
        "ms",
        "1000",
        "100 to 60000",
        "Time between two reads of the notes' head.",
    ),
    field(
        "platform.timeout_ms",
        "ms",
        "2000",
        "50 to 60000",
        "Longest wait for the platform's answer.",
    ),
    field(
        "peers.authority",
        "path",
        "none",
        "a PEM file",
        "Certificate of the authority that signs all hosts.",
    ),
    field(
        "peers.certificate",
        "path",
        "none",
        "a PEM file",
        "Certificate of this host.",
    ),
    field(
        "peers.key",
        "path",
        "none",
        "a PEM file",
        "Private key of this host.",
    ),
    field(
        "secrets.resume",
        "hex",
        "required",
        "64 digits",
        "Seals resume tokens; the same on all hosts.",
    ),
    field(
        "secrets.pieces",
        "hex",
        "required",
        "64 digits",
        "Names cache pieces; the same on all hosts.",
    ),
    field(
        "threads.traffic",
        "threads",
        "2",
        "1 to 64",
        "Threads that serve callers.",
    ),
    field(
        "limits.body_bytes",
        "bytes",
        "4194304",
        "1024 to 1073741824",
        "Largest request body.",
    ),
    field(
        "limits.head_bytes",
        "bytes",
        "16384",
        "8192 to 1048576",
        "Largest request head.",
    ),
    field(
        "limits.headers",
        "headers",
        "64",
        "16 to 1000",
        "Most headers in a request.",
    ),
    field(
        "limits.prompt_tokens",
        "tokens",
        "262144",
        "1 to 16777216",
        "Longest prompt.",
    ),
    field(
        "limits.open_streams",
        "streams",
        "10000",
        "1 to 1000000",
        "Most streams open at once on the host.",
    ),
    field(
        "timeouts.header_ms",
        "ms",
        "10000",
        "100 to 600000",
        "For a caller to send the head of a request.",
    ),
    field(
        "timeouts.body_ms",
        "ms",
        "30000",
        "100 to 600000",
        "For a caller to send the body of a request.",
    ),
    field(
        "timeouts.first_event_ms",
        "ms",
        "10000",
        "100 to 600000",
        "For the first event of a target's answer.",
    ),
    field(
        "timeouts.progress_ms",
        "ms",
        "2000",
        "50 to 600000",
        "Between two events of a target's answer.",
    ),
    field(
        "timeouts.drain_notice_ms",
        "ms",
        "3000",
        "0 to 600000",
        "From a stop signal to the end of accepting.",
    ),
    field(
        "log.format",
        "word",
        "text",
        "text or json",
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
        text.push_str(&format!(
            "| `{}` | {} | {} | {} | {} |\n",
            f.path, f.unit, f.default, f.allowed, f.meaning
        ));
    }
    text
}
