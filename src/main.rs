//! Command line of laburnumtally.

mod cli;
mod cmd;
mod exit;

use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command, ConfigCommand};

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(args) => cmd::serve(&args),
        Command::Config(ConfigCommand::Check { file, platform }) => cmd::check_config(&file, platform),
        Command::Config(ConfigCommand::Explain { platform }) => cmd::explain_config(platform),
        Command::Note(command) => cmd::note(&command),
        Command::Events => cmd::events(),
        Command::Explain(args) => cmd::explain(&args),
        Command::Keys(args) => cmd::keys(&args),
        Command::Try(args) => cmd::try_it(&args),
        Command::StandIn(args) => cmd::stand_in(&args),
        Command::Load(args) => cmd::load(&args),
        Command::BenchPolicy(args) => cmd::bench_policy(&args),
    };
    exit::exit_code(result)
}
