//! The listening sockets of a sender, for clients and for operators.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::config::{Config, StartError};

/// The bound listeners.
#[derive(Debug)]
pub(super) struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// The address of the listener for clients.
    pub addr: SocketAddr,
    /// For operators, if the configuration has an address for it.
    pub control: Option<TcpListener>,
}

impl Listeners {
    /// Binds the configured addresses. If `inherited` is given, it is used for clients instead.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] with the address that cannot be bound.
    pub async fn bind(config: &Config, inherited: Option<std::net::TcpListener>) -> Result<Self, StartError> {
        let listen_error = |error| StartError::Listen { addr: config.listen, error };
        let clients = match inherited {
            Some(socket) => adopt(socket).map_err(listen_error)?,
            None => bind(config.listen).await?,
        };
        let addr = clients.local_addr().map_err(listen_error)?;
        let control = match config.control {
            Some(addr) => Some(bind(addr).await?),
            None => None,
        };
        Ok(Self { clients, addr, control })
    }
}

fn adopt(socket: std::net::TcpListener) -> std::io::Result<TcpListener> {
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket)
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|error| StartError::Listen { addr, error })
}
