mod trials;

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use crate::cmd::NoteCommand;
pub(crate) use trials::{
    BenchPolicyArgs, LoadArgs, NamedAddress, OutputFormat, StandInArgs, StandInKind, TryArgs,
};

/// Serves prompts that return after long gaps.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "laburnumtally", version)]
pub(crate) struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands, one file each in `cmd`.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run an entry host until SIGTERM or SIGINT.
    Serve(ServeArgs),
    /// Check settings, or explain every field.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Check, compare and accept release notes. Exits with 3 if a note is staged and not accepted.
    #[command(subcommand)]
    Note(NoteCommand),
    /// Print the numbered log events.
    Events,
    /// Tell from the logs of several hosts what became of a request.
    Explain(ExplainArgs),
    /// Make a test authority and keys for the traffic between entry hosts.
    Keys(KeysArgs),
    /// Play a trial: a small deployment in one process, with faults, and a verdict.
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
    /// Settings of the host, YAML.
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    pub config: Option<PathBuf>,
    /// Run on the users' platform, with the settings that it gives.
    #[arg(long, conflicts_with = "config")]
    pub platform: bool,
}

/// Subcommands of `config`.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Check a file of settings; exits with 2 if it is not usable.
    Check {
        /// Settings of a host, YAML.
        file: PathBuf,
        /// The file is in the format of the users' platform.
        #[arg(long)]
        platform: bool,
    },
    /// Print every field with its unit, default and allowed values.
    Explain {
        /// Explain the format of the users' platform.
        #[arg(long)]
        platform: bool,
    },
}

/// Arguments of `explain`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct ExplainArgs {
    /// Identifier of the request.
    #[arg(long, value_name = "ID")]
    pub request: String,
    /// Logs of hosts, JSON lines; a log's name stands for its host.
    #[arg(value_name = "LOG", required = true)]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `keys`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct KeysArgs {
    /// Directory for `authority.pem`, `HOST.pem` and `HOST.key`.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
    /// Name of an entry host; give it once for each host.
    #[arg(long = "host", value_name = "ID", required = true)]
    pub hosts: Vec<String>,
}
