//! The program `rudderspindle`: one sender.

fn main() -> std::process::ExitCode {
    rudderspindle::main()
}
