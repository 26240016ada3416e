//! Links: proxies that forward the bytes of connections, and hold back those that a rule names.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Decides for each part that arrives from the connecting side how long it is held back.
pub type Rule = Arc<dyn Fn(&[u8]) -> Duration + Send + Sync>;

/// Starts a link to an address. Returns the address at which it listens.
pub fn start(target: SocketAddr, rule: Rule) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            let rule = Arc::clone(&rule);
            thread::spawn(move || {
                let Ok(far) = TcpStream::connect(target) else {
                    return;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let back = thread::spawn(move || forward(far_reader, near, None));
                forward(near_reader, far, Some(rule));
                let _ = back.join();
            });
        }
    });
    Ok(address)
}

fn forward(mut from: TcpStream, mut to: TcpStream, rule: Option<Rule>) {
    let mut buffer = [0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                if let Some(rule) = &rule {
                    let delay = rule(&buffer[..count]);
                    if !delay.is_zero() {
                        thread::sleep(delay);
                    }
                }
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
