//! Tests bytes that are received at the moment at which a connection is closed.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::super::shutdown::{LAST_ACCEPT_GRACE, LAST_RESPONSE_TIMEOUT};
use super::{
    InboundTest, MAX_CONNECTIONS, READINESS_CHECK, SUBMISSION, TEST_TIMEOUT, freeze_clock, read_status,
    wait_until,
};
use crate::admission_state::AdmissionState;
use crate::connection_slots::ConnectionId;
use crate::graceful_close;

/// The request is received, but not read, when the process begins to stop.
#[tokio::test]
async fn a_request_received_at_sigterm_is_answered() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let (mut client, id) = setup.connect_idle().await;
        setup.write_without_polling(&client, id, SUBMISSION);
        setup.admission_state.send_replace(AdmissionState::Stopping);
        setup.expect_accepted(&mut client).await;
        assert_eq!(client.read(&mut [0; 1]).await.expect("connection without a reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// At most two connections may be idle, so that a third response would close the longest idle connection. Unread bytes
/// have been received on that connection.
#[tokio::test]
async fn a_request_received_on_a_surplus_idle_connection_is_answered() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let (mut first, first_id) = setup.connect_idle().await;
        let (mut second, _) = setup.connect_idle().await;
        let third = setup.connect().await;
        wait_until(|| setup.inbound.connections.borrow().len() >= 3).await;
        setup.write_without_polling(&third, ConnectionId(2), READINESS_CHECK);
        setup.write_without_polling(&first, first_id, SUBMISSION);
        setup.expect_accepted(&mut first).await;
        assert_eq!(second.read(&mut [0; 1]).await.expect("connection without a reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// All slots are taken by clients without a request, and the oldest client sends a request when another client
/// connects.
#[tokio::test]
async fn a_request_received_on_a_connection_due_for_eviction_is_answered() {
    let test = async {
        let mut setup = InboundTest::set_up().await;
        let mut clients = Vec::new();
        while clients.len() < MAX_CONNECTIONS {
            clients.push(setup.connect().await);
        }
        wait_until(|| setup.inbound.connections.borrow().len() >= MAX_CONNECTIONS).await;
        let _new_client = std::net::TcpStream::connect(setup.addr).expect("connect to the listener");
        setup.write_without_polling(&clients[0], ConnectionId(0), SUBMISSION);
        setup.expect_accepted(&mut clients[0]).await;
        assert_eq!(clients[1].read(&mut [0; 1]).await.expect("connection without a reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// The body is rejected before it is complete, and is still read: closing a socket with unread bytes would reset the
/// connection, and the client would lose the response.
#[tokio::test]
async fn an_early_response_is_followed_by_a_close_without_reset() {
    let test = async {
        let setup = InboundTest::set_up().await;
        let mut client = setup.connect().await;
        let head = "POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n";
        client.write_all(head.as_bytes()).await.expect("write to the connection");
        let (mut reader, mut writer) = client.split();
        let mut received = Vec::new();
        let body = vec![b'x'; 200_000];
        let read_and_write =
            async { tokio::join!(reader.read_to_end(&mut received), writer.write_all(&body)) };
        let (read, written) =
            timeout(TEST_TIMEOUT, read_and_write).await.expect("completion within the timeout");
        assert!(read.is_ok() && written.is_ok(), "{read:?}, {written:?}");
        assert!(received.starts_with(b"HTTP/1.1 413"), "{}", String::from_utf8_lossy(&received));
        // Bytes that the client sends before it detects the close are read as well.
        writer.write_all(SUBMISSION).await.expect("connection without a reset");
        writer.shutdown().await.expect("connection without a reset");
        wait_until(|| setup.inbound.connections.borrow().is_empty()).await;
    };
    LocalSet::new().run_until(test).await;
}

/// The clients do not close their side. Their connections keep their slots until the close times out, or until other
/// connections need the slots.
#[tokio::test(start_paused = true)]
async fn slowly_closing_connections_keep_their_slots_for_a_limited_time() {
    let test = async {
        let _frozen = freeze_clock();
        let setup = InboundTest::set_up().await;
        let mut slow_clients = Vec::new();
        while slow_clients.len() < MAX_CONNECTIONS {
            let mut client = setup.connect().await;
            client.write_all(b"PUT / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("write to the connection");
            assert_eq!(read_status(&mut client).await, 405);
            slow_clients.push(client);
        }
        let (_new_client, id) = setup.connect_idle().await;
        let open_connections =
            |setup: &InboundTest| setup.inbound.connections.borrow().keys().copied().collect::<Vec<_>>();
        assert_eq!(
            (open_connections(&setup), id),
            ((1..=8).map(ConnectionId).collect(), ConnectionId(8)),
            "the connection that began to close first is evicted"
        );
        tokio::time::advance(graceful_close::CLOSE_TIMEOUT).await;
        wait_until(|| open_connections(&setup).len() == 1).await;
        assert_eq!(open_connections(&setup), [ConnectionId(8)]);
    };
    LocalSet::new().run_until(test).await;
}

/// The engine has stopped. One request is in its queue, half the body of another request has been received, and one
/// client is idle.
#[tokio::test(start_paused = true)]
async fn shutdown_refuses_requests_and_closes_connections_without_reset() {
    let test = async {
        let _frozen = freeze_clock();
        let InboundTest { inbound, addr, inputs, admission_state } = InboundTest::set_up().await;
        let mut clients = Vec::new();
        for bytes in [SUBMISSION, &SUBMISSION[..SUBMISSION.len() - 2], b""] {
            let mut client = TcpStream::connect(addr).await.expect("connect to the listener");
            client.write_all(bytes).await.expect("write to the connection");
            clients.push(client);
        }
        wait_until(|| {
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
        clients[1].write_all(b"xt").await.expect("write to the connection");
        assert_eq!(read_status(&mut clients[1]).await, 503);
        for client in &mut clients[..2] {
            assert_eq!(client.read(&mut [0; 1]).await.expect("connection without a reset"), 0);
        }
        // The third client is idle: its connection is closed, and it has LAST_CLOSE_TIMEOUT to close its side.
        let step = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while waited <= LAST_ACCEPT_GRACE + LAST_RESPONSE_TIMEOUT {
            tokio::time::advance(step).await;
            waited += step;
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(clients[2].read(&mut [0; 1]).await.expect("connection without a reset"), 0);
        assert!(!shutdown.is_finished());
        drop(clients);
        wait_until(|| shutdown.is_finished()).await;
        assert!(inbound.connections.borrow().is_empty());
    };
    LocalSet::new().run_until(test).await;
}

/// The last bytes of a body are received when the process exits.
#[tokio::test]
async fn bytes_unread_at_the_end_of_the_process_reset_no_connection() {
    let local_set = LocalSet::new();
    let test = async {
        let setup = InboundTest::set_up().await;
        let mut client = setup.connect().await;
        client.write_all(&SUBMISSION[..SUBMISSION.len() - 2]).await.expect("write to the connection");
        wait_until(|| setup.inbound.is_request_arriving(ConnectionId(0))).await;
        setup.write_without_polling(&client, ConnectionId(0), b"x");
        setup.inbound.close_all_without_waiting();
        client
    };
    let mut client = local_set.run_until(test).await;
    drop(local_set);
    assert_eq!(client.read(&mut [0; 1]).await.expect("connection without a reset"), 0);
}
