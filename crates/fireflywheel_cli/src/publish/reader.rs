//! Folds the log as any instance does, to learn how a record was judged.

use std::time::Duration;

use fireflywheel::{bootstrap, ledger};
use fireflywheel_daemon::platform;
use tokio::time;

use super::Obstacle;

/// Records asked for at once.
const PAGE: u64 = 500;

/// By how much fewer records are asked for after a failure. The adapter refuses an answer that is too large,
/// which shows as no answer at all: asked again for the same records, it would fail for ever.
const SHRINK: u64 = 8;

/// The wait after a reading that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// How long a reading waits for a record while only a new checkpoint can help.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// Reads and folds a log.
pub struct Reader<'a, L> {
    log: &'a L,
    start: bootstrap::Bootstrap,
    ledger: Option<ledger::Ledger>,
    /// The next offset to read while there is no ledger.
    from: u64,
    /// Records to ask for next.
    max: u64,
    dropped: bool,
}

/// What one reading brought.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Records that were folded.
    pub folded: Vec<ledger::Folded>,
    /// Whether the end of the log was reached, and all of it is folded.
    pub at_end: bool,
}

impl<'a, L> Reader<'a, L>
where
    L: platform::log::Log,
{
    /// A reader that knows nothing yet.
    #[must_use]
    pub fn new(log: &'a L) -> Self {
        Self {
            log,
            start: bootstrap::Bootstrap::new(),
            ledger: None,
            from: 0,
            max: PAGE,
            dropped: false,
        }
    }

    /// The state so far; `None` until the log's beginning or a checkpoint was found.
    #[must_use]
    pub fn ledger(&self) -> Option<&ledger::Ledger> {
        self.ledger.as_ref()
    }

    /// Whether the log dropped records before they were read, so that a judgement may have been missed.
    #[must_use]
    pub fn has_dropped(&self) -> bool {
        self.dropped
    }

    /// Reads until everything in the log is folded.
    ///
    /// # Errors
    ///
    /// [`Obstacle`] when that isn't done by `until`.
    pub async fn catch_up(&mut self, until: time::Instant) -> Result<(), Obstacle> {
        while !self.step(until, Duration::ZERO).await?.at_end {}
        Ok(())
    }

    /// Reads once successfully, waiting up to `wait` for a record when there is none.
    ///
    /// # Errors
    ///
    /// [`Obstacle`] when the log can't be read by `until`, or can't be understood.
    pub async fn step(&mut self, until: time::Instant, wait: Duration) -> Result<Step, Obstacle> {
        let page = self.page(until, wait).await?;
        match self.ledger.take() {
            Some(ledger) => self.fold(ledger, &page),
            None => {
                self.begin(page)?;
                Ok(Step::default())
            }
        }
    }

    async fn page(
        &mut self,
        until: time::Instant,
        wait: Duration,
    ) -> Result<platform::log::Page, Obstacle> {
        let from = self.ledger.as_ref().map_or(self.from, ledger::Ledger::next);
        let lacks_checkpoint = self.ledger.is_none() && self.start.read_from().is_none();
        let wait = if lacks_checkpoint { IDLE_WAIT } else { wait };
        loop {
            let read = time::timeout_at(until, self.log.read(from, self.max, wait)).await;
            self.max = match read {
                Ok(Ok(_)) => PAGE.min(self.max * 2),
                Ok(Err(_)) | Err(_) => (self.max / SHRINK).max(1),
            };
            match read {
                Ok(Ok(page)) => return Ok(page),
                Ok(Err(_)) if time::Instant::now() + PAUSE < until => time::sleep(PAUSE).await,
                Ok(Err(_)) | Err(_) => return Err(self.obstacle()),
            }
        }
    }

    fn obstacle(&self) -> Obstacle {
        match (&self.ledger, self.start.waiting()) {
            (Some(_), _) | (None, bootstrap::Waiting::NoResponse) => Obstacle::Silence,
            (None, waiting) => Obstacle::Start(waiting),
        }
    }

    /// Looks for the state to begin with.
    fn begin(&mut self, page: platform::log::Page) -> Result<(), Obstacle> {
        let last = page.records.last().map(|stored| stored.offset + 1);
        self.from = self.from.max(page.first).max(last.unwrap_or(0));
        self.start.add_records(page.first, page.next, page.records);
        self.ledger = self.start.build_ledger().map_err(halted)?;
        Ok(())
    }

    /// Folds what comes next. When the log dropped records in the meantime, begins anew from a checkpoint.
    fn fold(
        &mut self,
        mut ledger: ledger::Ledger,
        page: &platform::log::Page,
    ) -> Result<Step, Obstacle> {
        let mut step = Step::default();
        if page.first > ledger.next() {
            self.dropped = true;
            self.start = bootstrap::Bootstrap::resume_from(ledger.next());
            self.from = page.first;
            return Ok(step);
        }
        for stored in &page.records {
            step.folded.extend(ledger.fold(stored).map_err(halted)?);
        }
        step.at_end = ledger.next() >= page.next;
        self.ledger = Some(ledger);
        Ok(step)
    }
}

fn halted(halt: ledger::FoldError) -> Obstacle {
    match halt {
        ledger::FoldError::UnsupportedRules(rule) => Obstacle::Rule(rule),
        ledger::FoldError::Gap { .. } => Obstacle::Silence,
    }
}
