//! HTTP/1.1 for stand-ins: requests with a length or in chunks, answers with a length.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    pub fn json(status: u16, body: String) -> Self {
        Self::new(status)
            .with_header("Content-Type", "application/json")
            .with_body(body.into_bytes())
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// What a handler does with a request: a whole answer, or a stream that it writes itself.
pub enum Reply {
    Whole(Answer),
    /// The handler has written the answer; whether the connection goes on.
    Written(bool),
}

pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: Request, stream: &mut TcpStream) -> Reply;
}

/// A server that can end as a process does: its connections are closed, and further ones are refused.
#[derive(Debug, Default)]
pub struct Server {
    has_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn end(&self, address: SocketAddr) {
        self.has_ended.store(true, Ordering::Relaxed);
        // The thread that accepts connections drops its listener.
        let _ = TcpStream::connect(address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves connections, each in a thread of its own.
pub fn serve<H>(listener: TcpListener, handler: Arc<H>) -> Arc<Server>
where
    H: Handler,
{
    let server = Arc::new(Server::default());
    let accepting = Arc::clone(&server);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if accepting.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Ok(clone) = stream.try_clone() {
                accepting.streams.lock().unwrap().push(clone);
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let closing = stream.try_clone();
                let _ = serve_connection(stream, handler.as_ref());
                if let Ok(closing) = closing {
                    let _ = closing.shutdown(Shutdown::Both);
                }
            });
        }
    });
    server
}

fn serve_connection<H>(stream: TcpStream, handler: &H) -> io::Result<()>
where
    H: Handler,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler.handle(request, &mut writer) {
            Reply::Whole(answer) => write_answer(&mut writer, &answer)?,
            Reply::Written(true) => {}
            Reply::Written(false) => return Ok(()),
        }
    }
    Ok(())
}

fn read_line<R>(reader: &mut R) -> io::Result<Option<String>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers<R>(reader: &mut R) -> io::Result<Vec<(String, String)>>
where
    R: BufRead,
{
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks<R>(reader: &mut R) -> io::Result<Vec<u8>>
where
    R: BufRead,
{
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(body);
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?;
    }
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
}

pub fn read_request<R>(reader: &mut R) -> io::Result<Option<Request>>
where
    R: BufRead,
{
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (method, target) = (words.next(), words.next());
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
    let body = if is_chunked(&headers) {
        read_chunks(reader)?
    } else {
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        body
    };
    Ok(Some(Request {
        method: method.unwrap_or_default().into(),
        target: target.unwrap_or_default().into(),
        headers,
        body,
    }))
}

pub fn write_answer(stream: &mut TcpStream, answer: &Answer) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {} x\r\n", answer.status);
    for (name, value) in &answer.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", answer.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&answer.body);
    stream.write_all(&bytes)
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer(Answer),
    /// The connection ended or failed before a whole answer.
    Broken(String),
    /// The client has given up.
    GaveUp,
}

/// Sends a request over a new connection and reads the whole answer.
pub fn call(address: SocketAddr, request: &Request, limit: Duration) -> Outcome {
    let started = Instant::now();
    match try_call(address, request, limit) {
        Ok(answer) => Outcome::Answer(answer),
        Err(_) if started.elapsed() >= limit => Outcome::GaveUp,
        Err(error) => Outcome::Broken(error.to_string()),
    }
}

fn try_call(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write_request(&mut stream, request)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn write_request(stream: &mut TcpStream, request: &Request) -> io::Result<()> {
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.body.is_empty() || request.method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    stream.write_all(&bytes)
}

pub fn read_answer<R>(reader: &mut R) -> io::Result<Answer>
where
    R: BufRead,
{
    let first = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(reader)?;
    let length: Option<usize> =
        find(&headers, "content-length").and_then(|value| value.parse().ok());
    let mut body = Vec::new();
    if is_chunked(&headers) {
        body = read_chunks(reader)?;
    } else if let Some(length) = length {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if status != 204 && status != 304 {
        reader.read_to_end(&mut body)?;
    }
    Ok(Answer {
        status,
        headers,
        body,
    })
}
