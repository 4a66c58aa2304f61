//! The tasks of one process, which drain together and can be frozen or ended
//! together by a replay.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio_util::sync::CancellationToken;

/// Starts tasks and knows the state they share.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    killed: CancellationToken,
    draining: CancellationToken,
    frozen: AtomicBool,
    parked: Mutex<Vec<Waker>>,
}

impl Tasks {
    /// Tasks of a process that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a task that may run on any thread.
    pub fn spawn<F>(&self, future: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        drop(tokio::spawn(self.governed(future)));
    }

    /// Starts a task on this thread's `LocalSet`.
    pub fn spawn_local<F>(&self, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        drop(tokio::task::spawn_local(self.governed(future)));
    }

    /// Asks every part to finish what it has and take nothing new.
    pub fn drain(&self) {
        self.shared.draining.cancel();
    }

    /// A drain was asked for.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shared.draining.is_cancelled()
    }

    /// Waits until a drain is asked for.
    pub async fn draining(&self) {
        self.shared.draining.cancelled().await;
    }

    /// Ends every task at its next step, as the death of the process would.
    pub fn kill(&self) {
        self.shared.killed.cancel();
    }

    /// The tasks were ended.
    #[must_use]
    pub fn is_killed(&self) -> bool {
        self.shared.killed.is_cancelled()
    }

    /// Stops every task where it is, as a paused VM would.
    pub fn freeze(&self) {
        self.shared.frozen.store(true, Ordering::SeqCst);
    }

    /// Lets frozen tasks go on.
    pub fn thaw(&self) {
        self.shared.frozen.store(false, Ordering::SeqCst);
        let parked = std::mem::take(&mut *self.lock_parked());
        for waker in parked {
            waker.wake();
        }
    }

    fn governed<F: Future<Output = ()>>(&self, future: F) -> impl Future<Output = ()> + use<F> {
        let tasks = self.clone();
        async move {
            let killed = tasks.shared.killed.clone();
            let governed = Governed {
                tasks,
                future: Box::pin(future),
            };
            _ = killed.run_until_cancelled_owned(governed).await;
        }
    }

    fn lock_parked(&self) -> std::sync::MutexGuard<'_, Vec<Waker>> {
        self.shared
            .parked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A future that is not polled while its process is frozen.
struct Governed<F> {
    tasks: Tasks,
    future: Pin<Box<F>>,
}

impl<F: Future<Output = ()>> Future for Governed<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.tasks.shared.frozen.load(Ordering::SeqCst) {
            self.tasks.lock_parked().push(context.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(context)
    }
}

/// Lets `hyper` start its connection tasks among those of the process.
impl<F> hyper::rt::Executor<F> for Tasks
where
    F: Future<Output = ()> + Send + 'static,
{
    fn execute(&self, future: F) {
        self.spawn(future);
    }
}
