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
fn a_line_without_its_end_or_of_other_bytes_than_text_is_no_command() {
    assert_eq!(Command::parse(b"status\n"), Ok(Command::Status));
    assert_eq!(Command::parse(b"status"), Err(UnknownCommand));
    assert_eq!(Command::parse(b"status\xff\n"), Err(UnknownCommand));
}
