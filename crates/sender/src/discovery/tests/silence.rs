//! A watch that has fallen silent is broken and opened anew; one that has not goes on.

use rudderspindle_policy::interface::Discovery;

use super::*;

/// What a silent watch misses is in force so long after it fell silent.
const IN_FORCE: Duration = Duration::from_secs(6);

/// How a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum Silent {
    /// It is never answered.
    AtOnce,
    AfterHead,
    AfterAHeartbeat,
    InTheMiddleOfALine,
    /// A byte comes now and then, and the list never ends.
    Trickling,
    /// Empty lines come, but within a list that has begun: it never ends.
    HeartbeatsWithinAList,
}

/// Whatever is the last that it says, it is broken and opened anew, and what it has missed is in force in time.
#[tokio::test]
async fn a_silent_watch_is_broken_and_what_it_missed_is_in_force_in_time() {
    let test = async |silent: Silent, way: Discovery| {
        let discovery = Scripted::start().await;
        let mut watched = begin(way, discovery.addr, Some(41));
        let (_, mut stream) = discovery.watched().await;
        let since = Instant::now();
        match silent {
            Silent::AtOnce => {}
            Silent::AfterHead => say(&mut stream, HEAD).await,
            Silent::AfterAHeartbeat => say(&mut stream, HEAD.to_owned() + &chunk("\n")).await,
            Silent::InTheMiddleOfALine => say(&mut stream, HEAD.to_owned() + &chunk(&list(42)[..20])).await,
            Silent::Trickling | Silent::HeartbeatsWithinAList => {
                say(&mut stream, HEAD.to_owned() + &chunk("{\"revision\": 42,")).await;
            }
        }
        let byte = match silent {
            Silent::Trickling => Some(" "),
            Silent::HeartbeatsWithinAList => Some("\n"),
            _ => None,
        };
        let trickle = async {
            while let Some(byte) = byte {
                sleep(Duration::from_millis(100)).await;
                if stream.write_all(chunk(byte).as_bytes()).await.is_err() {
                    break;
                }
            }
            std::future::pending::<()>().await;
        };
        let next = async {
            let (from, mut stream) = discovery.watched().await;
            assert_eq!(from, 41, "{silent:?}");
            say(&mut stream, HEAD.to_owned() + &chunk(&(list(43) + "\n"))).await;
            assert_eq!(watched.told().await, 43, "{silent:?}");
        };
        tokio::select! {
            () = trickle => {}
            () = next => {}
        }
        let after = since.elapsed();
        assert!(after < IN_FORCE, "{silent:?}, {way:?}: {after:?}");
        after
    };
    let on_request = Discovery::OnRequest { ask_within: 10_000.0 };
    local(async {
        use Silent::*;
        let agent = async |silent| test(silent, Discovery::Pushed).await;
        let (at_once, ..) = tokio::join!(
            agent(AtOnce),
            agent(AfterHead),
            agent(AfterAHeartbeat),
            agent(InTheMiddleOfALine),
            agent(Trickling),
            agent(HeartbeatsWithinAList),
            test(AtOnce, on_request),
            test(AfterHead, on_request),
            test(Trickling, on_request),
        );
        // An agent answers at once, or another connection has to.
        assert!(at_once < Duration::from_secs(1), "{at_once:?}");
    })
    .await;
}

/// While nothing changes an empty line comes every two seconds: a watch that says so is not silent.
#[tokio::test]
async fn a_watch_with_heartbeats_goes_on() {
    local(async {
        let discovery = Scripted::start().await;
        let mut watched = pushed(discovery.addr, Some(41));
        let (_, mut stream) = discovery.watched().await;
        say(&mut stream, HEAD).await;
        for _ in 0..3 {
            sleep(Duration::from_secs(2)).await;
            say(&mut stream, chunk("\n")).await;
        }
        say(&mut stream, chunk(&list(42))).await;
        assert_eq!(watched.told().await, 42);
        assert!(timeout(Duration::ZERO, discovery.listener.accept()).await.is_err(), "it was opened anew");
    })
    .await;
}

/// What an agent gets when discovery is back counts at once: however long it was silent, it is asked again soon.
#[tokio::test]
async fn an_agent_that_was_silent_for_long_is_asked_again_as_soon_as_at_first() {
    local(async {
        let agent = Scripted::start().await;
        let mut watched = pushed(agent.addr, Some(41));
        let mut held = Vec::new();
        for _ in 0..8 {
            held.push(agent.watched().await);
        }
        let since = Instant::now();
        let (_, mut stream) = agent.watched().await;
        say(&mut stream, HEAD.to_owned() + &chunk(&(list(42) + "\n"))).await;
        assert_eq!(watched.told().await, 42);
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    })
    .await;
}

/// One that refuses connections is not asked without a pause, and is asked soon when it is there again.
#[tokio::test]
async fn an_agent_that_is_gone_is_asked_again_soon_when_it_is_back() {
    local(async {
        let agent = Scripted::start().await;
        let addr = agent.addr;
        drop(agent.listener);
        let mut watched = pushed(addr, Some(41));
        sleep(Duration::from_secs(2)).await;
        let agent = Scripted { listener: tokio::net::TcpListener::bind(addr).await.expect("its port"), addr };
        let since = Instant::now();
        let (_, mut stream) = agent.watched().await;
        say(&mut stream, HEAD.to_owned() + &chunk(&(list(42) + "\n"))).await;
        assert_eq!(watched.told().await, 42);
        assert!(since.elapsed() < Duration::from_millis(500), "{:?}", since.elapsed());
    })
    .await;
}
