//! A watch before a discovery that writes what it is told to, byte for byte.

use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use self::scripted::*;
use super::*;

mod scripted;
mod silence;

// ---- Lists in pieces -------------------------------------------------------------------------------------

/// Lists may come indented, each line of them in a frame of its own: read line by line, none of them would be one, and
/// each would end the watch for the whole list.
#[tokio::test]
async fn an_indented_list_over_many_frames_counts_and_the_watch_goes_on() {
    local(async {
        let discovery = Scripted::start().await;
        let mut watched = pushed(discovery.addr, Some(41));
        let (from, mut stream) = discovery.watched().await;
        assert_eq!(from, 41);
        say(&mut stream, HEAD).await;
        for revision in 42..45 {
            let entry = json!({"id": "s-1", "host_port": "10.1.0.18:9000", "cell": 3, "phase": "SERVING"});
            let list = json!({"revision": revision, "complete": false, "members": [entry]});
            let text = serde_json::to_string_pretty(&list).expect("JSON") + "\n";
            assert!(text.lines().count() > 5);
            for line in text.split_inclusive('\n') {
                say(&mut stream, chunk(line)).await;
                tokio::task::yield_now().await;
            }
            assert_eq!(watched.told().await, revision);
            say(&mut stream, chunk("\n")).await;
        }
    })
    .await;
}

#[tokio::test]
async fn a_watch_that_breaks_off_in_a_list_begins_again_behind_the_last_whole_one() {
    local(async {
        let discovery = Scripted::start().await;
        let mut watched = pushed(discovery.addr, Some(41));
        let (_, mut stream) = discovery.watched().await;
        let next = list(43);
        say(&mut stream, HEAD.to_owned() + &chunk(&(list(42) + "\n")) + &chunk(&next[..next.len() - 1]))
            .await;
        assert_eq!(watched.told().await, 42);
        drop(stream);
        let (from, mut stream) = discovery.watched().await;
        assert_eq!(from, 42);
        say(&mut stream, HEAD.to_owned() + &chunk(&next)).await;
        assert_eq!(watched.told().await, 43);
    })
    .await;
}

#[tokio::test]
async fn after_something_that_is_no_list_the_whole_one_is_asked_for() {
    local(async {
        for spoilt in ["{\"revision\": 43}\n", "noise\n", "{\"revision\": 43, \"comp\n"] {
            let discovery = Scripted::start().await;
            let mut watched = pushed(discovery.addr, Some(41));
            let (_, mut stream) = discovery.watched().await;
            say(&mut stream, HEAD.to_owned() + &chunk(spoilt)).await;
            let mut stream = discovery.asked_for_all().await;
            say(&mut stream, answer(&list(44))).await;
            assert_eq!(watched.told().await, 44, "{spoilt:?}");
            assert_eq!(discovery.watched().await.0, 44, "{spoilt:?}");
        }
    })
    .await;
}

// ---- Moves -----------------------------------------------------------------------------------------------

/// Revisions of one address say nothing at another, where they may be lower: the whole list does.
#[tokio::test]
async fn after_a_move_revisions_go_back_and_the_whole_list_counts() {
    local(async {
        let (old, new) = (Scripted::start().await, Scripted::start().await);
        let mut watched = pushed(old.addr, Some(41));
        let (_, mut stream) = old.watched().await;
        say(&mut stream, HEAD.to_owned() + &chunk(&(list(42) + "\n"))).await;
        assert_eq!(watched.told().await, 42);
        watched.address.send_replace(new.addr);
        let mut asked = new.asked_for_all().await;
        closed(&mut stream).await;
        say(&mut asked, answer(&list(3))).await;
        assert_eq!(watched.told().await, 3);
        let (from, mut stream) = new.watched().await;
        assert_eq!(from, 3);
        say(&mut stream, HEAD.to_owned() + &chunk(&(list(4) + "\n"))).await;
        assert_eq!(watched.told().await, 4);
        drop(stream);
        assert_eq!(new.watched().await.0, 4);
    })
    .await;
}

/// The configuration is read again at each moment of an opening; and once more before the new address has answered.
#[tokio::test]
async fn a_move_while_a_watch_opens_leaves_nothing_of_the_old_address() {
    local(async {
        for moment in 0..4 {
            let (old, between, new) =
                (Scripted::start().await, Scripted::start().await, Scripted::start().await);
            let mut watched = pushed(old.addr, (moment > 0).then_some(41));
            let mut stream = if moment > 0 { old.watched().await.1 } else { old.asked_for_all().await };
            // Nothing has come; a head has; half a list has.
            let half = &list(99)[..20];
            match moment {
                2 => say(&mut stream, HEAD).await,
                3 => say(&mut stream, HEAD.to_owned() + &chunk(half)).await,
                _ => {}
            }
            watched.address.send_replace(between.addr);
            let mut first = between.asked_for_all().await;
            closed(&mut stream).await;
            say(&mut first, "HTTP/1.1 200 OK\r\nContent-Length: 51\r\n\r\n{\"revision\":").await;
            watched.address.send_replace(new.addr);
            let mut second = new.asked_for_all().await;
            closed(&mut first).await;
            say(&mut second, answer(&list(5))).await;
            assert_eq!(watched.told().await, 5, "{moment}");
            assert_eq!(new.watched().await.0, 5, "{moment}");
        }
    })
    .await;
}

// ---- Starts ----------------------------------------------------------------------------------------------

/// Whatever discovery does, a start does not wait for it.
#[tokio::test]
async fn a_start_waits_no_longer_for_a_list_that_trickles_or_never_comes() {
    let discovery = Scripted::start().await;
    for head in ["", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"] {
        let since = Instant::now();
        let trickle = async {
            let mut stream = discovery.asked_for_all().await;
            say(&mut stream, head).await;
            // Until the other end has had enough.
            while stream.write_all(b" ").await.is_ok() {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let (fetched, ()) = local(async { tokio::join!(fetch(discovery.addr), trickle) }).await;
        assert!(fetched.is_none());
        assert!(since.elapsed() < 3 * FETCH, "{:?}", since.elapsed());
    }
}
