//! A sender that runs in the test's process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rudderspindle_sender::{Control, Service, StartError, ValidatedConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// Maximum time from the request to stop until the service has stopped, unless something is broken.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

fn configuration(folder: &Path, settings: serde_json::Value) -> std::path::PathBuf {
    let path = folder.join("config.json");
    let config = serde_json::json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "limits": {"sockets": 64, "disk_mb": 3}, "settings": settings});
    std::fs::write(&path, config.to_string()).expect("a file");
    path
}

fn settings() -> serde_json::Value {
    serde_json::json!({"extra": {"calls_out": 4}, "kinds": ["k"],
        "limits": {"max_attempts": 4, "most_held": 50},
        "lanes": [{"name": "c", "effect": "free", "deadline": 9000.0}]})
}

/// A sender that runs until it has stopped.
struct RunningService {
    addr: SocketAddr,
    control: Control,
    task: JoinHandle<()>,
}

async fn start_service(folder: &Path) -> RunningService {
    let config = ValidatedConfig::read(&configuration(folder, settings())).expect("usable");
    let service = Service::start(config, folder, None).await.expect("it starts");
    let (addr, control) = (service.local_addr(), service.control());
    RunningService { addr, control, task: spawn_local(service.run()) }
}

impl RunningService {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("a connection")
    }

    async fn wait_until_stopped(self) {
        timeout(STOP_TIMEOUT, self.task).await.expect("in time").expect("without a panic");
    }
}

#[tokio::test]
async fn it_answers_until_it_is_asked_to_stop() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let service = start_service(folder.path()).await;
        let mut client = service.connect().await;
        client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("writable");
        let mut status = [0; 12];
        client.read_exact(&mut status).await.expect("an answer");
        assert_eq!(&status, b"HTTP/1.1 200");
        assert!(!service.task.is_finished());
        service.control.stop().await;
        service.wait_until_stopped().await;
    };
    LocalSet::new().run_until(test).await;
}

/// Clients that send nothing, or half a request, delay the stop for its maximum time; then their connections are closed.
#[tokio::test]
async fn each_client_connection_is_closed_before_it_has_stopped() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let service = start_service(folder.path()).await;
        let mut first = service.connect().await;
        service.control.stop().await;
        // The first one times out before the service stops; those that follow it stay until then.
        assert_eq!(first.read(&mut [0; 1]).await.expect("no reset"), 0);
        assert!(!service.task.is_finished());
        let mut idle = service.connect().await;
        let mut half = service.connect().await;
        half.write_all(b"POST /c HTTP/1.1\r\nContent-Len").await.expect("writable");
        service.wait_until_stopped().await;
        for client in [&mut idle, &mut half] {
            // The close has arrived by now; otherwise these connections would last for another second.
            let end = timeout(Duration::from_millis(500), client.read(&mut [0; 1])).await;
            assert_eq!(end.expect("an end").expect("no reset"), 0);
        }
    };
    LocalSet::new().run_until(test).await;
}

#[test]
fn the_error_for_an_invalid_configuration_names_what_is_wrong() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut ordered = settings();
    ordered["lanes"][0]["in_order"] = true.into();
    let error =
        ValidatedConfig::read(&configuration(folder.path(), ordered)).expect_err("no key to keep order by");
    assert!(matches!(&error, StartError::Ordered(name) if name == "c"), "{error}");
    let error = ValidatedConfig::read(folder.path().join("nothing").as_path()).expect_err("no file");
    assert!(error.to_string().contains("nothing"), "{error}");
}
