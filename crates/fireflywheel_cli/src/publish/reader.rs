//! Reads and folds the log in the same way as an instance, to determine whether a record was accepted.

use std::time::Duration;

use fireflywheel::{bootstrap, ledger};
use fireflywheel_daemon::platform;
use tokio::time;

use super::Cause;

/// Maximum number of records requested in one read.
const MAX_PAGE_RECORDS: u64 = 500;

/// Factor by which the number of requested records is divided after a failed read. The adapter refuses an
/// answer that is too large, and the reader can't distinguish this from a missing answer. The same request
/// would fail every time.
const PAGE_SHRINK_FACTOR: u64 = 8;

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a read waits for a record while the reader needs a new checkpoint to start from.
const CHECKPOINT_WAIT: Duration = Duration::from_secs(1);

/// Reads and folds a log.
pub struct Reader<'a, L> {
    log: &'a L,
    bootstrap: bootstrap::Bootstrap,
    ledger: Option<ledger::Ledger>,
    /// The next offset to read, as long as there is no ledger.
    from: u64,
    /// The number of records to request in the next read.
    max: u64,
    has_dropped: bool,
}

/// The result of one read.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// The records that were folded.
    pub folded: Vec<ledger::Folded>,
    /// Whether all records up to the end of the log are folded.
    pub at_end: bool,
}

impl<'a, L> Reader<'a, L>
where
    L: platform::log::Log,
{
    /// Creates a reader without a state.
    #[must_use]
    pub fn new(log: &'a L) -> Self {
        Self {
            log,
            bootstrap: bootstrap::Bootstrap::new(),
            ledger: None,
            from: 0,
            max: MAX_PAGE_RECORDS,
            has_dropped: false,
        }
    }

    /// Returns the current state, or `None` until the reader has found the beginning of the log or a
    /// checkpoint.
    #[must_use]
    pub fn ledger(&self) -> Option<&ledger::Ledger> {
        self.ledger.as_ref()
    }

    /// Returns whether the log dropped records before they were read, so that a decision may have been
    /// missed.
    #[must_use]
    pub fn has_dropped(&self) -> bool {
        self.has_dropped
    }

    /// Reads until all records in the log are folded.
    ///
    /// # Errors
    ///
    /// Returns the [`Cause`] if this is not complete by `deadline`.
    pub async fn catch_up(&mut self, deadline: time::Instant) -> Result<(), Cause> {
        while !self.step(deadline, Duration::ZERO).await?.at_end {}
        Ok(())
    }

    /// Reads one page, repeating failed reads. Waits up to `wait` for a record if there is none.
    ///
    /// # Errors
    ///
    /// Returns the [`Cause`] if the log can't be read by `deadline` or contains records that can't be folded.
    pub async fn step(&mut self, deadline: time::Instant, wait: Duration) -> Result<Step, Cause> {
        let page = self.read_page(deadline, wait).await?;
        match self.ledger.take() {
            Some(ledger) => self.fold(ledger, &page),
            None => {
                self.add_to_bootstrap(page)?;
                Ok(Step::default())
            }
        }
    }

    async fn read_page(
        &mut self,
        deadline: time::Instant,
        wait: Duration,
    ) -> Result<platform::log::Page, Cause> {
        let from = self.ledger.as_ref().map_or(self.from, ledger::Ledger::next);
        let lacks_checkpoint = self.ledger.is_none() && self.bootstrap.read_from().is_none();
        let wait = if lacks_checkpoint {
            CHECKPOINT_WAIT
        } else {
            wait
        };
        loop {
            let read = time::timeout_at(deadline, self.log.read(from, self.max, wait)).await;
            self.max = match read {
                Ok(Ok(_)) => MAX_PAGE_RECORDS.min(self.max * 2),
                Ok(Err(_)) | Err(_) => (self.max / PAGE_SHRINK_FACTOR).max(1),
            };
            match read {
                Ok(Ok(page)) => return Ok(page),
                Ok(Err(_)) if time::Instant::now() + RETRY_DELAY < deadline => {
                    time::sleep(RETRY_DELAY).await;
                }
                Ok(Err(_)) | Err(_) => return Err(self.cause()),
            }
        }
    }

    fn cause(&self) -> Cause {
        match (&self.ledger, self.bootstrap.status()) {
            (Some(_), _) | (None, bootstrap::Status::NoResponse) => Cause::NoResponse,
            (None, waiting) => Cause::NoState(waiting),
        }
    }

    /// Adds a page to the bootstrap and builds the ledger if the records suffice.
    fn add_to_bootstrap(&mut self, page: platform::log::Page) -> Result<(), Cause> {
        let last = page.records.last().map(|stored| stored.offset + 1);
        self.from = self.from.max(page.first).max(last.unwrap_or(0));
        self.bootstrap
            .add_records(page.first, page.next, page.records);
        self.ledger = self.bootstrap.build_ledger().map_err(fold_failure_cause)?;
        Ok(())
    }

    /// Folds a page. If the log dropped the next records before they were read, starts again from a
    /// checkpoint.
    fn fold(
        &mut self,
        mut ledger: ledger::Ledger,
        page: &platform::log::Page,
    ) -> Result<Step, Cause> {
        let mut step = Step::default();
        if page.first > ledger.next() {
            self.has_dropped = true;
            self.bootstrap = bootstrap::Bootstrap::resume_from(ledger.next());
            self.from = page.first;
            return Ok(step);
        }
        for stored in &page.records {
            step.folded
                .extend(ledger.fold(stored).map_err(fold_failure_cause)?);
        }
        step.at_end = ledger.next() >= page.next;
        self.ledger = Some(ledger);
        Ok(step)
    }
}

fn fold_failure_cause(error: ledger::FoldError) -> Cause {
    match error {
        ledger::FoldError::UnsupportedRules(rule) => Cause::UnsupportedRules(rule),
        ledger::FoldError::Gap { .. } => Cause::NoResponse,
    }
}
