//! Bytes that are received at the moment at which a connection is closed.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::super::shutdown::{LAST_ACCEPT_GRACE, LAST_RESPONSE_TIMEOUT};
use super::{InboundTest, MAX_CONNECTIONS, READY, REQUEST, TEST_TIMEOUT, freeze_clock, read_status, until};
use crate::admission_state::AdmissionState;
use crate::connection_slots::ConnectionId;
use crate::graceful_close;

#[tokio::test]
async fn a_request_received_on_an_idle_connection_at_the_moment_of_sigterm_is_answered() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let (mut client, id) = setup.connect_idle().await;
        setup.write_unnoticed(&client, id, REQUEST);
        setup.admission_state.send_replace(AdmissionState::Stopping);
        setup.expect_accepted(&mut client).await;
        assert_eq!(client.read(&mut [0; 1]).await.expect("no reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// Two connections may be idle: the third response would close the longest idle one, on which bytes have been received.
#[tokio::test]
async fn a_request_received_as_its_connection_would_be_closed_for_another_idle_one_is_answered() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let (mut first, first_id) = setup.connect_idle().await;
        let (mut second, _) = setup.connect_idle().await;
        let third = setup.connect().await;
        until(|| setup.inbound.connections.borrow().len() >= 3).await;
        setup.write_unnoticed(&third, ConnectionId(2), READY);
        setup.write_unnoticed(&first, first_id, REQUEST);
        setup.expect_accepted(&mut first).await;
        assert_eq!(second.read(&mut [0; 1]).await.expect("no reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// All slots are taken by clients without a request, and the oldest sends one as another client connects.
#[tokio::test]
async fn a_request_received_as_its_connection_would_be_evicted_for_a_newcomer_is_answered() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let mut clients = Vec::new();
        while clients.len() < MAX_CONNECTIONS {
            clients.push(setup.connect().await);
        }
        until(|| setup.inbound.connections.borrow().len() >= MAX_CONNECTIONS).await;
        let _newcomer = std::net::TcpStream::connect(setup.addr).expect("a connection");
        setup.write_unnoticed(&clients[0], ConnectionId(0), REQUEST);
        setup.expect_accepted(&mut clients[0]).await;
        assert_eq!(clients[1].read(&mut [0; 1]).await.expect("no reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// A rejected body is still read: closing a socket with unread bytes would reset the connection and lose the response.
#[tokio::test]
async fn a_response_ahead_of_the_rest_of_its_request_is_followed_by_a_close_without_reset() {
    let test = async {
        let setup = InboundTest::set_up().await;
        let mut client = setup.connect().await;
        let head = "POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n";
        client.write_all(head.as_bytes()).await.expect("writable");
        let (mut reader, mut writer) = client.split();
        let mut received = Vec::new();
        let body = vec![b'x'; 200_000];
        let both = async { tokio::join!(reader.read_to_end(&mut received), writer.write_all(&body)) };
        let (read, written) = timeout(TEST_TIMEOUT, both).await.expect("in time");
        assert!(read.is_ok() && written.is_ok(), "{read:?}, {written:?}");
        assert!(received.starts_with(b"HTTP/1.1 413"), "{}", String::from_utf8_lossy(&received));
        // Bytes that the client sends before it detects the close are read as well.
        writer.write_all(REQUEST).await.expect("no reset");
        writer.shutdown().await.expect("no reset");
        until(|| setup.inbound.connections.borrow().is_empty()).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Clients whose connections are being closed do not close their side.
#[tokio::test(start_paused = true)]
async fn connections_that_close_slowly_keep_their_slots_until_the_timeout_or_until_others_need_them() {
    let test = async {
        let _frozen = freeze_clock();
        let setup = InboundTest::set_up().await;
        let mut slow = Vec::new();
        while slow.len() < MAX_CONNECTIONS {
            let mut client = setup.connect().await;
            client.write_all(b"PUT / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("writable");
            assert_eq!(read_status(&mut client).await, 405);
            slow.push(client);
        }
        let (_newcomer, id) = setup.connect_idle().await;
        let open =
            |setup: &InboundTest| setup.inbound.connections.borrow().keys().copied().collect::<Vec<_>>();
        assert_eq!(
            (open(&setup), id),
            ((1..=8).map(ConnectionId).collect(), ConnectionId(8)),
            "the first to be closed is evicted"
        );
        tokio::time::advance(graceful_close::CLOSE_TIMEOUT).await;
        until(|| open(&setup).len() == 1).await;
        assert_eq!(open(&setup), [ConnectionId(8)]);
    };
    LocalSet::new().run_until(test).await;
}

/// The engine has stopped: one request is in its queue, half the body of another has been received, one client is idle.
#[tokio::test(start_paused = true)]
async fn once_the_engine_has_stopped_requests_are_refused_and_connections_closed_without_reset() {
    let test = async {
        let _frozen = freeze_clock();
        let InboundTest { inbound, addr, inputs, admission_state } = InboundTest::set_up().await;
        let mut clients = Vec::new();
        for bytes in [REQUEST, &REQUEST[..REQUEST.len() - 2], b""] {
            let mut client = TcpStream::connect(addr).await.expect("a client");
            client.write_all(bytes).await.expect("writable");
            clients.push(client);
        }
        until(|| {
            inbound.connections.borrow().len() == 3
                && !inputs.is_empty()
                && inbound.is_request_arriving(ConnectionId(1))
        })
        .await;
        admission_state.send_replace(AdmissionState::Stopping);
        drop(inputs);
        let shutdown = spawn_local({
            let inbound = inbound.clone();
            async move { inbound.shut_down().await }
        });
        assert_eq!(read_status(&mut clients[0]).await, 503);
        clients[1].write_all(b"xt").await.expect("writable");
        assert_eq!(read_status(&mut clients[1]).await, 503);
        for client in &mut clients[..2] {
            assert_eq!(client.read(&mut [0; 1]).await.expect("no reset"), 0);
        }
        // The third is idle: its connection is closed, and it has some time to close its side.
        let step = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while waited <= LAST_ACCEPT_GRACE + LAST_RESPONSE_TIMEOUT {
            tokio::time::advance(step).await;
            waited += step;
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(clients[2].read(&mut [0; 1]).await.expect("no reset"), 0);
        assert!(!shutdown.is_finished());
        drop(clients);
        until(|| shutdown.is_finished()).await;
        assert!(inbound.connections.borrow().is_empty());
    };
    LocalSet::new().run_until(test).await;
}

/// The last bytes of a body are received as the process ends.
#[tokio::test]
async fn bytes_unread_at_the_end_of_the_process_reset_no_connection() {
    let set = LocalSet::new();
    let test = async {
        let setup = InboundTest::set_up().await;
        let mut client = setup.connect().await;
        client.write_all(&REQUEST[..REQUEST.len() - 2]).await.expect("writable");
        until(|| setup.inbound.is_request_arriving(ConnectionId(0))).await;
        setup.write_unnoticed(&client, ConnectionId(0), b"x");
        setup.inbound.abandon_all();
        client
    };
    let mut client = set.run_until(test).await;
    drop(set);
    assert_eq!(client.read(&mut [0; 1]).await.expect("no reset"), 0);
}
