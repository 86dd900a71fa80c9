//! A scripted evening with real sender processes, judged.

use std::path::Path;
use std::time::Duration;

use rudderspindle_standin::evidence::Line;
use rudderspindle_standin::judge::{Verdict, judge};
use rudderspindle_standin::program::Launch;
use rudderspindle_standin::script::Script;
use rudderspindle_standin::world::{Stage, World};

/// Plays it until the stand-ins were not late, three times at the most; no message is delivered for longer.
pub async fn play(script: &str, longest: Duration) -> (Vec<Line>, Verdict) {
    let script = Script::parse(script, Path::new("test.toml")).expect("a script");
    for _ in 0..3 {
        let folder = tempfile::tempdir().expect("a folder");
        let launch = Launch::from(Path::new(env!("CARGO_BIN_EXE_rudderspindle")));
        let stage = Stage { launch, folder: folder.path().to_owned(), longest };
        let played = World::set_up(&script, &stage).await.expect("a world").play().await;
        assert_eq!(played.failed, Vec::<String>::new());
        let verdict = judge(&played.lines);
        if !verdict.in_doubt() {
            return (played.lines, verdict);
        }
    }
    panic!("the stand-ins were late three times: this machine is too busy to tell anything");
}
