//! Selection of the log lines that concern one request.

use workshold_cli::commands::trace::LogLine;
use workshold_cli::commands::trace::lines_about;

const LINES: &str = r#"
 3.2 front-a {"at_ms":3200,"event":"W1203","instance":"i-1","node":"n-2","order":"Close","text":"an instance was given an order"}
 3.1 front-a {"at_ms":3100,"event":"W1301","instance":"i-1","node":"n-1","reach":"Silent","text":"an instance cannot be reached"}
 3.1 front-a {"at_ms":3110,"event":"W1404","instance":"i-1","node":"n-1","request":"r-1","text":"an attempt failed","why":"a member is out of reach"}
 3.1 front-a {"at_ms":3120,"event":"W1404","instance":"i-1","node":"n-1","request":"r-2","text":"an attempt failed"}
 3.4 front-a {"at_ms":3400,"event":"W1405","instance":"i-7","node":"n-1","request":"r-1","text":"a stream goes on at another instance"}
 9.9 front-a {"at_ms":9900,"event":"W1302","instance":"i-1","node":"n-1","text":"an instance in doubt answers"}
not a line of a node
"#;

#[test]
fn lines_of_a_request_include_events_of_its_instances() {
    let all: Vec<LogLine> = LINES.lines().filter_map(LogLine::parse).collect();
    assert_eq!(all.len(), 6);
    let found = lines_about(&all, "r-1", 1_000);
    let events: Vec<(u64, &str)> =
        found.iter().map(|l| (l.at_ms, l.fields["event"].as_str().unwrap())).collect();
    assert_eq!(events, [(3100, "W1301"), (3110, "W1404"), (3200, "W1203"), (3400, "W1405")]);
    assert!(lines_about(&all, "r-9", 1_000).is_empty());
}
