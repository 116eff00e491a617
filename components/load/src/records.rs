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

/// Addresses of the stand-ins whose records are read after a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordSources {
    /// Engines, by name.
    pub engines: Vec<(TargetId, SocketAddr)>,
    /// Plain services, by name.
    pub services: Vec<(TargetId, SocketAddr)>,
}

/// Reads the records of the stand-ins and checks the run against the promises.
///
/// # Errors
/// Returns [`LoadError::NoRecord`] if the record of a stand-in can not be read.
pub fn check_run(sources: &RecordSources, finished: &[Finished]) -> Result<Verdict, Report<LoadError>> {
    let ex: Executor = Arc::new(smol::Executor::new());
    let client = Client::new(ex.clone(), ClientConfig::default());
    let record = smol::block_on(ex.run(async {
        Ok::<_, Report<LoadError>>(RunRecord {
            requests: finished.iter().map(|f| f.request.clone()).collect(),
            engines: read_records(&client, &sources.engines).await?,
            services: read_records(&client, &sources.services).await?,
            ..RunRecord::default()
        })
    }))?;
    Ok(check(&record, Grace::default()))
}

async fn read_records<T: DeserializeOwned>(
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
