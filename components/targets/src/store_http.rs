use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_io::{Body, Client, HttpError, empty_body, full_body, json_body, read_json, read_limited};
use hyper::{Method, Request};

use crate::engine_http::into_target_error;
use crate::{BoxFuture, Catalogue, Manifest, PieceId, Store, TargetError};

/// Maximum size of a piece, in bytes.
const MAX_PIECE_BYTES: usize = 1 << 30;

/// HTTP client of a store host.
///
/// Paths: `PUT` and `GET /v1/pieces/{id}`, `PUT` and `GET /v1/manifests/{id}`, `DELETE /v1/pieces/{id}`,
/// `GET /v1/catalogue/{from}`.
#[derive(Clone)]
pub struct HttpStore {
    /// HTTP client that sends the requests.
    client: Client,
    /// Address of the store host.
    addr: SocketAddr,
}

impl HttpStore {
    /// Creates a client of the store host at `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Sends a request and returns the body of the answer, or `None` for status 404.
    async fn send(
        &self,
        method: Method,
        path: String,
        body: Body,
    ) -> Result<Option<impl hyper::body::Body<Data = Bytes, Error = HttpError> + use<>>, Report<TargetError>>
    {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string())
            .body(body)
            .change_context(TargetError::Malformed)?;
        let res = self
            .client
            .send(self.addr, req)
            .await
            .map_err(into_target_error)?;
        match res.status().as_u16() {
            200..300 => Ok(Some(res.into_body())),
            404 => Ok(None),
            status => Err(Report::new(TargetError::Refused(status))),
        }
    }
}

impl Store for HttpStore {
    fn put_content(&self, piece: PieceId, content: Bytes) -> BoxFuture<'_, Result<(), Report<TargetError>>> {
        Box::pin(async move {
            self.send(Method::PUT, format!("/v1/pieces/{piece}"), full_body(content))
                .await?;
            Ok(())
        })
    }

    fn put_manifest(&self, manifest: Manifest) -> BoxFuture<'_, Result<(), Report<TargetError>>> {
        Box::pin(async move {
            let path = format!("/v1/manifests/{}", manifest.piece);
            match self.send(Method::PUT, path, json_body(&manifest)).await? {
                Some(_) => Ok(()),
                None => Err(Report::new(TargetError::Refused(404))),
            }
        })
    }

    fn manifest(&self, piece: PieceId) -> BoxFuture<'_, Result<Option<Manifest>, Report<TargetError>>> {
        Box::pin(async move {
            let found = self
                .send(Method::GET, format!("/v1/manifests/{piece}"), empty_body())
                .await?;
            match found {
                Some(body) => read_json(body, MAX_PIECE_BYTES)
                    .await
                    .map(Some)
                    .map_err(into_target_error),
                None => Ok(None),
            }
        })
    }

    fn content(&self, piece: PieceId) -> BoxFuture<'_, Result<Option<Bytes>, Report<TargetError>>> {
        Box::pin(async move {
            let found = self
                .send(Method::GET, format!("/v1/pieces/{piece}"), empty_body())
                .await?;
            match found {
                Some(body) => read_limited(body, MAX_PIECE_BYTES)
                    .await
                    .map(Some)
                    .map_err(into_target_error),
                None => Ok(None),
            }
        })
    }

    fn drop_piece(&self, piece: PieceId) -> BoxFuture<'_, Result<(), Report<TargetError>>> {
        Box::pin(async move {
            self.send(Method::DELETE, format!("/v1/pieces/{piece}"), empty_body())
                .await?;
            Ok(())
        })
    }

    fn catalogue(&self, from: u64) -> BoxFuture<'_, Result<Catalogue, Report<TargetError>>> {
        Box::pin(async move {
            let path = format!("/v1/catalogue/{from}");
            self.client
                .call(self.addr, Method::GET, &path, None::<&()>)
                .await
                .map_err(into_target_error)
        })
    }
}
