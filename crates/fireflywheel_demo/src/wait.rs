//! Waits for conditions with a time limit, and reports the condition when the time runs out.

use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The current step of the demo, which is reported when the time limit is exceeded.
#[derive(Debug)]
pub struct Step {
    start: time::Instant,
    current: Mutex<&'static str>,
}

impl Default for Step {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            current: Mutex::new("not begun"),
        }
    }
}

impl Step {
    /// Starts a step, and prints it with the time since the start.
    pub fn begin(&self, what: &'static str) {
        eprintln!("{:6.2} s  {what}", self.start.elapsed().as_secs_f64());
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = what;
    }

    /// Returns the step that was started last.
    #[must_use]
    pub fn current(&self) -> &'static str {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Repeats a check until it returns a value, and returns this value.
///
/// # Errors
///
/// When the check returns no value within `limit`.
pub async fn until<C, F, T>(what: &str, limit: Duration, mut check: C) -> anyhow::Result<T>
where
    C: FnMut() -> F,
    F: Future<Output = Option<T>>,
{
    let polling = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(limit, polling)
        .await
        .map_err(|_| anyhow::anyhow!("waited {} s in vain for {what}", limit.as_secs_f64()))
}
