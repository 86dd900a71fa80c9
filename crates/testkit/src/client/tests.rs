//! Tests of the plan of messages.

use std::time::Duration;

use super::plan;
use crate::scenario::Scenario;

#[test]
fn a_plan_is_the_same_for_the_same_scenario_and_has_its_rate() {
    let scenario = Scenario::random(3, 60);
    let planned = plan(&scenario, Duration::from_secs(12));
    assert_eq!(planned, plan(&scenario, Duration::from_secs(12)));
    let expected_count = scenario.traffic.per_s.get() * 60.0;
    let count_ratio = planned.len() as f64 / expected_count;
    assert!(
        (0.8..1.25).contains(&count_ratio),
        "{} messages planned, expected {expected_count}",
        planned.len()
    );
    assert!(planned.is_sorted_by_key(|message| message.at));
    assert!(planned.iter().all(|message| message.lifetime <= Duration::from_secs(12) && message.sender < 2));
}
