//! Tests of the command line: names and the old names that stay valid.

use clap::{CommandFactory, Parser};

use super::{Arguments, Benchmark};

fn parse(arguments: &[&str]) -> Benchmark {
    let program = ["rudderspindle-bench"];
    let arguments = Arguments::try_parse_from(program.iter().chain(arguments));
    arguments.unwrap_or_else(|error| panic!("{error}")).benchmark
}

/// Asserts that two command lines mean the same.
fn assert_same(arguments: &[&str], old: &[&str]) {
    assert_eq!(format!("{:?}", parse(arguments)), format!("{:?}", parse(old)));
}

#[test]
fn the_definition_of_the_command_line_is_consistent() {
    Arguments::command().debug_assert();
}

#[test]
fn scenario_is_also_found_by_its_old_name_evening() {
    assert_same(&["scenario", "--seed", "7"], &["evening", "--seed", "7"]);
    for name in ["shared-outage", "takeover"] {
        assert_same(&["scenario", "--require", name], &["evening", "--having", name]);
    }
}

#[test]
fn renamed_options_are_also_found_by_their_old_names() {
    assert_same(&["load", "--response-ms", "3"], &["load", "--partner-ms", "3"]);
    let old = ["fleet-limit", "--lost", "0.5", "--returns", "10,20"];
    assert_same(&["fleet-limit", "--loss", "0.5", "--recovery", "10,20"], &old);
}

#[test]
fn renamed_limit_enforcements_are_also_found_by_their_old_names() {
    for (name, old) in [("capacity-shares", "use"), ("permits", "strict"), ("both", "both")] {
        assert_same(&["fleet-limit", "--enforcement", name], &["fleet-limit", "--bound", old]);
    }
}

#[test]
fn old_names_are_not_in_the_help() {
    let help = Arguments::command().render_long_help().to_string();
    assert!(help.contains("scenario") && !help.contains("evening"), "{help}");
}
