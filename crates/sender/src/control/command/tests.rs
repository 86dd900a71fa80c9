//! Parsing of command lines.

use super::{Command, UnknownCommand};
use crate::admission_state::AdmissionState;

#[test]
fn a_command_is_one_whole_word_in_lower_case() {
    assert_eq!("status\r\n".parse(), Ok(Command::Status));
    assert_eq!("standby\n".parse(), Ok(Command::SetAdmission(AdmissionState::Drained)));
    assert_eq!("stand by\n".parse::<Command>(), Err(UnknownCommand));
    assert_eq!("STATS\n".parse::<Command>(), Err(UnknownCommand));
}

#[test]
fn an_unterminated_or_non_utf8_line_is_not_a_command() {
    assert_eq!(Command::parse(b"status\n"), Ok(Command::Status));
    assert_eq!(Command::parse(b"status"), Err(UnknownCommand));
    assert_eq!(Command::parse(b"status\xff\n"), Err(UnknownCommand));
}
