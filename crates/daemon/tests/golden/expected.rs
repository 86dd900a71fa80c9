//! The golden files, and the notation of bytes in them.

use std::fmt::Write;
use std::path::Path;

/// Compares a text with a golden file.
pub fn assert_golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/files").join(name);
    let expected =
        std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert_eq!(text, expected, "left is actual, right is {name}");
}

/// Bytes as text: `\n` is escaped and followed by a line break, other control and non-ASCII bytes are written as `\x` and
/// their code, and the text ends with a line break.
pub fn printable(bytes: &[u8]) -> String {
    let mut text = String::new();
    for &byte in bytes {
        match byte {
            b'\r' => text.push_str("\\r"),
            b'\n' => text.push_str("\\n\n"),
            b'\\' => text.push_str("\\\\"),
            b' '..=b'~' => text.push(char::from(byte)),
            _ => write!(text, "\\x{byte:02x}").expect("a text takes everything"),
        }
    }
    text.push('\n');
    text
}

/// A part of a golden file that holds several.
pub fn section(title: &str, text: &str) -> String {
    format!("== {title}\n{text}")
}

#[test]
fn different_bytes_are_never_written_alike() {
    assert_eq!(printable(b"a\r\nb"), "a\\r\\n\nb\n");
    assert_eq!(printable(b"a\\r\\n\nb"), "a\\\\r\\\\n\\n\nb\n");
    assert_eq!(printable(b"\0\xff\t"), "\\x00\\xff\\x09\n");
}
