//! The listening sockets of a sender: one for clients, and optionally one for operators.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::config::{Config, StartError};

/// The bound listeners.
#[derive(Debug)]
pub(super) struct Listeners {
    /// The listener for clients.
    pub clients: TcpListener,
    /// The local address of the listener for clients.
    pub addr: SocketAddr,
    /// The listener for operators; `None` if no address is configured for it.
    pub control: Option<TcpListener>,
}

impl Listeners {
    /// Binds the configured addresses. An `inherited` socket is used for clients instead of the configured address.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] with the configured address if a socket cannot be bound or used.
    pub async fn bind(config: &Config, inherited: Option<std::net::TcpListener>) -> Result<Self, StartError> {
        let listen_error = |error| StartError::Listen { addr: config.listen, error };
        let clients = match inherited {
            Some(socket) => from_inherited_socket(socket).map_err(listen_error)?,
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

/// Converts a socket that this process has inherited to a non-blocking listener.
fn from_inherited_socket(socket: std::net::TcpListener) -> std::io::Result<TcpListener> {
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket)
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|error| StartError::Listen { addr, error })
}
