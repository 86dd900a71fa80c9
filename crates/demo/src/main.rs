//! The main job in one command: two senders, four partners in two halls, a platform, and an evening's clips. One
//! partner goes down and comes back cold, one endpoint drains, one sender is killed and comes back. At the end the
//! judge says where every message went; the exit status is 1 if anything was lost or doubled, or a rule broken.
//!
//! `--report FILE.html` also writes the evening as a page. `--script FILE.toml` plays another evening.

mod page;
mod screen;
mod tally;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use rudderspindle_testkit::checker::check_events;
use rudderspindle_testkit::event_log::EventLog;
use rudderspindle_testkit::program::Launch;
use rudderspindle_testkit::scenario::{Scenario, ScenarioError};
use rudderspindle_testkit::test_environment::{EnvironmentConfig, EnvironmentError, TestEnvironment};
use screen::Screen;
use tally::Tally;
use tokio::time::sleep;

const EVENING: &str = include_str!("evening.toml");
/// No message is delivered for longer, so that the evening has an end.
const LONGEST: Duration = Duration::from_secs(8);
/// How often the table is drawn anew on a terminal, and printed elsewhere.
const LIVE: Duration = Duration::from_millis(500);
const PLAIN: u64 = 5_000;
/// What makes this program a sender.
const SENDER: &str = "sender";

#[derive(Debug)]
enum DemoError {
    Usage(String),
    Scenario(ScenarioError),
    TestEnvironment(EnvironmentError),
    Io(std::io::Error),
}

impl std::fmt::Display for DemoError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(what) => {
                write!(f, "{what}; usage: rudderspindle-demo [--report FILE.html] [--script FILE.toml]")
            }
            Self::Scenario(error) => error.fmt(f),
            Self::TestEnvironment(error) => error.fmt(f),
            Self::Io(error) => error.fmt(f),
        }
    }
}

impl From<std::io::Error> for DemoError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

#[derive(Debug, Default)]
struct Arguments {
    report: Option<PathBuf>,
    script: Option<PathBuf>,
}

impl Arguments {
    fn read(mut from: impl Iterator<Item = String>) -> Result<Self, DemoError> {
        let mut arguments = Self::default();
        while let Some(name) = from.next() {
            let place = match name.as_str() {
                "--report" => &mut arguments.report,
                "--script" => &mut arguments.script,
                _ => return Err(DemoError::Usage(format!("unknown argument {name}"))),
            };
            let value = from.next().ok_or_else(|| DemoError::Usage(format!("{name} needs a file")))?;
            *place = Some(value.into());
        }
        Ok(arguments)
    }
}

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some(SENDER) {
        return rudderspindle::main();
    }
    let play = || {
        let arguments = Arguments::read(std::env::args().skip(1))?;
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        runtime.block_on(run(&arguments))
    };
    match play() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rudderspindle-demo: {error}");
            ExitCode::from(2)
        }
    }
}

/// Whether nothing was lost or doubled and no rule broken.
async fn run(arguments: &Arguments) -> Result<bool, DemoError> {
    let script = match &arguments.script {
        Some(path) => Scenario::read(path),
        None => Scenario::parse(EVENING, Path::new("evening.toml")),
    };
    let script = script.map_err(DemoError::Scenario)?;
    let folder = tempfile::tempdir()?;
    let launch = Launch {
        program: std::env::current_exe()?,
        arguments: vec![SENDER.to_owned()],
        variables: Vec::new(),
    };
    let config = EnvironmentConfig { launch, folder: folder.path().to_owned(), max_lifetime: LONGEST };
    println!(
        "{} senders, {} partners, {:.0} messages a second for {} s",
        script.senders,
        script.receivers.len(),
        script.traffic.per_s.get(),
        script.seconds
    );
    let environment = TestEnvironment::start(&script, &config).await.map_err(DemoError::TestEnvironment)?;
    let event_log = environment.event_log();
    let mut playing = tokio::spawn(environment.run());
    let (mut screen, mut tally) = (Screen::new(), Tally::new(&script));
    let (mut seen, mut printed) = (0, 0);
    let played = loop {
        tokio::select! {
            played = &mut playing => break played,
            () = sleep(LIVE) => {
                show(&event_log, &mut seen, &mut tally, &mut screen);
                let now = event_log.now() / 1_000;
                if screen.is_live() || now >= printed + PLAIN {
                    screen.table(&tally);
                    printed = now;
                }
            }
        }
    };
    show(&event_log, &mut seen, &mut tally, &mut screen);
    screen.table(&tally);
    let played = played.map_err(std::io::Error::other)?;
    let verdict = check_events(&played.lines);
    println!("\n{verdict}");
    for failure in &played.failures {
        println!("FAILED: {failure}");
    }
    if let Some(path) = &arguments.report {
        let end = played.lines.last().map_or(0, |line| line.t);
        std::fs::write(path, page::page(&tally, &verdict, end))?;
        println!("the evening as a page: {}", path.display());
    }
    Ok(verdict.is_clean() && played.failures.is_empty())
}

/// Takes in what is new in the event_log, a line on the screen for each thing that happened.
fn show(event_log: &EventLog, seen: &mut usize, tally: &mut Tally, screen: &mut Screen) {
    let lines = event_log.lines_from(*seen);
    *seen += lines.len();
    for line in &lines {
        if let Some(what) = tally.take(line) {
            screen.say(line.t / 1_000, &what);
        }
    }
}
