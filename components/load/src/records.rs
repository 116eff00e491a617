use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use checker::{Grace, Report as Verdict, RunRecord, check};
use error_stack::{Report, ResultExt};
use http_io::{Client, ClientConfig, Executor};
use hyper::Method;
use serde::de::DeserializeOwned;
use utils::TargetId;

use crate::{Finished, LoadError};

/// Stand-ins whose records are read after a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordSources {
    /// Engines.
    pub engines: Vec<(TargetId, SocketAddr)>,
    /// Services.
    pub services: Vec<(TargetId, SocketAddr)>,
}

/// Reads the stand-ins' records and judges the run.
///
/// # Errors
/// [`LoadError::NoRecord`] if a stand-in does not hand out its record.
pub fn check_run(sources: &RecordSources, finished: &[Finished]) -> Result<Verdict, Report<LoadError>> {
    let ex: Executor = Arc::new(smol::Executor::new());
    let client = Client::new(ex.clone(), ClientConfig::default());
    let record = smol::block_on(ex.run(async {
        Ok::<_, Report<LoadError>>(RunRecord {
            requests: finished.iter().map(|one| one.request.clone()).collect(),
            engines: read_all(&client, &sources.engines).await?,
            services: read_all(&client, &sources.services).await?,
            ..RunRecord::default()
        })
    }))?;
    Ok(check(&record, Grace::default()))
}

async fn read_all<T: DeserializeOwned>(
    client: &Client,
    sources: &[(TargetId, SocketAddr)],
) -> Result<BTreeMap<TargetId, T>, Report<LoadError>> {
    let mut records = BTreeMap::new();
    for (id, addr) in sources {
        let record = client.call(*addr, Method::GET, "/v1/record", None::<&()>).await;
        records.insert(id.clone(), record.change_context(LoadError::NoRecord)?);
    }
    Ok(records)
}
