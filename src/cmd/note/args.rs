use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

/// Subcommands of `note`. Exit codes: 0 done, 1 failed, 2 not usable or clashing, 3 staged and not accepted.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum NoteCommand {
    /// Write the first head row, with no notes.
    Init(InitArgs),
    /// Check a note against the head or against earlier notes.
    Check(FileArgs),
    /// Show what a note changes.
    Diff(FileArgs),
    /// Stage a note, wait for the hosts, and bring it into force.
    Accept(AcceptArgs),
    /// Give up the staged note; it can not come into force any more.
    Abandon(PlatformArgs),
    /// Show the head, what is staged, and which hosts hold it.
    Status(PlatformArgs),
    /// List accepted notes.
    Log(LogArgs),
    /// Write a note against the present head, if no note accepted since clashes with it.
    Rebase(RebaseArgs),
    /// Make an API key; a note carries only its digest.
    Key(FormatArgs),
}

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(ValueEnum)]
pub(crate) enum Format {
    /// For people; in colour on a terminal.
    #[default]
    Text,
    /// One JSON value.
    Json,
}

/// How results are printed.
#[derive(Debug, Clone, Copy)]
#[derive(Args)]
pub(crate) struct FormatArgs {
    /// How results are printed.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Where the platform is.
#[derive(Debug, Clone, Copy)]
#[derive(Args)]
pub(crate) struct PlatformArgs {
    /// Address of the platform's table service and object store.
    #[arg(long, value_name = "ADDRESS")]
    pub platform: SocketAddr,
    #[command(flatten)]
    pub output: FormatArgs,
}

/// Arguments of `note init`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct InitArgs {
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Longest age of a host's last read of the head, in milliseconds; also the wait before a note is accepted.
    #[arg(long, value_name = "MS", default_value_t = 1_800)]
    pub freshness_ms: u64,
    /// Age after which a host in a minority of its region stops taking new work, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    pub lapse_ms: u64,
}

/// Arguments of `note check` and `note diff`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct FileArgs {
    /// The note, YAML.
    pub file: PathBuf,
    /// Address of the platform; the note is held against its head.
    #[arg(long, value_name = "ADDRESS", conflicts_with = "after")]
    pub platform: Option<SocketAddr>,
    /// An earlier note, in order; the note is held against what they declare together.
    #[arg(long, value_name = "FILE")]
    pub after: Vec<PathBuf>,
    #[command(flatten)]
    pub output: FormatArgs,
}

/// Arguments of `note accept`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct AcceptArgs {
    /// The note, YAML.
    pub file: PathBuf,
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Longest wait for the hosts, in seconds; the note stays staged after it.
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    pub wait: u64,
}

/// Arguments of `note log`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct LogArgs {
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Only notes after this version.
    #[arg(long, value_name = "VERSION", default_value_t = 0)]
    pub after: u64,
    /// Most notes.
    #[arg(long, value_name = "COUNT", default_value_t = 50)]
    pub limit: usize,
}

/// Arguments of `note rebase`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct RebaseArgs {
    /// The note, YAML; only its base is rewritten.
    pub file: PathBuf,
    #[command(flatten)]
    pub platform: PlatformArgs,
}
