use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;

/// How a report is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub(crate) enum OutputFormat {
    /// For a terminal.
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
    /// How the report is printed.
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
    /// Length of a trace, in virtual minutes; the first third is not counted.
    #[arg(long, default_value_t = 180)]
    pub minutes: u32,
    /// Runs at once.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
    /// Directory for the report as JSON and for plots as SVG.
    #[arg(long, value_name = "DIR")]
    pub out: Option<std::path::PathBuf>,
    /// How the report is printed.
    #[arg(long, value_enum, default_value = "table")]
    pub format: OutputFormat,
}

/// What a stand-in stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(clap::ValueEnum)]
pub(crate) enum StandInKind {
    /// Table service, host list, object store and weight store.
    Platform,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// A store host for kept cache.
    Store,
}

/// Arguments of `stand-in`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct StandInArgs {
    /// What it stands for.
    #[arg(value_enum)]
    pub kind: StandInKind,
    /// Address to listen on.
    #[arg(long, value_name = "ADDR")]
    pub listen: SocketAddr,
    /// Settings of the stand-in, YAML; defaults without one.
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
    /// API key of a workspace as WORKSPACE=KEY; without one it is `key-of-` and the workspace's name.
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
    /// Requests a second, instead of the preset's.
    #[arg(long, value_name = "PER_SECOND")]
    pub rate: Option<f64>,
    /// An engine stand-in as NAME=ADDR whose record is checked; repeat for more.
    #[arg(long, value_name = "NAME=ADDR", value_parser = named_address)]
    pub engine: Vec<NamedAddress>,
    /// A service stand-in as NAME=ADDR whose record is checked; repeat for more.
    #[arg(long, value_name = "NAME=ADDR", value_parser = named_address)]
    pub service: Vec<NamedAddress>,
    /// Also send the trace straight to the engine at ADDR, at the same time, and compare.
    #[arg(long, value_name = "ADDR")]
    pub direct: Option<SocketAddr>,
    /// Instead of the trace's times: let so many callers send one request after another.
    #[arg(long, value_name = "CALLERS", conflicts_with = "direct")]
    pub saturate: Option<usize>,
    /// How long to saturate, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Instead of the trace's times: open all requests at once and hold them.
    #[arg(long, conflicts_with_all = ["direct", "saturate"])]
    pub hold: bool,
    /// Process whose resident memory is read before and while streams are held.
    #[arg(long, value_name = "PID", requires = "hold")]
    pub watch_pid: Option<u32>,
    /// How the report is printed.
    #[arg(long, value_enum, default_value = "table")]
    pub format: OutputFormat,
}

/// An address with the name of what listens there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NamedAddress {
    /// Name in the host list.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
}

/// The text is not a name, an equals sign and a value.
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
