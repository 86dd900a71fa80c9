//! Requests to discovery: for the complete list, for a watch, and after a new revision or an invalid line.

use rudderspindle_testkit::scripted_peers::{config, list};

use crate::common::DEADLINE_MS;
use crate::common::folder::persistent_folder;
use crate::common::program::Program;
use crate::expected::assert_golden;
use crate::normalise::known;
use crate::recorder::{AtOnce, OPEN_ENDED, Recorded, Recorder};

const WHOLE_LIST: &str = "GET /api/targets HTTP/1.1\r\n";

/// The complete list is answered at once, as a start waits for it only briefly; the test answers watches.
fn whole_list(request: &str, list: &str) -> Option<AtOnce> {
    request.starts_with(WHOLE_LIST).then(|| AtOnce::Closing(format!("{OPEN_ENDED}{list}")))
}

fn assert_request(golden: &str, request: &Recorded, discovery: &Recorder) {
    assert_golden(golden, &known(&request.text(), &discovery.addr.to_string(), "DISCOVERY"));
}

/// The next request after one for the complete list, which is repeated if its response arrived after the start's timeout.
async fn after_whole_list(discovery: &mut Recorder, whole_list: &Recorded) -> Recorded {
    loop {
        let request = discovery.next().await;
        if request.text() != whole_list.text() {
            return request;
        }
    }
}

#[tokio::test]
async fn the_list_and_the_watches_are_requested_with_these_bytes() {
    let mut discovery = Recorder::start_with(list(7, true, &[]).to_string(), whole_list).await;
    let folder = persistent_folder();
    let _program = Program::start(&config(discovery.addr, &[], DEADLINE_MS), &folder.state).await;
    let fetch = discovery.next().await;
    assert_request("discovery_whole_list.txt", &fetch, &discovery);
    let watch = after_whole_list(&mut discovery, &fetch).await;
    assert_request("discovery_watch.txt", &watch, &discovery);
    watch.write(&format!("{OPEN_ENDED}{}\n", list(8, false, &[])));
    watch.close();
    let again = discovery.next().await;
    assert_request("discovery_watch_after_revision.txt", &again, &discovery);
    // An invalid line may have been a change, so the complete list is requested.
    again.write(&format!("{OPEN_ENDED}no list\n"));
    let fetch_again = discovery.next().await;
    assert_request("discovery_whole_list.txt", &fetch_again, &discovery);
}
