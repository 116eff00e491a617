use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_io::{Client, HttpError, full_body, read_limited};
use hyper::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    BoxFuture, Committed, HostList, ListedHost, ObjectStore, PlatformError, ReadRequest, Row, RowKey,
    ScanRequest, TableService, Transaction,
};

/// Maximum size of an object in an answer, in bytes.
const MAX_OBJECT_BYTES: usize = 64 << 20;

/// Client of the platform's services over HTTP and JSON.
///
/// Paths: `POST /v1/table/{transact,read,scan}`, `GET /v1/list`, `GET` and `PUT /v1/objects/{key}`.
#[derive(Clone)]
pub struct HttpPlatform {
    /// HTTP client with pooled connections.
    client: Client,
    /// Address of the platform.
    addr: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client of the platform at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Report<PlatformError>> {
        self.client
            .call(self.addr, method, path, body)
            .await
            .map_err(into_platform_error)
    }
}

impl TableService for HttpPlatform {
    fn transact(&self, tx: Transaction) -> BoxFuture<'_, Result<Committed, Report<PlatformError>>> {
        Box::pin(async move { self.call(Method::POST, "/v1/table/transact", Some(&tx)).await })
    }

    fn read(&self, keys: Vec<RowKey>) -> BoxFuture<'_, Result<Vec<Option<Row>>, Report<PlatformError>>> {
        Box::pin(async move {
            self.call(Method::POST, "/v1/table/read", Some(&ReadRequest { keys }))
                .await
        })
    }

    fn scan(&self, req: ScanRequest) -> BoxFuture<'_, Result<Vec<Row>, Report<PlatformError>>> {
        Box::pin(async move { self.call(Method::POST, "/v1/table/scan", Some(&req)).await })
    }
}

impl HostList for HttpPlatform {
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, Report<PlatformError>>> {
        Box::pin(async move { self.call(Method::GET, "/v1/list", None::<&()>).await })
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, key: String, content: Bytes) -> BoxFuture<'_, Result<(), Report<PlatformError>>> {
        Box::pin(async move {
            let req = object_request(self.addr, Method::PUT, &key, content)?;
            let res = self
                .client
                .send(self.addr, req)
                .await
                .map_err(into_platform_error)?;
            match res.status().as_u16() {
                200..300 => Ok(()),
                status => Err(into_platform_error(Report::new(HttpError::Status(status)))),
            }
        })
    }

    fn get(&self, key: String) -> BoxFuture<'_, Result<Option<Bytes>, Report<PlatformError>>> {
        Box::pin(async move {
            let req = object_request(self.addr, Method::GET, &key, Bytes::new())?;
            let res = self
                .client
                .send(self.addr, req)
                .await
                .map_err(into_platform_error)?;
            match res.status().as_u16() {
                200 => {
                    let read = read_limited(res.into_body(), MAX_OBJECT_BYTES).await;
                    read.map(Some).map_err(into_platform_error)
                }
                404 => Ok(None),
                status => Err(into_platform_error(Report::new(HttpError::Status(status)))),
            }
        })
    }
}

fn into_platform_error(report: Report<HttpError>) -> Report<PlatformError> {
    let kind = PlatformError::from(*report.current_context());
    report.change_context(kind)
}

fn object_request(
    addr: SocketAddr,
    method: Method,
    key: &str,
    content: Bytes,
) -> Result<Request<http_io::Body>, Report<PlatformError>> {
    Request::builder()
        .method(method)
        .uri(format!("/v1/objects/{key}"))
        .header("host", addr.to_string())
        .body(full_body(content))
        .change_context(PlatformError::Malformed)
}
