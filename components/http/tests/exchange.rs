//! Exchanges between client and server, and between the client and peers that close connections early.

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_io::{
    Body, Client, ClientConfig, Executor, Handler, HttpError, Server, ServerConfig, empty_body, full_body,
    read_limited, shutdown_channel,
};
use hyper::{Method, Request, Response};
use smol::net::TcpListener;

/// Size of an upload that the kernels of both ends together do not take.
const UPLOAD_BYTES: usize = 16 << 20;

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn get(path: &str) -> Request<Body> {
    Request::builder()
        .uri(path)
        .header("host", "test")
        .body(empty_body())
        .unwrap()
}

fn run(test: impl AsyncFnOnce(Executor)) {
    let ex: Executor = Arc::new(smol::Executor::new());
    smol::block_on(ex.run(test(ex.clone())));
}

/// Runs a peer that reads a request on each connection and then closes the connection without an answer.
async fn close_after_request(listener: TcpListener, request_count: Arc<AtomicUsize>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 512];
        let _ = stream.read(&mut buf).await;
        request_count.fetch_add(1, Ordering::SeqCst);
    }
}

#[test]
fn a_refused_connection_is_reported_as_unsent() {
    run(async |ex| {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let client = Client::new(ex, ClientConfig::default());
        let error = client.send(addr, get("/")).await.err().unwrap();
        assert!(error.current_context().is_not_sent());
    });
}

#[test]
fn a_connection_that_breaks_after_the_request_is_not_reported_as_unsent() {
    run(async |ex| {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let request_count = Arc::new(AtomicUsize::new(0));
        let peer = ex.spawn(close_after_request(listener, request_count.clone()));
        let client = Client::new(ex.clone(), ClientConfig::default());
        let error = client.send(addr, get("/")).await.err().unwrap();
        assert_eq!(*error.current_context(), HttpError::Interrupted);
        assert_eq!(
            request_count.load(Ordering::SeqCst),
            1,
            "the request must not be sent twice"
        );
        peer.cancel().await;
    });
}

#[test]
fn a_closed_idle_connection_is_replaced() {
    run(async |ex| {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let peer = ex.spawn(async move {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut buf = [0; 512];
                let _ = stream.read(&mut buf).await;
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
                    .await
                    .unwrap();
            }
        });
        let client = Client::new(ex.clone(), ClientConfig::default());
        for _ in 0..2 {
            let res = client.send(addr, get("/")).await.unwrap();
            assert_eq!(read_limited(res.into_body(), 10).await.unwrap(), "ok");
        }
        peer.await;
    });
}

/// Runs a peer that reads the first bytes of a request, answers with this text and ends its side of the connection.
async fn answer_early(listener: TcpListener, answer: String) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buf = [0; 512];
    let _ = stream.read(&mut buf).await;
    stream.write_all(answer.as_bytes()).await.unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    std::future::pending().await
}

/// Sends a request to a peer that answers early; returns the body or the error.
async fn exchange_early(ex: Executor, answer: &'static str, req: Request<Body>) -> Result<Bytes, HttpError> {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let peer = ex.spawn(answer_early(listener, answer.to_owned()));
    let client = Client::new(ex.clone(), ClientConfig::default());
    let read = async {
        let res = client.send(addr, req).await?;
        read_limited(res.into_body(), 1_000).await
    };
    let read = read.await.map_err(|e| *e.current_context());
    peer.cancel().await;
    read
}

fn upload(bytes: usize) -> Request<Body> {
    let req = Request::builder()
        .method(Method::POST)
        .uri("/")
        .header("host", "test");
    req.body(full_body(vec![b'x'; bytes])).unwrap()
}

// Guards against half an answer that looks whole as its server ended in order before it had read the request.
#[test]
fn an_unframed_answer_that_ends_before_its_request_was_written_is_not_whole() {
    run(async |ex| {
        let early = "HTTP/1.1 200 OK\r\n\r\nhalf";
        let read = exchange_early(ex.clone(), early, upload(UPLOAD_BYTES)).await;
        assert_eq!(read, Err(HttpError::Interrupted));
        let read = exchange_early(ex.clone(), early, upload(10)).await;
        assert_eq!(read.unwrap(), "half");
        let framed = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhalf";
        let read = exchange_early(ex, framed, upload(UPLOAD_BYTES)).await;
        assert_eq!(read.unwrap(), "half");
    });
}

// Guards against an answer of a server in trouble that is passed on with a status that HTTP does not define.
#[test]
fn an_answer_with_an_undefined_status_is_an_error() {
    for status in ["000", "101", "600", "999"] {
        run(async |ex| {
            let listener = TcpListener::bind(loopback()).await.unwrap();
            let addr = listener.local_addr().unwrap();
            let answer = format!("HTTP/1.1 {status} Text\r\ncontent-length: 4\r\n\r\ntext");
            let peer = ex.spawn(answer_early(listener, answer));
            let client = Client::new(ex.clone(), ClientConfig::default());
            let error = client.send(addr, get("/")).await.err();
            let kind = error.map(|e| *e.current_context());
            assert!(
                matches!(kind, Some(HttpError::Interrupted | HttpError::Malformed)),
                "{status}: {kind:?}"
            );
            peer.cancel().await;
        });
    }
}

#[test]
fn requests_in_progress_are_finished_before_the_server_ends() {
    run(async |ex| {
        let server = Server::bind(loopback(), ServerConfig::default()).unwrap();
        let addr = server.local_addr().unwrap();
        let (tx, rx) = async_channel::bounded::<()>(1);
        let handler: Handler = Arc::new(move |_| {
            let rx = rx.clone();
            Box::pin(async move {
                let _ = rx.recv().await;
                Response::new(full_body("late"))
            })
        });
        let (stop, stopped) = shutdown_channel();
        let serving = ex.spawn(server.run(ex.clone(), handler, stopped));
        let client = Client::new(ex.clone(), ClientConfig::default());
        let answer = ex.spawn(async move { client.send(addr, get("/")).await });
        smol::Timer::after(std::time::Duration::from_millis(20)).await;
        drop(stop);
        tx.send(()).await.unwrap();
        let res = answer.await.unwrap();
        assert_eq!(read_limited(res.into_body(), 10).await.unwrap(), "late");
        serving.await;
    });
}

#[test]
fn the_server_enforces_body_and_header_limits() {
    run(async |ex| {
        let server = Server::bind(
            loopback(),
            ServerConfig {
                max_headers: 4,
                ..ServerConfig::default()
            },
        )
        .unwrap();
        let addr = server.local_addr().unwrap();
        let handler: Handler = Arc::new(|req| {
            Box::pin(async move {
                let read = read_limited(req.into_body(), 8).await;
                let error = read.err().map(|e| *e.current_context());
                Response::new(full_body(error.map_or_else(String::new, |e| e.to_string())))
            })
        });
        let (stop, stopped) = shutdown_channel();
        let serving = ex.spawn(server.run(ex.clone(), handler, stopped));
        let client = Client::new(ex.clone(), ClientConfig::default());
        let long = Request::builder()
            .method(Method::POST)
            .uri("/")
            .header("host", "t")
            .body(full_body("123456789"));
        let res = client.send(addr, long.unwrap()).await.unwrap();
        let text = read_limited(res.into_body(), 100).await.unwrap();
        assert_eq!(text, "the body is longer than 8 bytes");
        let many = (0..8).fold(Request::builder().uri("/"), |req, n| {
            req.header(format!("x-{n}"), "1")
        });
        let res = client.send(addr, many.body(empty_body()).unwrap()).await.unwrap();
        assert_eq!(res.status(), 431);
        drop((stop, res));
        serving.await;
    });
}

#[test]
fn a_client_without_idle_connections_closes_each_after_use() {
    run(async |ex| {
        let handler: Handler = Arc::new(|_| Box::pin(async { Response::new(full_body("ok")) }));
        let server = Server::bind(loopback(), ServerConfig::default()).unwrap();
        let addr = server.local_addr().unwrap();
        let (stop, stopped) = shutdown_channel();
        let serving = ex.spawn(server.run(ex.clone(), handler, stopped));
        let cfg = ClientConfig {
            idle_per_address: 0,
            ..ClientConfig::default()
        };
        let client = Client::new(ex, cfg);
        for _ in 0..2 {
            let res = client.send(addr, get("/")).await.unwrap();
            assert_eq!(read_limited(res.into_body(), 10).await.unwrap(), "ok");
        }
        drop(stop);
        serving.await;
    });
}
