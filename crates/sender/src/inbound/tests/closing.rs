//! Bytes that come in the instant in which a connection is closed.

use super::*;

#[tokio::test]
async fn a_request_that_comes_on_a_resting_connection_in_the_instant_of_sigterm_is_answered() {
    let test = async {
        let mut world = World::set_up().await;
        let (mut client, id) = world.resting().await;
        world.slip_in(&client, id, REQUEST);
        world.door.send_replace(AdmissionState::Stopping);
        world.takes_on(&mut client).await;
        assert_eq!(client.read(&mut [0; 1]).await.expect("no reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// Two may rest: the third answer ends the connection that has rested longest, which has just said something.
#[tokio::test]
async fn a_request_that_comes_as_its_connection_would_go_for_another_that_rests_is_answered() {
    let test = async {
        let mut world = World::set_up().await;
        let (mut first, first_id) = world.resting().await;
        let (mut second, _) = world.resting().await;
        let third = world.client().await;
        until(|| world.inbound.clients.borrow().len() >= 3).await;
        world.slip_in(&third, 2, READY);
        world.slip_in(&first, first_id, REQUEST);
        world.takes_on(&mut first).await;
        assert_eq!(second.read(&mut [0; 1]).await.expect("no reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// All places are taken by clients that have said nothing, until the oldest does as one more connects.
#[tokio::test]
async fn a_request_that_comes_as_its_connection_would_go_for_a_newcomer_is_answered() {
    let test = async {
        let mut world = World::set_up().await;
        let mut clients = Vec::new();
        while clients.len() < PLACES {
            clients.push(world.client().await);
        }
        until(|| world.inbound.clients.borrow().len() >= PLACES).await;
        let _newcomer = std::net::TcpStream::connect(world.addr).expect("a connection");
        world.slip_in(&clients[0], 0, REQUEST);
        world.takes_on(&mut clients[0]).await;
        assert_eq!(clients[1].read(&mut [0; 1]).await.expect("no reset"), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// A body that nobody wants is still read: closing over it would reset the connection, and the answer with it.
#[tokio::test]
async fn an_answer_ahead_of_the_rest_of_its_request_is_followed_by_an_end_and_no_reset() {
    let test = async {
        let world = World::set_up().await;
        let mut client = world.client().await;
        let head = "POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n";
        client.write_all(head.as_bytes()).await.expect("writable");
        let (mut reader, mut writer) = client.split();
        let (mut seen, body) = (Vec::new(), vec![b'x'; 200_000]);
        let both = async { tokio::join!(reader.read_to_end(&mut seen), writer.write_all(&body)) };
        let (read, written) = timeout(PATIENCE, both).await.expect("in time");
        assert!(read.is_ok() && written.is_ok(), "{read:?}, {written:?}");
        assert!(seen.starts_with(b"HTTP/1.1 413"), "{}", String::from_utf8_lossy(&seen));
        // What crosses the end is read, too.
        writer.write_all(REQUEST).await.expect("no reset");
        writer.shutdown().await.expect("no reset");
        until(|| world.inbound.clients.borrow().is_empty()).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Clients that were answered and told to go hold on to their connections.
#[tokio::test(start_paused = true)]
async fn connections_that_end_slowly_keep_their_places_only_until_others_need_them_or_for_a_while() {
    let test = async {
        let _frozen = frozen();
        let world = World::set_up().await;
        let mut slow = Vec::new();
        while slow.len() < PLACES {
            let mut client = world.client().await;
            client.write_all(b"PUT / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("writable");
            assert_eq!(answer(&mut client).await, 405);
            slow.push(client);
        }
        let (_newcomer, id) = world.resting().await;
        let open = |world: &World| world.inbound.clients.borrow().keys().copied().collect::<Vec<_>>();
        assert_eq!((open(&world), id), ((1..=8).collect(), 8), "the first to go is the first to be let go");
        tokio::time::advance(graceful_close::LONGEST).await;
        until(|| open(&world).len() == 1).await;
        assert_eq!(open(&world), [8]);
    };
    LocalSet::new().run_until(test).await;
}

/// The engine's time is up: one request is in its queue, of another half the body has come, one client is silent.
#[tokio::test(start_paused = true)]
async fn once_the_engine_is_gone_each_request_is_refused_and_each_connection_ends_without_a_reset() {
    let test = async {
        let _frozen = frozen();
        let World { inbound, addr, inputs, door } = World::set_up().await;
        let mut clients = Vec::new();
        for bytes in [REQUEST, &REQUEST[..REQUEST.len() - 2], b""] {
            let mut client = TcpStream::connect(addr).await.expect("a client");
            client.write_all(bytes).await.expect("writable");
            clients.push(client);
        }
        until(|| inbound.clients.borrow().len() == 3 && !inputs.is_empty() && inbound.coming(1)).await;
        door.send_replace(AdmissionState::Stopping);
        drop(inputs);
        let end = spawn_local({
            let inbound = inbound.clone();
            async move { inbound.end().await }
        });
        assert_eq!(answer(&mut clients[0]).await, 503);
        clients[1].write_all(b"xt").await.expect("writable");
        assert_eq!(answer(&mut clients[1]).await, 503);
        for client in &mut clients[..2] {
            assert_eq!(client.read(&mut [0; 1]).await.expect("no reset"), 0);
        }
        // The third has nothing to say: it is told to go, and has some time for it.
        let step = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while waited <= LAST_LOOK + LAST_ANSWERS {
            tokio::time::advance(step).await;
            waited += step;
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(clients[2].read(&mut [0; 1]).await.expect("no reset"), 0);
        assert!(!end.is_finished());
        drop(clients);
        until(|| end.is_finished()).await;
        assert!(inbound.clients.borrow().is_empty());
    };
    LocalSet::new().run_until(test).await;
}

/// The last bytes of a body come as the process ends.
#[tokio::test]
async fn what_lies_unread_at_the_very_end_resets_no_connection() {
    let set = LocalSet::new();
    let test = async {
        let world = World::set_up().await;
        let mut client = world.client().await;
        client.write_all(&REQUEST[..REQUEST.len() - 2]).await.expect("writable");
        until(|| world.inbound.coming(0)).await;
        world.slip_in(&client, 0, b"x");
        world.inbound.abandon();
        client
    };
    let mut client = set.run_until(test).await;
    drop(set);
    assert_eq!(client.read(&mut [0; 1]).await.expect("no reset"), 0);
}
