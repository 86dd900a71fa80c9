//! Which client connections stay open: silent and idle ones are closed for clients that submit.

mod common;

use std::time::{Duration, Instant};

use common::fixture::{Fixture, set_up};
use common::program::Program;
use common::{DEADLINE_MS, REJECTION_TIMEOUT};
use rudderspindle_testkit::scripted_peers::{
    connect_from, raw_submission, read_rest_of_response, read_status, read_until_close,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Opens 200 connections in five batches, on which nothing is sent.
async fn connect_silently(from: &str, program: &Program) -> Vec<TcpStream> {
    let mut silent = Vec::new();
    for _ in 0..5 {
        for _ in 0..40 {
            silent.push(connect_from(from, program.addr).await);
        }
        tokio::time::sleep(Duration::from_millis(310)).await;
    }
    silent
}

/// Silent connections and connections that idle after one request do not use up the slots.
#[tokio::test]
async fn idle_connections_do_not_keep_other_clients_out() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let mut kept = Vec::new();
    for n in 0..100 {
        kept.push(program.raw(b"").await);
        let since = Instant::now();
        let mut stream = program.raw(&raw_submission(&format!("m{n}"), "Content-Length: 4", "text")).await;
        assert_eq!(read_status(&mut stream).await, Some(202));
        // Sooner than the timeout of the silent ones.
        assert!(since.elapsed() < Duration::from_secs(1), "m{n}: {:?}", since.elapsed());
        assert_eq!(receiver.next_call().await.message_id, format!("m{n}"));
        kept.push(stream);
    }
    assert_eq!(program.readiness().await, 200);
}

/// A client that has used up its own connections could submit nothing more until the sender closed some.
#[tokio::test]
async fn most_connections_that_idle_after_one_request_are_closed_at_once() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let since = Instant::now();
    let mut kept = Vec::new();
    for n in 0..30 {
        let mut stream = program.raw(&raw_submission(&format!("m{n}"), "Content-Length: 4", "text")).await;
        assert_eq!(read_status(&mut stream).await, Some(202));
        assert_eq!(receiver.next_call().await.message_id, format!("m{n}"));
        kept.push(stream);
    }
    // A quarter of the 44 slots is for idle connections.
    let mut last = kept.split_off(30 - 11);
    for stream in &mut kept {
        read_until_close(stream).await;
    }
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    let again = raw_submission("again", "Content-Length: 4", "text");
    read_rest_of_response(&mut last[10]).await;
    last[10].write_all(&again).await.expect("it is kept");
    assert_eq!(read_status(&mut last[10]).await, Some(202));
}

/// A new client that is silent for long is still served when those that compete for slots come from other addresses.
#[tokio::test]
async fn a_client_that_sends_its_first_request_late_is_served_beside_hundreds_of_silent_connections() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let mut early = program.raw(b"").await;
    // Time for it to become the connection that has been silent longest.
    tokio::time::sleep(Duration::from_millis(400)).await;
    let _silent = connect_silently("127.0.0.2", &program).await;
    early.write_all(&raw_submission("late", "Content-Length: 4", "text")).await.expect("it is kept");
    assert_eq!(read_status(&mut early).await, Some(202));
    assert_eq!(receiver.next_call().await.message_id, "late");
}

#[tokio::test]
async fn a_client_that_checks_readiness_and_submits_later_is_served_beside_hundreds_of_silent_connections() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let mut client = program.raw(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert_eq!(read_status(&mut client).await, Some(200));
    read_rest_of_response(&mut client).await;
    let _silent = connect_silently("127.0.0.1", &program).await;
    client.write_all(&raw_submission("m1", "Content-Length: 4", "text")).await.expect("it is kept");
    assert_eq!(read_status(&mut client).await, Some(202));
    assert_eq!(receiver.next_call().await.message_id, "m1");
}

/// A connection with repeated requests is kept over those with one request.
#[tokio::test]
async fn a_client_with_repeated_requests_keeps_its_connection_beside_hundreds_that_idle_after_one() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let mut client = program.raw(b"").await;
    for n in 0..3 {
        client.write_all(&raw_submission(&format!("r{n}"), "Content-Length: 4", "text")).await.expect("kept");
        assert_eq!(read_status(&mut client).await, Some(202));
        read_rest_of_response(&mut client).await;
        assert_eq!(receiver.next_call().await.message_id, format!("r{n}"));
    }
    let mut once = Vec::new();
    for n in 0..200 {
        let mut stream = program.raw(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(read_status(&mut stream).await, Some(200), "{n}");
        once.push(stream);
    }
    client.write_all(&raw_submission("last", "Content-Length: 4", "text")).await.expect("it is kept");
    assert_eq!(read_status(&mut client).await, Some(202));
    assert_eq!(receiver.next_call().await.message_id, "last");
}

#[tokio::test]
async fn a_client_that_is_silent_or_trickles_bytes_is_disconnected_in_time() {
    let Fixture { platform: _platform, mut receiver, program, folder: _folder, .. } =
        set_up(&[], DEADLINE_MS).await;
    let whole = raw_submission("slow", "Content-Length: 4", "text");
    let silent = async {
        let mut stream = program.raw(b"").await;
        assert_eq!(read_status(&mut stream).await, None);
    };
    let half_a_head = async {
        let mut stream = program.raw(&whole[..40]).await;
        assert_eq!(read_status(&mut stream).await, None);
    };
    let half_a_body = async {
        let mut stream = program.raw(&whole[..whole.len() - 1]).await;
        assert!(read_status(&mut stream).await.is_none_or(|status| status == 408));
    };
    // Each byte arrives within the timeout for one.
    let trickle = async {
        let mut stream = program.raw(b"").await;
        for byte in &whole[..100] {
            if stream.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("a client that trickles is never disconnected");
    };
    let since = Instant::now();
    tokio::join!(silent, half_a_head, half_a_body, async {
        trickle.await;
        // The first write after the close succeeds, the next one fails.
        assert!(since.elapsed() < REJECTION_TIMEOUT + Duration::from_millis(200), "{:?}", since.elapsed());
    });
    assert!(receiver.has_no_calls());
}
