//! Tests of each fault on connections over loopback.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use super::{Fault, FaultProxy};

async fn pair(fault: Fault) -> (FaultProxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = FaultProxy::start(listener.local_addr().expect("an address")).await.expect("a proxy");
    proxy.set(fault);
    let near = TcpStream::connect(proxy.addr()).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("the other end");
    (proxy, near, far)
}

async fn read(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; 64];
    let n = timeout(Duration::from_secs(20), stream.read(&mut bytes)).await.expect("in time")?;
    bytes.truncate(n);
    Ok(bytes)
}

#[tokio::test]
async fn data_is_carried_both_ways_with_the_delay() {
    let (_proxy, mut near, mut far) =
        pair(Fault { delay: Duration::from_millis(30), ..Fault::default() }).await;
    let since = Instant::now();
    near.write_all(b"ping").await.expect("writable");
    assert_eq!(read(&mut far).await.expect("carried"), b"ping");
    assert!(since.elapsed() >= Duration::from_millis(30));
    far.write_all(b"pong").await.expect("writable");
    assert_eq!(read(&mut near).await.expect("carried"), b"pong");
    drop(near);
    assert_eq!(read(&mut far).await.expect("an end"), b"");
}

#[tokio::test]
async fn connections_are_cut_or_half_closed_after_a_number_of_bytes() {
    let (_proxy, mut near, mut far) = pair(Fault { cut_after: Some(3), ..Fault::default() }).await;
    near.write_all(b"12345").await.expect("writable");
    // A reset may overtake what was carried before it.
    assert!(read(&mut far).await.is_ok_and(|b| b == b"123") || far.read(&mut [0]).await.is_err());
    assert!(read(&mut near).await.is_err());
    let (_proxy, mut near, mut far) = pair(Fault { half_close_after: Some(3), ..Fault::default() }).await;
    near.write_all(b"12345").await.expect("writable");
    assert_eq!(read(&mut far).await.expect("carried"), b"123");
    assert_eq!(read(&mut far).await.expect("an end"), b"");
    far.write_all(b"late").await.expect("writable");
    assert_eq!(read(&mut near).await.expect("the other way goes on"), b"late");
}

#[tokio::test]
async fn responses_or_everything_are_lost_without_an_error() {
    let (proxy, mut near, mut far) = pair(Fault { lose_responses: true, ..Fault::default() }).await;
    near.write_all(b"ping").await.expect("writable");
    assert_eq!(read(&mut far).await.expect("forth goes on"), b"ping");
    far.write_all(b"pong").await.expect("writable");
    assert!(timeout(Duration::from_millis(100), near.read(&mut [0])).await.is_err());
    proxy.set(Fault::default());
    assert!(read(&mut near).await.is_err(), "what was lost is missing: the connection cannot go on");
    let (proxy, mut near, mut far) = pair(Fault { black_hole: true, ..Fault::default() }).await;
    near.write_all(b"ping").await.expect("writable");
    assert!(timeout(Duration::from_millis(100), far.read(&mut [0])).await.is_err());
    proxy.reset();
    assert!(read(&mut far).await.is_err());
}

#[tokio::test]
async fn data_trickles_byte_by_byte() {
    let pause = Duration::from_millis(5);
    let (_proxy, mut near, mut far) = pair(Fault { trickle: Some(pause), ..Fault::default() }).await;
    near.write_all(b"1234").await.expect("writable");
    let since = Instant::now();
    let mut all = Vec::new();
    while all.len() < 4 {
        all.extend(read(&mut far).await.expect("carried"));
    }
    assert_eq!(all, b"1234");
    assert!(since.elapsed() >= pause * 2);
}
