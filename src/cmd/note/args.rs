use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

/// Subcommands of `note`. Exit codes: 0 success, 1 failure, 2 not usable or in conflict, 3 staged and not
/// accepted.
#[derive(Debug)]
#[derive(Subcommand)]
pub(crate) enum NoteCommand {
    /// Write the first head row, with no notes.
    Init(InitArgs),
    /// Check a note against the notes in force or against earlier notes.
    Check(FileArgs),
    /// Show what a note changes.
    Diff(FileArgs),
    /// Stage a note, wait for the hosts, and bring it into force.
    Accept(AcceptArgs),
    /// Abandon the staged note; it can not come into force afterwards.
    Abandon(PlatformArgs),
    /// Show the version in force, the staged change, and which hosts have confirmed it.
    Status(PlatformArgs),
    /// List accepted notes.
    Log(LogArgs),
    /// Rewrite the base of a note to the current version, if no note accepted since conflicts with it.
    Rebase(RebaseArgs),
    /// Generate an API key; a note contains only its digest.
    Key(FormatArgs),
}

/// Output format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(ValueEnum)]
pub(crate) enum Format {
    /// Text; in colour on a terminal.
    #[default]
    Text,
    /// One JSON value.
    Json,
}

/// Arguments for the output.
#[derive(Debug, Clone, Copy)]
#[derive(Args)]
pub(crate) struct FormatArgs {
    /// Output format of results.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub format: Format,
}

/// Arguments of commands that use the platform.
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
    /// Maximum age of a host's last read of the head row, in milliseconds; also the waiting time before a
    /// note is accepted.
    #[arg(long, value_name = "MS", default_value_t = 1_800)]
    pub freshness_ms: u64,
    /// Age of the last read after which a host in a minority of its region accepts no new work, in
    /// milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    pub lapse_ms: u64,
}

/// Arguments of `note check` and `note diff`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct FileArgs {
    /// The note, YAML.
    pub file: PathBuf,
    /// Address of the platform; the note is checked against the version in force there.
    #[arg(long, value_name = "ADDRESS", conflicts_with = "after")]
    pub platform: Option<SocketAddr>,
    /// Earlier note, repeated in order; the note is checked against the declarations of all of them.
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
    /// Maximum wait for the hosts, in seconds; afterwards the note stays staged.
    #[arg(long, value_name = "SECONDS", default_value_t = 60)]
    pub wait: u64,
}

/// Arguments of `note log`.
#[derive(Debug)]
#[derive(Args)]
pub(crate) struct LogArgs {
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// List only notes after this version.
    #[arg(long, value_name = "VERSION", default_value_t = 0)]
    pub after: u64,
    /// Maximum number of notes.
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
