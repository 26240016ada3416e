//! How requests get from this instance to backend servers.

use std::net::SocketAddr;

use bytes::Bytes;
use fireflywheel::fleet::announcement::Process;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::Node;
use crate::fleet::{platform, pool};

impl<P> Node<P>
where
    P: platform::Platform,
{
    /// Sends a request, an order or a request for a report to a process, with at most `connections` connections to it. All
    /// that is sent to backend servers goes this way.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn send_to(
        &self,
        process: &Process,
        address: SocketAddr,
        connections: usize,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, pool::Connection), pool::Error> {
        let network = self.platform.network();
        let connecting = self.pool.connect(network, self.now(), address, connections);
        let connection = connecting.await?;
        // An answer may have come while the connection was opened.
        if !self.may_send(process) {
            self.pool.release(self.now(), connection, None);
            return Err(pool::Error::Withheld);
        }
        connection.send(request).await
    }

    /// Whether a process may be sent a request, an order or a request for a report now.
    fn may_send(&self, process: &Process) -> bool {
        let now = self.now();
        let Process { server, started_ms } = process;
        let announcements = &self.lock().announcements;
        !announcements.is_leaving(server, *started_ms)
            && announcements
                .rests_until(now, server, *started_ms)
                .is_none()
    }
}
