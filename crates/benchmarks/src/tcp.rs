//! TCP connections to fakes.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;

/// Opens a TCP connection without delayed sends.
///
/// # Errors
///
/// If the connection cannot be opened.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
