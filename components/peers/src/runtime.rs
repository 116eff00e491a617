use std::future::Future;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, SmolRuntime};

use crate::Executor;

/// Runs the tasks of quinn and the transport on the transport's executor and tracks them for
/// [`JoinedRuntime::join`].
pub(crate) struct JoinedRuntime {
    /// Executor that runs the tasks.
    ex: Executor,
    /// Tasks that may still run.
    tasks: Mutex<Vec<smol::Task<()>>>,
}

impl JoinedRuntime {
    pub(crate) fn new(ex: Executor) -> Arc<Self> {
        Arc::new(Self {
            ex,
            tasks: Mutex::new(Vec::new()),
        })
    }

    /// Spawns a task, which [`JoinedRuntime::join`] cancels.
    pub(crate) fn run(&self, future: impl Future<Output = ()> + Send + 'static) {
        let task = self.ex.spawn(future);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Cancels all tasks and waits until they have ended.
    pub(crate) async fn join(&self) {
        loop {
            let task = self.tasks.lock().unwrap_or_else(PoisonError::into_inner).pop();
            match task {
                Some(task) => drop(task.cancel().await),
                None => return,
            }
        }
    }
}

impl std::fmt::Debug for JoinedRuntime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("JoinedRuntime").finish_non_exhaustive()
    }
}

impl Runtime for JoinedRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.run(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> std::io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}
