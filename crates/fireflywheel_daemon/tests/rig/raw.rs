//! A minimal HTTP client on a plain socket, for requests that an HTTP library would not send.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// The time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// All that was received until the connection was closed.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    fn parse(text: &str) -> Self {
        let (head, body) = text.split_once("\r\n\r\n").expect("a complete head");
        let status = head.split(' ').nth(1).expect("a status line");
        Self {
            status: status.parse().expect("a status"),
            head: head.to_ascii_lowercase(),
            body: body.to_owned(),
        }
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(header, _)| *header == name)
            .map(|(_, value)| value)
    }

    /// Returns a member of the error object in the body.
    pub fn error(&self, member: &str) -> String {
        let body: Value = serde_json::from_str(&self.body).expect("a JSON body");
        body["error"][member].as_str().expect("a text").to_owned()
    }
}

/// Reads an answer until the server closes the connection.
pub async fn read(mut stream: TcpStream) -> Reply {
    let mut bytes = Vec::new();
    tokio::time::timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .expect("the answer ends")
        .expect("the answer is readable");
    Reply::parse(&String::from_utf8_lossy(&bytes))
}

/// Sends bytes on a new connection and reads the answer.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the daemon listens");
    stream.write_all(bytes).await.expect("the daemon reads");
    read(stream).await
}

/// Returns a request that asks to close its connection.
pub fn request(line: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let headers: String = headers
        .iter()
        .map(|header| format!("{header}\r\n"))
        .collect();
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: door\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}
