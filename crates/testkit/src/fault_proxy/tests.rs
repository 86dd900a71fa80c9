//! Tests of each fault on connections over loopback.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use super::{Fault, FaultProxy};

/// A proxy with a fault, and both ends of a connection through it: the client's and the server's.
async fn connect_through_proxy(fault: Fault) -> (FaultProxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = FaultProxy::start(listener.local_addr().expect("an address")).await.expect("a proxy");
    proxy.set(fault);
    let client = TcpStream::connect(proxy.addr()).await.expect("a connection");
    let (server, _) = listener.accept().await.expect("a connection from the proxy");
    (proxy, client, server)
}

async fn read(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; 64];
    let len = timeout(Duration::from_secs(20), stream.read(&mut bytes))
        .await
        .expect("bytes, an end or a reset within 20 s")?;
    bytes.truncate(len);
    Ok(bytes)
}

#[tokio::test]
async fn bytes_are_forwarded_in_both_directions_with_the_delay() {
    let (_proxy, mut client, mut server) =
        connect_through_proxy(Fault { delay: Duration::from_millis(30), ..Fault::default() }).await;
    let start = Instant::now();
    client.write_all(b"ping").await.expect("writable");
    assert_eq!(read(&mut server).await.expect("forwarded"), b"ping");
    assert!(start.elapsed() >= Duration::from_millis(30));
    server.write_all(b"pong").await.expect("writable");
    assert_eq!(read(&mut client).await.expect("forwarded"), b"pong");
    drop(client);
    assert_eq!(read(&mut server).await.expect("an end"), b"");
}

#[tokio::test]
async fn connections_are_cut_or_half_closed_after_a_number_of_bytes() {
    let (_proxy, mut client, mut server) =
        connect_through_proxy(Fault { cut_after: Some(3), ..Fault::default() }).await;
    client.write_all(b"12345").await.expect("writable");
    // A reset may overtake the bytes that were forwarded before it.
    assert!(
        read(&mut server).await.is_ok_and(|bytes| bytes == b"123") || server.read(&mut [0]).await.is_err()
    );
    assert!(read(&mut client).await.is_err());
    let (_proxy, mut client, mut server) =
        connect_through_proxy(Fault { half_close_after: Some(3), ..Fault::default() }).await;
    client.write_all(b"12345").await.expect("writable");
    assert_eq!(read(&mut server).await.expect("forwarded"), b"123");
    assert_eq!(read(&mut server).await.expect("an end"), b"");
    server.write_all(b"late").await.expect("writable");
    assert_eq!(read(&mut client).await.expect("the direction to the client stays open"), b"late");
}

#[tokio::test]
async fn responses_or_all_bytes_are_lost_without_an_error() {
    let (proxy, mut client, mut server) =
        connect_through_proxy(Fault { lose_responses: true, ..Fault::default() }).await;
    client.write_all(b"ping").await.expect("writable");
    assert_eq!(read(&mut server).await.expect("the direction to the server stays open"), b"ping");
    server.write_all(b"pong").await.expect("writable");
    assert!(timeout(Duration::from_millis(100), client.read(&mut [0])).await.is_err());
    proxy.set(Fault::default());
    assert!(
        read(&mut client).await.is_err(),
        "the connection is reset, because it cannot continue without the lost bytes"
    );
    let (proxy, mut client, mut server) =
        connect_through_proxy(Fault { black_hole: true, ..Fault::default() }).await;
    client.write_all(b"ping").await.expect("writable");
    assert!(timeout(Duration::from_millis(100), server.read(&mut [0])).await.is_err());
    proxy.reset();
    assert!(read(&mut server).await.is_err());
}

#[tokio::test]
async fn trickled_bytes_are_forwarded_one_at_a_time() {
    let pause = Duration::from_millis(5);
    let (_proxy, mut client, mut server) =
        connect_through_proxy(Fault { trickle: Some(pause), ..Fault::default() }).await;
    client.write_all(b"1234").await.expect("writable");
    let start = Instant::now();
    let mut received = Vec::new();
    while received.len() < 4 {
        received.extend(read(&mut server).await.expect("forwarded"));
    }
    assert_eq!(received, b"1234");
    assert!(start.elapsed() >= pause * 2);
}
