//! The configuration in README.md works as printed.

mod common;

use common::folder::persistent_folder;
use common::program::Program;

#[tokio::test]
async fn the_configuration_in_readme_starts_and_accepts_a_message() {
    let readme = concat!(env!("CARGO_MANIFEST_DIR"), "/../../README.md");
    let readme = std::fs::read_to_string(readme).expect("README");
    let (_, rest) = readme.split_once("```json\n").expect("a configuration");
    let (text, _) = rest.split_once("```").expect("its end");
    let mut config: serde_json::Value = serde_json::from_str(text).expect("JSON");
    // Any free port.
    config["listen"] = "127.0.0.1:0".into();
    let folder = persistent_folder();
    let program = Program::start(&config, &folder.state).await;
    let request = hyper::Request::post("/clip-status")
        .header("x-txn", "9b1f03aa")
        .header("x-org", "narmada-sports")
        .header("x-remaining", "20")
        .header("x-route-to", "dest=7");
    let request = request.body("the clip is ready".into()).expect("a request");
    assert_eq!(program.request(request).await.expect("an answer").status(), 202);
}
