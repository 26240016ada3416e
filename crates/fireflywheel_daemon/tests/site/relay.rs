//! A TCP relay that a test places between one daemon and the log, and that can be disconnected.

use std::net::SocketAddr;

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub struct Relay {
    pub address: SocketAddr,
    disconnected: watch::Sender<bool>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (disconnected, receiver) = watch::channel(false);
        tokio::spawn(serve(listener, target, receiver));
        Ok(Self {
            address,
            disconnected,
        })
    }

    /// If `disconnected` is true, closes all connections, and new ones as soon as they are accepted. Otherwise relays
    /// new connections again.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.disconnected.send_replace(disconnected);
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, disconnected: watch::Receiver<bool>) {
    while let Ok((from, _)) = listener.accept().await {
        let mut disconnected = disconnected.clone();
        if *disconnected.borrow() {
            continue;
        }
        tokio::spawn(async move {
            tokio::select! {
                _ = copy_both_ways(from, target) => {}
                _ = disconnected.wait_for(|disconnected| *disconnected) => {}
            }
        });
    }
}

async fn copy_both_ways(mut from: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let mut to = TcpStream::connect(target).await?;
    tokio::io::copy_bidirectional(&mut from, &mut to).await?;
    Ok(())
}
