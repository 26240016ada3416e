//! Streamed answers, which are checked event by event.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::answer;
use fireflywheel::ending::Ending;
use hyper::body::Incoming;
use hyper::{HeaderMap, Response};
use tokio::time;

use super::{Failure, end_to_end_headers};
use crate::{client, received};

/// The time within which a stream must end after its end marker.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A streamed answer of a model engine.
#[derive(Debug)]
pub struct Stream {
    headers: HeaderMap,
    body: received::Body,
    checker: answer::StreamChecker,
    checked: VecDeque<answer::Event>,
}

impl Stream {
    /// Creates the stream of the request `id`; `resume` is the number of events after which it was resumed.
    pub(super) fn new(answer: Response<Incoming>, id: &str, resume: Option<u64>) -> Self {
        let (head, body) = received::Body::split(answer);
        Self {
            headers: end_to_end_headers(&head.headers),
            body,
            checker: answer::StreamChecker::new(id).with_resume(resume.unwrap_or_default()),
            checked: VecDeque::new(),
        }
    }

    /// Returns the end-to-end headers of the answer.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Waits for the next event and checks it. Must not be called after [`answer::Event::End`].
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] when the stream is truncated or flawed, or belongs to another request.
    pub async fn next(&mut self) -> Result<answer::Event, Failure> {
        loop {
            if let Some(event) = self.checked.pop_front() {
                return Ok(event);
            }
            let bytes = self.read().await?;
            self.checked.extend(self.checker.push(&bytes)?);
        }
    }

    /// Reads the rest of a stream after its end marker, so that its connection can be reused.
    pub fn release(mut self) {
        tokio::spawn(time::timeout(RELEASE_TIMEOUT, async move {
            while let received::Part::Data(_) = self.body.next().await {}
        }));
    }

    async fn read(&mut self) -> Result<Bytes, Failure> {
        match self.body.next().await {
            received::Part::Data(bytes) => Ok(bytes),
            received::Part::End(Ending::BrokenOff(_)) => Err(client::Error::Lost.into()),
            received::Part::End(Ending::Complete | Ending::Unstated) => {
                // The stream ended without its end marker; otherwise `next` would have returned the marker.
                self.checker.end()?;
                Err(answer::Flaw::Truncated.into())
            }
        }
    }
}

/// Encodes an event as a server-sent event.
#[must_use]
pub fn encode(event: &answer::Event) -> Bytes {
    let data = match event {
        answer::Event::Chunk(data) => data.as_str(),
        answer::Event::End => answer::END_MARKER,
    };
    // Data with line breaks takes one `data` field per line.
    format!("data: {}\n\n", data.replace('\n', "\ndata: ")).into()
}
