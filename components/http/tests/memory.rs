//! The memory account at work: bodies that are refused, evicted or released, and connections that are closed for new ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_io::{
    AnswerProgress, Client, ClientConfig, ConnectionLimits, Executor, Handler, HttpError, MemoryAccount,
    MemoryHolder, Server, ServerConfig, Shortage, empty_body, full_body, read_held, read_request,
    shutdown_channel,
};
use hyper::{Request, Response};
use policy::MemoryBudget;
use smol::net::TcpStream;

/// Largest body that the servers of these tests take, in bytes.
const MAX_BODY: usize = 900_000;
/// Time after which a body without progress may be evicted, with a margin.
const STALL: Duration = Duration::from_millis(400);

struct Running {
    addr: SocketAddr,
    memory: Arc<MemoryAccount>,
    limits: Arc<ConnectionLimits>,
}

/// Runs a server that answers with the length of the body, or the error that reading it gave.
fn serve(max_connections: usize, test: impl AsyncFnOnce(&Running)) {
    serve_as(max_connections, false, test);
}

fn serve_as(max_connections: usize, is_reserved: bool, test: impl AsyncFnOnce(&Running)) {
    let ex: Executor = Arc::new(smol::Executor::new());
    let memory = MemoryAccount::new(MemoryBudget::new(1 << 20));
    let limits = ConnectionLimits::new(10_000, Duration::from_secs(60), Duration::from_secs(60));
    let limits = Arc::new(limits);
    let cfg = ServerConfig {
        memory: memory.clone(),
        limits: Some(limits.clone()),
        max_connections,
        is_reserved,
        ..ServerConfig::default()
    };
    let server = Server::bind(([127, 0, 0, 1], 0).into(), cfg).unwrap();
    let running = Running {
        addr: server.local_addr().unwrap(),
        memory,
        limits,
    };
    let handler: Handler = Arc::new(|req| {
        Box::pin(async move {
            if req.headers().contains_key("refuse") {
                return Response::new(full_body("refused"));
            }
            let holder = MemoryHolder::of(&req);
            let read = read_request(req.into_body(), MAX_BODY, &holder).await;
            let text = match read {
                Ok(body) => format!("read {}", body.len()),
                Err(e) if *e.current_context() == HttpError::NoMemory => "no memory".to_owned(),
                Err(e) => e.current_context().to_string(),
            };
            Response::new(full_body(text))
        })
    });
    let (stop, stopped) = shutdown_channel();
    let serving = ex.spawn(server.run_or_abort(ex.clone(), handler, stopped.clone(), stopped));
    smol::block_on(ex.run(async {
        test(&running).await;
        drop(stop);
        serving.await;
    }));
}

async fn send(addr: SocketAddr, head: &str, body: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: t\r\n{head}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    // The server may refuse the body before it is sent.
    let _ = stream.write_all(&vec![b'x'; body]).await;
    stream
}

/// Returns the head and the body of the next answer.
async fn receive(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    loop {
        let mut buf = [0; 1_024];
        let count = stream.read(&mut buf).await.unwrap_or(0);
        text.extend_from_slice(&buf[..count]);
        let answer = String::from_utf8_lossy(&text);
        let length = answer.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.split('\r').next()?.parse::<usize>().ok());
        let body = answer.split("\r\n\r\n").nth(1);
        if count == 0 || body.is_some_and(|body| Some(body.len()) == length) {
            return answer.into_owned();
        }
    }
}

/// Guards against a budget that stays with callers who stopped sending, and against charges that are never released.
#[test]
fn a_stalled_body_is_refused_when_another_needs_its_memory() {
    serve(100, async |running| {
        let mut stalled = send(running.addr, "content-length: 800000", 700_000).await;
        smol::Timer::after(STALL).await;
        let mut sending = send(running.addr, "content-length: 500000", 500_000).await;
        assert!(receive(&mut sending).await.ends_with("read 500000"));
        assert!(receive(&mut stalled).await.ends_with("no memory"));
        assert_eq!(running.memory.count(Shortage::BodyEvicted), 1);
        drop((stalled, sending));
        while running.memory.connections() > 0 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(running.memory.used(), 0);
    });
}

/// Guards against reading a body that is refused in any case.
#[test]
fn a_body_announced_over_the_limit_is_refused_before_it_arrives() {
    serve(100, async |running| {
        let mut stream = send(running.addr, "content-length: 900001", 0).await;
        assert!(receive(&mut stream).await.ends_with("longer than 900000 bytes"));
    });
}

/// Guards against heads over the limit: unfinished ones, and those that arrive whole.
#[test]
fn a_head_over_the_limit_gets_status_431() {
    serve(100, async |running| {
        for length in [10_000, 30_000] {
            let mut stream = send(running.addr, &format!("padding: {}", "x".repeat(length)), 0).await;
            assert!(receive(&mut stream).await.starts_with("HTTP/1.1 431"));
        }
        let mut stream = send(running.addr, &format!("padding: {}", "x".repeat(9_900)), 0).await;
        assert!(receive(&mut stream).await.ends_with("read 0"));
    });
}

/// Guards against answers to requests in one packet that are lost or given to each other.
#[test]
fn requests_that_follow_without_a_pause_are_answered_in_order() {
    serve(100, async |running| {
        let request = |body: &str| {
            format!(
                "POST / HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let mut stream = TcpStream::connect(running.addr).await.unwrap();
        let both = request("a") + &request("bbb");
        stream.write_all(both.as_bytes()).await.unwrap();
        let mut text = String::new();
        while !text.ends_with("read 3") {
            let mut buf = [0; 1_024];
            let count = stream.read(&mut buf).await.unwrap();
            assert!(count > 0, "closed after {text}");
            text += std::str::from_utf8(&buf[..count]).unwrap();
        }
        assert!(text.contains("read 1HTTP/1.1 200"), "{text}");
    });
}

/// Guards against new callers that find no connection while others sit idle.
#[test]
fn the_longest_idle_connection_is_closed_for_a_new_one() {
    serve(2, async |running| {
        let mut first = send(running.addr, "content-length: 1", 1).await;
        assert!(receive(&mut first).await.ends_with("read 1"));
        smol::Timer::after(Duration::from_millis(5)).await;
        let mut second = send(running.addr, "content-length: 2", 2).await;
        assert!(receive(&mut second).await.ends_with("read 2"));
        let mut third = send(running.addr, "content-length: 3", 3).await;
        assert!(receive(&mut third).await.ends_with("read 3"));
        assert_eq!(first.read(&mut [0]).await.unwrap_or(0), 0);
        assert_eq!(running.memory.count(Shortage::ConnectionClosed), 1);
        assert_eq!(running.memory.connections(), 2);
    });
}

/// Guards against connections that stay open for good, and against limits that need a restart.
#[test]
fn late_heads_and_idle_connections_are_closed_by_the_limits_in_force() {
    serve(100, async |running| {
        let mut idle = TcpStream::connect(running.addr).await.unwrap();
        let mut late = TcpStream::connect(running.addr).await.unwrap();
        late.write_all(b"POST / HTTP/1.1\r\n").await.unwrap();
        let short = Duration::from_millis(100);
        running.limits.set(10_000, short, short);
        assert_eq!(idle.read(&mut [0]).await.unwrap_or(0), 0);
        assert_eq!(late.read(&mut [0]).await.unwrap_or(0), 0);
        assert_eq!(running.memory.count(Shortage::IdleExpired), 1);
        assert_eq!(running.memory.count(Shortage::HeadLate), 1);
    });
}

/// Guards against readiness checks and messages between hosts that fail because callers use up the budget.
#[test]
fn reserved_connections_are_kept_and_accepted_without_room() {
    serve_as(100, true, async |running| {
        let mut idle = send(running.addr, "content-length: 1", 1).await;
        assert!(receive(&mut idle).await.ends_with("read 1"));
        smol::Timer::after(STALL).await;
        let mut held = Vec::new();
        while let Ok(holder) = running.memory.open_outgoing() {
            held.push(holder);
        }
        let mut new = send(running.addr, "content-length: 0", 0).await;
        assert!(receive(&mut new).await.ends_with("read 0"));
        let mut with_body = send(running.addr, "content-length: 100000", 100_000).await;
        assert!(receive(&mut with_body).await.ends_with("no memory"));
        idle.write_all(b"POST / HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\n\r\n")
            .await
            .unwrap();
        assert!(receive(&mut idle).await.ends_with("read 0"));
    });
}

/// Guards against charges so far above what ordinary streams use that a small machine refuses them. A stream keeps its
/// body until its answer begins; the last third of the streams waits for it.
#[test]
fn three_hundred_ordinary_streams_fit_on_a_small_machine() {
    let memory = MemoryAccount::new(MemoryBudget::for_machine(88 << 20));
    let mut streams = Vec::new();
    for i in 0..300 {
        let caller = memory.open_outgoing().unwrap();
        let target = memory.open_outgoing().unwrap();
        let body = full_body(vec![b'x'; 72 << 10]);
        let body = smol::block_on(read_held(body, MAX_BODY, &caller)).unwrap();
        streams.push((caller, target, (i >= 200).then_some(body)));
    }
    assert_eq!(memory.connections(), 600);
}

/// Guards against kept connections that are closed by the limit on heads after a request was refused before its body.
#[test]
fn the_rest_of_a_refused_body_is_not_a_late_head() {
    serve(100, async |running| {
        let mut stream = TcpStream::connect(running.addr).await.unwrap();
        // The body is longer than the first read of the connection, so that its rest is read after the answer.
        let head = "POST / HTTP/1.1\r\nhost: t\r\nrefuse: 1\r\ncontent-length: 10000\r\n\r\n";
        let request = head.to_owned() + &"x".repeat(10_000);
        stream.write_all(request.as_bytes()).await.unwrap();
        assert!(receive(&mut stream).await.ends_with("refused"));
        running
            .limits
            .set(10_000, Duration::from_millis(100), Duration::from_secs(60));
        smol::Timer::after(STALL).await;
        stream
            .write_all(b"POST / HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\n\r\n")
            .await
            .unwrap();
        assert!(receive(&mut stream).await.ends_with("read 0"));
        assert_eq!(running.memory.count(Shortage::HeadLate), 0);
    });
}

/// Guards against a lowered limit on heads that open connections do not obey.
#[test]
fn a_lowered_limit_on_heads_holds_for_open_connections() {
    serve(100, async |running| {
        let mut stream = send(running.addr, "content-length: 1", 1).await;
        assert!(receive(&mut stream).await.ends_with("read 1"));
        let minute = Duration::from_secs(60);
        running.limits.set(2_000, minute, minute);
        let padding = "x".repeat(3_000);
        let request =
            format!("POST / HTTP/1.1\r\nhost: t\r\npadding: {padding}\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        assert!(receive(&mut stream).await.starts_with("HTTP/1.1 431"));
    });
}

/// Guards against answers to a process's own calls that no budget or limit bounds, and against charges that stay.
#[test]
fn an_answer_to_a_call_is_charged_and_cut() {
    let ex: Executor = Arc::new(smol::Executor::new());
    let handler: Handler = Arc::new(|_| Box::pin(async { Response::new(full_body(vec![b'x'; 500_000])) }));
    let server = Server::bind(([127, 0, 0, 1], 0).into(), ServerConfig::default()).unwrap();
    let addr = server.local_addr().unwrap();
    let (_stop, stopped) = shutdown_channel();
    let _serving = ex.spawn(server.run_or_abort(ex.clone(), handler, stopped.clone(), stopped));
    let memory = MemoryAccount::new(MemoryBudget::new(700_000));
    let client = Client::with_memory(ex.clone(), ClientConfig::default(), memory.clone());
    let read = async |limit| {
        let answer = client.send(addr, Request::new(empty_body())).await.unwrap();
        answer
            .into_body()
            .read_whole(limit, &AnswerProgress::default())
            .await
    };
    smol::block_on(ex.run(async {
        let first = read(500_000).await.unwrap();
        assert!((500_000..550_000).contains(&memory.used()));
        let second = read(500_000).await.err().unwrap();
        assert_eq!(*second.current_context(), HttpError::NoMemory);
        drop(first);
        assert_eq!(memory.used(), 0);
        let third = read(499_999).await.err().unwrap();
        assert_eq!(*third.current_context(), HttpError::TooLarge { limit: 499_999 });
        let counts = [Shortage::NoRoom, Shortage::AnswerTooLarge].map(|kind| memory.count(kind));
        assert_eq!(counts, [1, 1]);
    }));
}
