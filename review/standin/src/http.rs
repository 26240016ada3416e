//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// The headers, with names in lowercase.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line with this index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.word(1).split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A connection that is read through a buffer.
pub type Reader = BufReader<TcpStream>;

/// Opens a connection.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Reader> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(BufReader::new(stream))
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut Reader) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut head = Head {
        line: line.trim_end().to_owned(),
        ..Head::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(pair);
        }
    }
}

/// Reads a body that states its length or is sent in chunks.
pub fn read_body(reader: &mut Reader, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length");
    body.resize(length.and_then(|text| text.parse().ok()).unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a message.
pub fn write(reader: &mut Reader, line: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{line}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    bytes.reserve(body.len());
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    reader.get_mut().write_all(&bytes)
}
