//! The cases.

mod planned_stop;
mod spot;
mod tunnel;
mod two;

use std::path::PathBuf;

use crate::world::Record;

/// Exit code if the rule was broken.
pub const BROKEN: u8 = 1;
/// Exit code if the rule held.
pub const HELD: u8 = 0;
/// Exit code if the case could not run.
pub const NOT_RUN: u8 = 2;

/// Runs a case with the paths of the gateway, a temporary folder and the record.
pub async fn run(name: &str, paths: &[PathBuf; 3], has_trouble: bool) -> u8 {
    let [gateway, folder, record] = paths;
    let record = Record::new(record);
    record.note(&format!("case {name}, {}", if has_trouble { "with trouble" } else { "without" }));
    let code = match name {
        "planned-stop" => planned_stop::run(gateway, folder, &record, has_trouble).await,
        "spot" => spot::run(gateway, folder, &record, has_trouble).await,
        "two" => two::run(gateway, folder, &record, has_trouble).await,
        "tunnel" => tunnel::run(gateway, folder, &record, has_trouble).await,
        _ => NOT_RUN,
    };
    let text = match code {
        BROKEN => "the rule was broken",
        HELD => "the rule held",
        _ => "the case could not run",
    };
    record.note(&format!("exit {code}: {text}"));
    code
}

/// A configuration with one team, one key and these routes and services.
pub fn config(routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":1,"routes":[{routes}],"services":[{services}],
        "limits":{{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}},
        "tenants":[{{"name":"night-desk","keys":["k1"],"priority":1}}]}}"#
    )
}
