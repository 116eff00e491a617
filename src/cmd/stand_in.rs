use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use async_signal::{Signal, Signals};
use error_stack::{Report, ResultExt};
use futures_lite::StreamExt;
use http_io::{Executor, HttpError};
use serde::de::DeserializeOwned;
use standins::{Engine, Platform, Running, Service, Store};

use crate::cli::{StandInArgs, StandInKind};
use crate::exit::CommandError;

/// Runs a stand-in until SIGTERM or SIGINT.
pub(crate) fn stand_in(args: &StandInArgs) -> Result<(), Report<CommandError>> {
    match args.kind {
        StandInKind::Platform => run(args, Platform::start),
        StandInKind::Engine => run(args, Engine::start),
        StandInKind::Service => run(args, Service::start),
        StandInKind::Store => run(args, Store::start),
    }
}

/// Function that starts a stand-in on an address with its settings.
type Start<C, T> = fn(&Executor, SocketAddr, C) -> Result<Running<T>, Report<HttpError>>;

fn run<C: DeserializeOwned + Default, T>(
    args: &StandInArgs,
    start: Start<C, T>,
) -> Result<(), Report<CommandError>> {
    let cfg = settings(args.config.as_deref())?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).change_context(CommandError::Failed)?;
    let ex: Executor = Arc::new(smol::Executor::new());
    smol::block_on(ex.run(async {
        let running = start(&ex, args.listen, cfg).change_context(CommandError::Failed)?;
        println!("listening on {}", running.addr());
        let stop = async {
            let _ = signals.next().await;
        };
        running.run_until(stop).await;
        Ok(())
    }))
}

/// Returns the settings from a YAML file, or the defaults without a file.
fn settings<C: DeserializeOwned + Default>(file: Option<&Path>) -> Result<C, Report<CommandError>> {
    let Some(file) = file else {
        return Ok(C::default());
    };
    let text = std::fs::read_to_string(file).change_context(CommandError::Usage)?;
    serde_saphyr::from_str(&text).change_context(CommandError::Usage)
}
