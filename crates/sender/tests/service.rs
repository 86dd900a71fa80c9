//! Start, stop and configuration errors of a sender that runs in the process of the test.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rudderspindle_sender::{Control, Service, StartError, ValidatedConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// Timeout from the request to stop until the service has stopped, longer than a stop takes.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

fn write_configuration(folder: &Path, settings: serde_json::Value) -> std::path::PathBuf {
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

/// A running sender.
struct RunningService {
    addr: SocketAddr,
    control: Control,
    task: JoinHandle<()>,
}

async fn start_service(folder: &Path) -> RunningService {
    let config =
        ValidatedConfig::read(&write_configuration(folder, settings())).expect("a valid configuration");
    let service = Service::start(config, folder, None).await.expect("a started service");
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
async fn a_service_responds_until_a_stop_is_requested() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let service = start_service(folder.path()).await;
        let mut client = service.connect().await;
        client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("writable");
        let mut status = [0; 12];
        client.read_exact(&mut status).await.expect("a response");
        assert_eq!(&status, b"HTTP/1.1 200");
        assert!(!service.task.is_finished());
        service.control.stop().await;
        service.wait_until_stopped().await;
    };
    LocalSet::new().run_until(test).await;
}

/// Clients that send nothing or half a request delay the stop by at most its timeout; then their connections are
/// closed.
#[tokio::test]
async fn client_connections_are_closed_before_the_service_has_stopped() {
    let folder = tempfile::tempdir().expect("a folder");
    let test = async {
        let service = start_service(folder.path()).await;
        let mut first = service.connect().await;
        service.control.stop().await;
        // The first connection times out before the service has stopped; the later ones are open until then.
        assert_eq!(first.read(&mut [0; 1]).await.expect("no reset"), 0);
        assert!(!service.task.is_finished());
        let mut idle = service.connect().await;
        let mut half_request = service.connect().await;
        half_request.write_all(b"POST /c HTTP/1.1\r\nContent-Len").await.expect("writable");
        service.wait_until_stopped().await;
        for client in [&mut idle, &mut half_request] {
            // The connections must be closed by now; a connection that is not would be open for another second.
            let end = timeout(Duration::from_millis(500), client.read(&mut [0; 1])).await;
            assert_eq!(end.expect("an end").expect("no reset"), 0);
        }
    };
    LocalSet::new().run_until(test).await;
}

#[test]
fn the_error_of_an_invalid_configuration_names_the_cause() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut ordered = settings();
    ordered["lanes"][0]["in_order"] = true.into();
    let error =
        ValidatedConfig::read(&write_configuration(folder.path(), ordered)).expect_err("no ordering key");
    assert!(matches!(&error, StartError::Ordered(name) if name == "c"), "{error}");
    let error = ValidatedConfig::read(folder.path().join("nothing").as_path()).expect_err("no file");
    assert!(error.to_string().contains("nothing"), "{error}");
}
