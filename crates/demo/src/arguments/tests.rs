//! Tests of the command line.

use std::path::PathBuf;

use clap::Parser;

use super::Arguments;

fn parse(arguments: &[&str]) -> Arguments {
    let program = ["rudderspindle-demo"];
    Arguments::try_parse_from(program.iter().chain(arguments)).expect("valid arguments")
}

#[test]
fn a_scenario_is_given_by_its_option_and_by_the_old_name() {
    for option in ["--scenario", "--script"] {
        let arguments = parse(&[option, "other.toml", "--report", "page.html"]);
        assert_eq!(arguments.scenario, Some(PathBuf::from("other.toml")));
        assert_eq!(arguments.report, Some(PathBuf::from("page.html")));
    }
}

#[test]
fn without_arguments_there_is_no_report_and_the_scenario_is_the_built_in_one() {
    let Arguments { report, scenario } = parse(&[]);
    assert_eq!((report, scenario), (None, None));
}

#[test]
fn unknown_options_and_options_without_a_file_are_errors() {
    for wrong in [&["--rapport", "page.html"][..], &["--report"], &["--scenario"]] {
        let program = ["rudderspindle-demo"];
        assert!(Arguments::try_parse_from(program.iter().chain(wrong)).is_err(), "{wrong:?}");
    }
}
