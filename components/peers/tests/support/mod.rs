#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod node;
pub(crate) mod relay;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use metadata::{HostRole, HostState, ListedHost};

/// Returns the address of host `number` of test `net`.
pub(crate) fn ip(net: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 77, net, number as u8 + 1))
}

pub(crate) fn listed(id: &str, role: HostRole, region: &str) -> ListedHost {
    ListedHost {
        id: id.into(),
        role,
        region: region.into(),
        failure_domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        peer_address: None,
        incarnation: 0,
        state: HostState::Live,
        serves: match role {
            HostRole::Entry | HostRole::Store => Vec::new(),
            _ => vec!["sacks".into()],
        },
        checks_epochs: false,
    }
}

/// Polls until the condition holds; panics after 1,200 polls with pauses of 50 milliseconds.
pub(crate) async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..1_200 {
        if holds() {
            return;
        }
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    panic!("never: {what}");
}

pub(crate) fn executor() -> peers::Executor {
    Arc::new(smol::Executor::new())
}
