//! Tests of the plan of submissions.

use std::time::Duration;

use super::plan;
use crate::scenario::Scenario;

#[test]
fn a_plan_is_the_same_for_the_same_scenario_and_has_its_rate() {
    let scenario = Scenario::random(3, 60);
    let planned = plan(&scenario, Duration::from_secs(12));
    assert_eq!(planned, plan(&scenario, Duration::from_secs(12)));
    let expected = scenario.traffic.per_s.get() * 60.0;
    let share = planned.len() as f64 / expected;
    assert!((0.8..1.25).contains(&share), "{} of {expected}", planned.len());
    assert!(planned.is_sorted_by_key(|message| message.at));
    assert!(planned.iter().all(|message| message.lifetime <= Duration::from_secs(12) && message.sender < 2));
}
