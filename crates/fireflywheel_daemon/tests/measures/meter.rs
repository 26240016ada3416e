//! Measures the processor time and memory of a process, and the bytes on the connections to a server.
#![allow(missing_docs, reason = "a part of one test")]

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use fireflywheel_standin::process::Child;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, tcp},
};

/// A TCP relay to a server that counts the bytes in both directions.
pub struct Meter {
    pub address: std::net::SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Meter {
    pub async fn start(target: std::net::SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(serve(listener, target, Arc::clone(&bytes)));
        Ok(Self { address, bytes })
    }

    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn serve(listener: TcpListener, target: std::net::SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((from, _)) = listener.accept().await {
        let Ok(to) = TcpStream::connect(target).await else {
            continue;
        };
        let (from_read, from_write) = from.into_split();
        let (to_read, to_write) = to.into_split();
        tokio::spawn(copy_and_count(from_read, to_write, Arc::clone(&bytes)));
        tokio::spawn(copy_and_count(to_read, from_write, Arc::clone(&bytes)));
    }
}

async fn copy_and_count(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Returns the processor time that a process has used, in milliseconds.
pub fn processor_ms(child: &Child) -> u64 {
    const TICK_MS: u64 = 10;
    let text = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    // The process name in parentheses may contain spaces.
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<u64>().ok())
    };
    (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)) * TICK_MS
}

/// Returns the resident memory of a process, in KB.
pub fn resident_kb(child: &Child) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
