//! Doors: listening sockets that enforce limits before a request is parsed.

mod body;
mod gate;
mod held;

use std::convert::Infallible;
use std::future::{self, Future};
use std::pin;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::ending::Framing;
use fireflywheel::settings;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode, Version, body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time;

pub use body::{Aborted, Body, BodyDropped, Sender};
pub use gate::Violation;
pub use held::{Hold, Memory};

use crate::errors;

/// How many connections over the limit receive an error answer at the same time; further ones are dropped.
const MAX_REFUSALS: usize = 64;
/// How long a client may go on sending after its connection was shut down here, so that it can read the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How much the client may send in this time, in bytes.
const MAX_LINGER_BYTES: u64 = 4 << 20;
/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Additional buffer space for data that follows a head, in bytes.
const BUFFER_MARGIN_BYTES: usize = 4096;
/// The delay after the system failed to accept a connection, such as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An HTTP service behind a door.
pub trait Service: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the client's connection ends.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A listening socket with connection limits.
#[derive(Debug)]
pub struct Door {
    listener: TcpListener,
    limits: settings::Limits,
    stop: watch::Receiver<bool>,
}

impl Door {
    /// Creates a door on `listener` that closes when `stop` becomes true.
    #[must_use]
    pub fn new(
        listener: TcpListener,
        limits: settings::Limits,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self {
            listener,
            limits,
            stop,
        }
    }

    /// Serves until `stop` becomes true, then waits for the requests in progress. Dropping the future cuts them
    /// off.
    pub async fn serve<S>(mut self, service: Arc<S>)
    where
        S: Service,
    {
        let slots = Arc::new(Semaphore::new(self.limits.max_connections));
        let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = wait_for_stop(&mut self.stop) => break,
            };
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = accepted else {
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Without Nagle's algorithm, small answers and stream events are sent at once.
            let _ = stream.set_nodelay(true);
            if let Ok(slot) = Arc::clone(&slots).try_acquire_owned() {
                let connection =
                    serve_connection(stream, self.limits, self.stop.clone(), Arc::clone(&service));
                connections.spawn(async move {
                    connection.await;
                    drop(slot);
                });
            } else if let Ok(slot) = Arc::clone(&refusals).try_acquire_owned() {
                connections.spawn(async move {
                    refuse(stream).await;
                    drop(slot);
                });
            }
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }
}

/// Waits until `stop` is true or its sender is dropped.
pub async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which counts as a stop.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn refuse(stream: TcpStream) {
    let problem = errors::Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "too_many_connections",
        "this instance holds as many connections as it takes",
    )
    .with_retry_after(Duration::from_secs(1));
    send_and_close(stream, &problem).await;
}

async fn serve_connection<S>(
    stream: TcpStream,
    limits: settings::Limits,
    mut stop: watch::Receiver<bool>,
    service: Arc<S>,
) where
    S: Service,
{
    let requests = Arc::new(gate::Requests::default());
    let gate_limits = gate::Limits {
        header_bytes: limits.header_bytes,
        idle_timeout: limits.idle_timeout,
    };
    let gate = gate::Gate::new(stream, gate_limits, Arc::clone(&requests));
    let handler = service::service_fn(move |request| {
        let service = Arc::clone(&service);
        let requests = Arc::clone(&requests);
        requests.count_begun();
        Box::pin(async move {
            let mut answer = service.answer(request).await;
            if answer.body().framing() == Framing::UntilClose {
                end_with_connection(&mut answer);
            }
            Ok::<_, Infallible>(answer.map(|body| body::Tracked::new(body, requests)))
        })
    });
    let mut connection = http_builder(&limits).serve_connection(TokioIo::new(gate), handler);
    let mut stopping = false;
    loop {
        tokio::select! {
            // An error means that the client disconnected or exceeded a limit, which the gate records.
            _ = future::poll_fn(|context| connection.poll_without_shutdown(context)) => break,
            () = wait_for_stop(&mut stop), if !stopping => {
                stopping = true;
                pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    }
    let mut gate = connection.into_parts().io.into_inner();
    gate.update_reset_on_close();
    if gate.resets_on_close() {
        return;
    }
    match gate.violation() {
        None => close(gate.into_inner()).await,
        Some(violation) => {
            if let Some(problem) = violation.problem() {
                send_and_close(gate.into_inner(), &problem).await;
            }
        }
    }
}

/// Makes an answer state neither a length nor chunks. The HTTP library chunks a body of unknown length in all answers but
/// those of HTTP/1.0.
fn end_with_connection(answer: &mut Response<Body>) {
    *answer.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
}

fn http_builder(limits: &settings::Limits) -> http1::Builder {
    let mut http_builder = http1::Builder::new();
    http_builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + gate::KEEP_ALIVE)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES) + BUFFER_MARGIN_BYTES);
    http_builder
}

async fn send_and_close(mut stream: TcpStream, problem: &errors::Problem) {
    let written = time::timeout(LINGER_TIMEOUT, stream.write_all(&problem.raw())).await;
    if matches!(written, Ok(Ok(()))) {
        close(stream).await;
    }
}

// Closing a socket with unread bytes resets the connection, and the reset can arrive before the answer: a
// client that sends too large a body would see a connection reset instead of the 413. So incoming bytes are
// read and discarded for a limited time.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = stream.take(MAX_LINGER_BYTES);
    let _ = time::timeout(LINGER_TIMEOUT, async {
        let mut buffer = [0; 4096];
        while matches!(rest.read(&mut buffer).await, Ok(count) if count > 0) {}
    })
    .await;
}
