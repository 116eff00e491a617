mod trials;

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use crate::cmd::NoteCommand;
pub(crate) use trials::{
    BenchPolicyArgs, LoadArgs, NamedAddress, OutputFormat, StandInArgs, StandInKind, TryArgs,
};

/// Serving system for prompts that return after long gaps.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "laburnumtally", version)]
pub(crate) struct Cli {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands; each is implemented in a file of `cmd`.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run an entry host until SIGTERM or SIGINT.
    Serve(ServeArgs),
    /// Check a settings file, or describe every field.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Check, compare and accept release notes; exits with 3 if a note is staged and not accepted.
    #[command(subcommand)]
    Note(NoteCommand),
    /// Print the numbered log events.
    Events,
    /// Show the log lines of one request from the logs of several hosts.
    Explain(ExplainArgs),
    /// Generate a test certificate authority and keys for the traffic between entry hosts.
    Keys(KeysArgs),
    /// Run a trial: a small deployment in one process with injected faults; then check the promises.
    Try(TryArgs),
    /// Run a stand-in for the platform or for a target until SIGTERM or SIGINT.
    StandIn(StandInArgs),
    /// Send load to a running system and report latencies.
    Load(LoadArgs),
    /// Compare placement with baselines and an oracle, in virtual time.
    BenchPolicy(BenchPolicyArgs),
}

/// Arguments of `serve`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct ServeArgs {
    /// Settings file of the host, YAML.
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    pub config: Option<PathBuf>,
    /// Run on the users' platform, with the settings file that it provides.
    #[arg(long, conflicts_with = "config")]
    pub platform: bool,
}

/// Subcommands of `config`.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Check a settings file; exits with 2 if it is not usable.
    Check {
        /// Settings file of a host, YAML.
        file: PathBuf,
        /// Read the file in the format of the users' platform.
        #[arg(long)]
        platform: bool,
    },
    /// Print every field with its unit, default and allowed values.
    Explain {
        /// Print the fields of the format of the users' platform.
        #[arg(long)]
        platform: bool,
    },
}

/// Arguments of `explain`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct ExplainArgs {
    /// Id of the request.
    #[arg(long, value_name = "ID")]
    pub request: String,
    /// Logs of hosts, JSON lines; the file name without its extension is shown as the host.
    #[arg(value_name = "LOG", required = true)]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `keys`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct KeysArgs {
    /// Output directory for `authority.pem`, `HOST.pem` and `HOST.key`.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Id of an entry host; repeat for more.
    #[arg(long = "host", value_name = "ID", required = true)]
    pub hosts: Vec<String>,
}
