//! Authentication of peers: only hosts with a certificate signed by the authority connect, and only under
//! their own name.

mod support;

use std::time::Duration;

use membership::{Body, Heartbeat};
use peers::{HostKeys, InboundMessage, PeerError, PeerTls, Transport, TransportOptions, generate_keys};
use support::{executor, ip};

fn bind(
    ex: &peers::Executor,
    authority: &str,
    keys: &HostKeys,
    name: &str,
    number: usize,
) -> (Transport, async_channel::Receiver<InboundMessage>) {
    let options = TransportOptions {
        host: name.into(),
        listen: (ip(1, number), 0).into(),
        tls: PeerTls::from_pem(authority, &keys.certificate, &keys.key).expect("keys"),
    };
    Transport::bind(options, ex.clone()).expect("bind")
}

fn probe() -> Heartbeat {
    Heartbeat::new(1, Body::Probe { nonce: 5 })
}

/// Returns whether a heartbeat arrives that `from` sends to `to` repeatedly for two seconds.
async fn arrives(
    from: &Transport,
    to: (&str, &Transport),
    rx: &async_channel::Receiver<InboundMessage>,
) -> bool {
    for _ in 0..40 {
        from.send(&to.0.into(), Some(to.1.local_addr()), &probe());
        smol::Timer::after(Duration::from_millis(50)).await;
        if rx.try_recv().is_ok() {
            return true;
        }
    }
    false
}

#[test]
fn only_signed_hosts_connect_and_only_under_their_own_name() {
    let ex = executor();
    smol::block_on(ex.run(async {
        let names = ["entry-1".into(), "entry-2".into(), "entry-3".into()];
        let (authority, keys) = generate_keys(&names).expect("keys");
        let (foreign, foreign_keys) = generate_keys(&names).expect("keys");
        let (one, one_rx) = bind(&ex, &authority, &keys[0], "entry-1", 0);
        let (two, two_rx) = bind(&ex, &authority, &keys[1], "entry-2", 1);
        let (untrusted, untrusted_rx) = bind(&ex, &foreign, &foreign_keys[1], "entry-2", 2);
        let (impostor, impostor_rx) = bind(&ex, &authority, &keys[2], "entry-2", 3);

        assert!(arrives(&two, ("entry-1", &one), &one_rx).await);
        assert!(arrives(&one, ("entry-2", &two), &two_rx).await);
        assert!(!arrives(&untrusted, ("entry-1", &one), &one_rx).await);
        assert!(!arrives(&one, ("entry-3", &untrusted), &untrusted_rx).await);
        assert!(!arrives(&impostor, ("entry-1", &one), &one_rx).await);
        let answer = impostor.query(&"entry-1".into(), b"x").await;
        assert!(answer.is_err());
        assert!(one_rx.try_recv().is_err());
        assert!(impostor_rx.try_recv().is_err());
        for transport in [one, two, untrusted, impostor] {
            transport.shutdown().await;
        }
    }));
    assert!(ex.is_empty(), "all tasks are joined");
}

#[test]
fn missing_and_invalid_keys_are_reported() {
    let settings = config::PeerSettings::default();
    let error = PeerTls::load(&settings).err().expect("no keys");
    assert_eq!(*error.current_context(), PeerError::NoKeys);
    let error = PeerTls::from_pem("no", "keys", "here").err().expect("bad keys");
    assert_eq!(*error.current_context(), PeerError::UnreadableKeys);
}

#[test]
fn written_keys_load_from_settings() {
    let dir = tempfile::tempdir().expect("dir");
    peers::write_keys(dir.path(), &["entry-1".into()]).expect("written");
    let settings = config::PeerSettings {
        authority: Some(dir.path().join("authority.pem")),
        certificate: Some(dir.path().join("entry-1.pem")),
        key: Some(dir.path().join("entry-1.key")),
    };
    PeerTls::load(&settings).expect("loads");
}
