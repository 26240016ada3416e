//! A streamed answer, checked event by event.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::answer;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::{HeaderMap, Response};
use tokio::time;

use super::{Failure, passed_on};
use crate::client;

/// How long a stream may take to end after its end marker.
const RELEASE_WAIT: Duration = Duration::from_secs(1);

/// A streamed answer of a model engine.
#[derive(Debug)]
pub struct Stream {
    headers: HeaderMap,
    body: Incoming,
    check: answer::StreamChecker,
    ready: VecDeque<answer::Event>,
}

impl Stream {
    /// The stream of the request `id`, perhaps resumed after so many events.
    pub(super) fn new(answer: Response<Incoming>, id: &str, resume: Option<u64>) -> Self {
        let (head, body) = answer.into_parts();
        Self {
            headers: passed_on(&head.headers),
            body,
            check: answer::StreamChecker::new(id).with_resume(resume.unwrap_or_default()),
            ready: VecDeque::new(),
        }
    }

    /// Headers that may be handed on.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// The next event, once it was checked. Nothing is to be read after [`answer::Event::End`].
    ///
    /// # Errors
    ///
    /// [`Failure`] when the stream broke off or isn't the request's own.
    pub async fn next(&mut self) -> Result<answer::Event, Failure> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            let bytes = self.read().await?;
            self.ready.extend(self.check.push(&bytes)?);
        }
    }

    /// Lets go of a stream whose end marker came: once its last bytes are read, the connection can be used
    /// again.
    pub fn release(mut self) {
        tokio::spawn(time::timeout(RELEASE_WAIT, async move {
            while let Some(Ok(_)) = self.body.frame().await {}
        }));
    }

    async fn read(&mut self) -> Result<Bytes, Failure> {
        match self.body.frame().await {
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Err(client::Fault::Lost.into()),
            None => {
                // Ended without its marker, or the marker would have been returned before.
                self.check.end()?;
                Err(answer::Flaw::Truncated.into())
            }
        }
    }
}

/// An event as it goes over the wire.
#[must_use]
pub fn encode(event: &answer::Event) -> Bytes {
    let data = match event {
        answer::Event::Chunk(data) => data.as_str(),
        answer::Event::End => answer::END_MARKER,
    };
    // Data with line ends takes one field a line.
    format!("data: {}\n\n", data.replace('\n', "\ndata: ")).into()
}
