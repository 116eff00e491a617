use std::time::Duration;

use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Method, Request};

use super::place::Placed;
use super::request::Call;
use super::state::Traffic;
use crate::call::SendFacts;

/// Hop-by-hop headers, which apply to one connection only.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Builds the request to a target.
pub(super) fn request(
    cx: &Traffic,
    call: &Call,
    placed: &Placed,
    time_left: Duration,
    resume_after: Option<String>,
) -> Option<Request<http_io::Body>> {
    let mut headers = call.headers.clone();
    strip_connection_headers(&mut headers);
    let view = cx.view.load();
    let facts = SendFacts {
        time_left,
        instance: placed.target.instance.clone(),
        workspace: call.workspace.as_ref().map(|w| w.name.clone()),
        cache_salt: call.cache_salt(view.declared.as_deref(), placed.weights),
        weights: placed.weights,
        priority: call.priority(),
        resume_after,
        cache: placed.cache.clone(),
    };
    cx.heads.write_send(&mut headers, &facts);
    let mut req = Request::builder()
        .method(call.method.clone())
        .uri(call.target_uri.clone())
        .body(call.body.shared_body())
        .ok()?;
    *req.headers_mut() = headers;
    // Hyper adds the length of a body that arrived chunked. An empty GET request carries no length.
    if call.body.is_empty() && call.method == Method::GET {
        req.headers_mut().remove(CONTENT_LENGTH);
    }
    Some(req)
}

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(TRANSFER_ENCODING);
}
