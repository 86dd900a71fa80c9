//! What the tally makes of a session's events.

use std::path::Path;

use super::*;

#[test]
fn what_is_held_rises_and_falls_with_what_is_taken_on_and_ends() {
    let script =
        Scenario::parse(include_str!("../evening.toml"), Path::new("evening.toml")).expect("a script");
    let mut tally = Tally::new(&script);
    let mut at = |ms: u64, event| tally.take(&Line { t: ms * 1_000, event });
    for (n, message_id) in ["m1", "m2"].into_iter().enumerate() {
        let text = |text: &str| text.to_owned();
        let (message_id, first_message_id) = (text(message_id), text(message_id));
        let (sender, class, tenant) = (text("n0"), text("clip-drop"), text("t"));
        let handed = Event::Submitted {
            message_id: message_id.clone(),
            first_message_id,
            sender,
            class,
            tenant,
            receiver: 2,
            time_left_ms: 1,
            ordering_key: None,
        };
        at(n as u64, handed);
        at(1_500, Event::Responded { message_id, status: 202 });
    }
    let (sender, endpoint) = ("n0".to_owned(), "clubs-a".to_owned());
    at(1_600, Event::CallReceived { call: 1, sender, endpoint, message_id: "m1".to_owned(), first_us: 0 });
    at(2_700, Event::CallAnswered { call: 1, status: 200, retry_after_ms: 0 });
    let partner = &tally.partners[&2];
    assert_eq!((partner.total.offered, partner.total.delivered, partner.total.held), (2, 1, 1));
    let held: Vec<u32> = partner.seconds.iter().map(|s| s.held).collect();
    assert_eq!(held, [0, 2, 1]);
}
