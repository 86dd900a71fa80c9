//! Tests of the report's JSON.

use super::Report;

#[test]
fn the_last_line_has_the_benchmark_its_metrics_and_failed_checks() {
    let mut report = Report::new("load", 7);
    report.metric("cpu_ratio", 1.5);
    let expected = r#"{"benchmark":"load","seed":7,"ok":true,"figures":{"cpu_ratio":1.5},"broken":[]}"#;
    assert_eq!(report.to_json().expect("JSON"), expected);
    report.failed_check("2 lost".to_owned());
    let expected =
        r#"{"benchmark":"load","seed":7,"ok":false,"figures":{"cpu_ratio":1.5},"broken":["2 lost"]}"#;
    assert_eq!(report.to_json().expect("JSON"), expected);
}
