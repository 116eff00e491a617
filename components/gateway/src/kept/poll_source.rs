use std::net::SocketAddr;

/// Which host is polled for the stores of a region, and from which position `P` of its changes.
///
/// ```
/// let (one, other) = (([10, 0, 0, 1], 80).into(), ([10, 0, 0, 2], 80).into());
/// let mut source = gateway::PollSource::default();
/// assert_eq!(source.next(|| Some(one)), Some((one, None)));
/// source.answered(one, 7);
/// source.failed();
/// assert_eq!(source.next(|| Some(other)), Some((other, None)));
/// ```
#[derive(Debug, Clone)]
pub struct PollSource<P> {
    /// The host that answered last, with the position that it gave.
    last: Option<(SocketAddr, P)>,
    /// Polls without an answer since then.
    failures: u32,
}

impl<P> Default for PollSource<P> {
    fn default() -> Self {
        Self {
            last: None,
            failures: 0,
        }
    }
}

impl<P: Clone> PollSource<P> {
    /// Returns the host to poll, with the position to continue from; `None` for the whole content. After a poll without an
    /// answer it is the host that `choose` returns, and after another one the host that answered last again: on a busy
    /// link its changes may arrive while the whole content of another does not.
    pub fn next(&self, choose: impl FnOnce() -> Option<SocketAddr>) -> Option<(SocketAddr, Option<P>)> {
        let last = self.last.as_ref().filter(|_| self.failures.is_multiple_of(2));
        let host = last.map(|(host, _)| *host).or_else(choose)?;
        let position = self.last.as_ref().filter(|(answered, _)| *answered == host);
        Some((host, position.map(|(_, position)| position.clone())))
    }

    /// Records an answer of a host, which ends at a position.
    pub fn answered(&mut self, host: SocketAddr, position: P) {
        self.last = Some((host, position));
        self.failures = 0;
    }

    /// Records a poll without an answer. What had been received stays in place, and so does the position.
    pub fn failed(&mut self) {
        self.failures = self.failures.wrapping_add(1);
    }
}
