use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub(crate) enum OutputFormat {
    /// Text tables for a terminal.
    Table,
    /// One JSON object.
    Json,
}

/// Arguments of `try`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct TryArgs {
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Requests in the trace.
    #[arg(long, default_value_t = 300)]
    pub requests: u64,
    /// Shape of the traffic: permisos-verdes, cadwaladr or short.
    #[arg(long, default_value = "cadwaladr")]
    pub preset: String,
    /// Output format of the report.
    #[arg(long, value_enum, default_value = "table")]
    pub format: OutputFormat,
}

/// Arguments of `bench-policy`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct BenchPolicyArgs {
    /// Seed of the traces.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of a trace, in virtual minutes; the first third is warm-up and is not counted.
    #[arg(long, default_value_t = 180)]
    pub minutes: u32,
    /// Simulations that run in parallel.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
    /// Directory for the report as JSON and for plots as SVG.
    #[arg(long, value_name = "DIR")]
    pub out: Option<std::path::PathBuf>,
    /// Output format of the report.
    #[arg(long, value_enum, default_value = "table")]
    pub format: OutputFormat,
}

/// Component that a stand-in replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub(crate) enum StandInKind {
    /// Table service, host list, object store and weight store.
    Platform,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A store host for saved cache.
    Store,
}

/// Arguments of `stand-in`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct StandInArgs {
    /// Component that the stand-in replaces.
    #[arg(value_enum)]
    pub kind: StandInKind,
    /// Address to listen on.
    #[arg(long, value_name = "ADDR")]
    pub listen: SocketAddr,
    /// Settings file of the stand-in, YAML; the defaults apply without it.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}

/// Arguments of `load`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct LoadArgs {
    /// An entry host as NAME=ADDR; repeat for more.
    #[arg(long, value_name = "NAME=ADDR", required = true, value_parser = named_address)]
    pub entry: Vec<NamedAddress>,
    /// API key of a workspace as WORKSPACE=KEY; the default is `key-of-` and the name of the workspace.
    #[arg(long, value_name = "WORKSPACE=KEY", value_parser = named_text)]
    pub key: Vec<(String, String)>,
    /// Shape of the traffic: permisos-verdes, cadwaladr or short.
    #[arg(long, default_value = "cadwaladr")]
    pub preset: String,
    /// Seed of the trace.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Requests in the trace.
    #[arg(long, default_value_t = 1_000)]
    pub requests: u64,
    /// Requests per second; replaces the rate of the preset.
    #[arg(long, value_name = "PER_SECOND")]
    pub rate: Option<f64>,
    /// An engine stand-in as NAME=ADDR whose record is checked; repeat for more.
    #[arg(long, value_name = "NAME=ADDR", value_parser = named_address)]
    pub engine: Vec<NamedAddress>,
    /// A service stand-in as NAME=ADDR whose record is checked; repeat for more.
    #[arg(long, value_name = "NAME=ADDR", value_parser = named_address)]
    pub service: Vec<NamedAddress>,
    /// Also send the trace directly to the engine at ADDR, at the same time, and compare latencies.
    #[arg(long, value_name = "ADDR")]
    pub direct: Option<SocketAddr>,
    /// Ignore the times of the trace and let CALLERS callers each send one request after another.
    #[arg(long, value_name = "CALLERS", conflicts_with = "direct")]
    pub saturate: Option<usize>,
    /// Duration of a run with --saturate, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Ignore the times of the trace, send all requests at once and hold their streams open.
    #[arg(long, conflicts_with_all = ["direct", "saturate"])]
    pub hold: bool,
    /// Process whose resident memory is measured before the streams open and while they are held open.
    #[arg(long, value_name = "PID", requires = "hold")]
    pub watch_pid: Option<u32>,
    /// Output format of the report.
    #[arg(long, value_enum, default_value = "table")]
    pub format: OutputFormat,
}

/// Name and address of a host or target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NamedAddress {
    /// Name in the host list.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Error for an argument that is not of the form NAME=VALUE.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("expected NAME=VALUE")]
pub(crate) struct ParseNamedError;

fn named_text(text: &str) -> Result<(String, String), ParseNamedError> {
    let (name, value) = text.split_once('=').ok_or(ParseNamedError)?;
    Ok((name.to_owned(), value.to_owned()))
}

fn named_address(text: &str) -> Result<NamedAddress, ParseNamedError> {
    let (name, address) = named_text(text)?;
    let address = address.parse().map_err(|_| ParseNamedError)?;
    Ok(NamedAddress { name, address })
}
