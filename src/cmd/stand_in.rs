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

/// Runs a stand-in until a signal asks it to end.
pub(crate) fn stand_in(args: &StandInArgs) -> Result<(), Report<CommandError>> {
    match args.kind {
        StandInKind::Platform => serve(args, Platform::start),
        StandInKind::Engine => serve(args, Engine::start),
        StandInKind::Service => serve(args, Service::start),
        StandInKind::Store => serve(args, Store::start),
    }
}

type Start<C, T> = fn(&Executor, SocketAddr, C) -> Result<Running<T>, Report<HttpError>>;

fn serve<C: DeserializeOwned + Default, T>(
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

/// Settings from a YAML file, or the defaults.
fn settings<C: DeserializeOwned + Default>(file: Option<&Path>) -> Result<C, Report<CommandError>> {
    let Some(file) = file else {
        return Ok(C::default());
    };
    let text = std::fs::read_to_string(file).change_context(CommandError::Usage)?;
    serde_saphyr::from_str(&text).change_context(CommandError::Usage)
}
