//! Counts the bytes that an instance holds for callers and backend servers, as decided by
//! [`fireflywheel::fleet::held_bytes`].

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use fireflywheel::fleet::held_bytes::{Budget, Grant, Key, Use};
use futures_util::task::AtomicWaker;
use tokio::time;

use crate::clock::Clock;

/// Interval at which an answer asks for room again while there is none.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// All bytes that the process holds.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    evictions: HashMap<Key, Arc<Eviction>>,
    evicted: u64,
}

/// Whether an answer has to be given up because its reader is slow.
#[derive(Debug, Default)]
struct Eviction {
    is_due: AtomicBool,
    waker: AtomicWaker,
}

/// The bytes of one request or answer, which are released when it is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Memory,
    key: Key,
    eviction: Arc<Eviction>,
}

/// Bytes of an answer that its reader has not taken yet.
#[derive(Debug)]
pub(super) struct Unread {
    hold: Arc<Hold>,
    bytes: u64,
}

impl Memory {
    /// Creates an account for a process with this much memory in bytes; without a bound if it isn't known.
    #[must_use]
    pub fn new(clock: Clock, memory_bytes: Option<u64>) -> Self {
        let state = State {
            budget: Budget::new(memory_bytes),
            evictions: HashMap::new(),
            evicted: 0,
        };
        Self(Arc::new(Shared {
            clock,
            state: Mutex::new(state),
        }))
    }

    /// Opens an account for a request or an answer.
    #[must_use]
    pub fn open(&self, usage: Use) -> Hold {
        let eviction = Arc::new(Eviction::default());
        let mut state = self.lock();
        let key = state.budget.open(self.0.clock.now(), usage);
        state.evictions.insert(key, Arc::clone(&eviction));
        drop(state);
        Hold {
            memory: self.clone(),
            key,
            eviction,
        }
    }

    /// The bytes that are held, and the number of answers that were given up because of slow readers.
    #[must_use]
    pub fn figures(&self) -> (u64, u64) {
        let state = self.lock();
        (state.budget.held(), state.evicted)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("the lock is not poisoned")
    }
}

impl Hold {
    /// Adds bytes if there is room for them. For an answer, the slowest reader of others loses its own if there is not.
    #[must_use]
    pub fn try_add(&self, bytes: usize) -> bool {
        let now = self.memory.0.clock.now();
        let mut state = self.memory.lock();
        match state.budget.add(now, self.key, bytes as u64) {
            Grant::Granted => true,
            Grant::Denied => false,
            Grant::Evict(slowest) => {
                state.evicted += 1;
                log::info!(held_bytes = state.budget.held(); "answer of a slow reader given up for want of memory");
                if let Some(eviction) = state.evictions.get(&slowest) {
                    eviction.is_due.store(true, Ordering::Release);
                    eviction.waker.wake();
                }
                false
            }
        }
    }

    /// Adds bytes of an answer as soon as there is room for them.
    pub async fn add(&self, bytes: usize) {
        while !self.try_add(bytes) {
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Is ready once the answer has to be given up.
    pub(super) fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<()> {
        self.eviction.waker.register(context.waker());
        match self.eviction.is_due.load(Ordering::Acquire) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    fn remove(&self, bytes: u64) {
        let now = self.memory.0.clock.now();
        self.memory.lock().budget.remove(now, self.key, bytes);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.close(self.key);
        state.evictions.remove(&self.key);
    }
}

impl Unread {
    pub(super) fn new(hold: &Arc<Hold>, bytes: usize) -> Self {
        Self {
            hold: Arc::clone(hold),
            bytes: bytes as u64,
        }
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        self.hold.remove(self.bytes);
    }
}
