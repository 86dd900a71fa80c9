//! Names of earlier releases, which the golden files have: scenarios and verdicts are translated back to them.

/// A current name and the earlier one.
#[derive(Clone, Copy, Debug)]
pub struct Rename {
    pub current: &'static str,
    pub earlier: &'static str,
}

const fn rename(current: &'static str, earlier: &'static str) -> Rename {
    Rename { current, earlier }
}

/// Keys of a scenario, and values that name a kind, in quotes.
pub const SCENARIO_NAMES: &[Rename] = &[
    rename("list_delay_ms", "list_late_ms"),
    rename("receivers", "partners"),
    rename("events", "happenings"),
    rename("idempotent_share", "status_share"),
    rename("burst_share", "clumps"),
    rename("burst_len", "clump"),
    rename("retry_share", "retries"),
    rename("abandon_share", "leave"),
    rename("malformed_per_s", "bad_per_s"),
    rename("zone", "hall"),
    rename("independent", "apart"),
    rename("counts_rejected", "refused_count"),
    rename("retry_after", "tells"),
    rename("service_time_ms", "work_ms"),
    rename("max_queued", "queue"),
    rename("max_connections", "connections"),
    rename("window_ms", "span_ms"),
    rename("duration_ms", "for_ms"),
    rename("receiver", "partner"),
    rename("delay_ms", "late_ms"),
    rename("restart_after_ms", "back_ms"),
    rename("fault", "trouble"),
    rename("\"window\"", "\"span\""),
    rename("\"refuse_connections\"", "\"refuse\""),
    rename("\"reject_all\"", "\"shut\""),
    rename("\"unresponsive\"", "\"silent\""),
    rename("\"unreachable\"", "\"vanish\""),
    rename("\"discovery\"", "\"agent\""),
    rename("\"move_discovery\"", "\"move\""),
    rename("\"rejects_notifications\"", "\"refuses_notices\""),
    rename("\"ignores_notifications\"", "\"ignores_notices\""),
    rename("\"lose_responses\"", "\"lose_back\""),
];

/// Labels of a verdict's accounting.
const ACCOUNTING_LABELS: &[Rename] = &[
    rename("submitted", "handed in"),
    rename("  accepted", "  taken on"),
    rename("    delivered", "    delivered"),
    rename("    rejected", "    refused"),
    rename("    failed", "    failed"),
    rename("    pending", "    open"),
    rename("    lost", "    lost"),
    rename("  shed at admission", "  refused at door"),
    rename("  failed at admission", "  failed at door"),
    rename("  unanswered", "  unheard"),
    rename("duplicated", "doubled"),
    rename("calls", "calls"),
];
/// Width of the labels, in columns.
const LABEL_WIDTH: usize = 22;
const EARLIER_LABEL_WIDTH: usize = 19;

/// Descriptions of the rules.
const RULES: &[Rename] = &[
    rename("no accepted message is lost", "no message is lost"),
    rename("no message is duplicated", "no effect happens twice"),
    rename("draining endpoints get no new calls", "drains are kept"),
    rename("recovering endpoints are not overloaded", "nobody who returns is pushed over"),
    rename("ordering keys are kept in order", "order is kept"),
    rename("Retry-After is respected", "waits are heeded"),
];
/// Width of the descriptions, in columns.
const RULE_WIDTH: usize = 40;
const EARLIER_RULE_WIDTH: usize = 36;

/// Phrases of violations and of the other lines; a later one may be a part of an earlier one.
const PHRASES: &[Rename] = &[
    rename("was never submitted", "was never handed in"),
    rename("is sent after its final outcome, rejected", "is sent after it ended as Refused"),
    rename("is sent after its final outcome, failed", "is sent after it ended as Failed"),
    rename("has two final outcomes, rejected and failed", "has two ends, Refused and Failed"),
    rename("has two final outcomes, failed and rejected", "has two ends, Failed and Refused"),
    rename("has its final outcome ", "has its end "),
    rename("was accepted and has no final outcome", "was taken on and has no end"),
    rename("has two attempts in flight", "has two attempts out"),
    rename("is sent again after a possible execution", "is sent again and may have run"),
    rename("was possibly executed at ", "may have run at "),
    rename(" and is sent to ", " and goes to "),
    rename("ms after its key has expired", "ms after its key is forgotten"),
    rename("is rejected after a possible execution", "is refused and may have run"),
    rename(" is sent to ", " goes to "),
    rename(" was notified that it is draining", " was told that it drains"),
    rename("is overloaded: ", "is pushed over: "),
    rename(" is in flight", " is out"),
    rename(" is complete", " is over"),
    rename("may still be executing", "may still run"),
    rename("'s Retry-After has passed", "'s wait is over"),
    rename(" recovered from ", " back from "),
    rename("receiver ", "partner "),
    rename("inconclusive: a fake lagged by ", "late: a stand-in was "),
    rename(" ms; run it again", " ms behind; this run says nothing"),
];

/// A scenario's TOML with these names replaced.
pub fn rename_in_scenario(toml: &str, names: &[Rename]) -> String {
    let earlier = |name: &str| {
        let rename = names.iter().find(|rename| rename.current == name);
        rename.map_or(name, |rename| rename.earlier).to_owned()
    };
    let mut text = String::new();
    for line in toml.lines() {
        let renamed = if let Some((key, value)) = line.split_once(" = ") {
            format!("{} = {}", earlier(key), earlier(value))
        } else {
            // The header of a table, or an empty line.
            let path = line.trim_matches(['[', ']']);
            let renamed: Vec<String> = path.split('.').map(earlier).collect();
            if path.is_empty() { line.to_owned() } else { line.replace(path, &renamed.join(".")) }
        };
        text += &renamed;
        text.push('\n');
    }
    text
}

/// A scenario's TOML as earlier releases wrote it.
pub fn of_scenario(toml: &str) -> String {
    rename_in_scenario(toml, SCENARIO_NAMES)
}

/// A verdict's summary or JSON as earlier releases wrote it.
pub fn of_verdict(verdict: &str) -> String {
    let mut text = String::new();
    for line in verdict.split_inclusive('\n') {
        text += &of_line(line);
    }
    text
}

fn of_line(line: &str) -> String {
    for Rename { current, earlier } in ACCOUNTING_LABELS {
        if let Some(rest) = line.strip_prefix(&format!("{current:<LABEL_WIDTH$}")) {
            return format!("{earlier:<EARLIER_LABEL_WIDTH$}{}", rest.replace("rejected", "refused"));
        }
    }
    for Rename { current, earlier } in RULES {
        if let Some(rest) = line.strip_prefix(&format!("{current:<RULE_WIDTH$}")) {
            return format!("{earlier:<EARLIER_RULE_WIDTH$}{rest}");
        }
    }
    let renamed = |text: String, rename: &Rename| text.replace(rename.current, rename.earlier);
    PHRASES.iter().fold(with_capacity_last(line), renamed)
}

/// The capacity in an overload's violation stood in front of its phrase.
fn with_capacity_last(line: &str) -> String {
    let mut parts = line.split(", capacity ");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = part.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(part.len());
        text += &format!(", {} at its pace{}", &part[..end], &part[end..]);
    }
    text
}
