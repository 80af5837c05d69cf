//! `workshold-dev prepare`: writes keys, settings and a bundle into a directory.

use std::path::Path;

use workshold_protocol::signing::ClusterKey;
use workshold_protocol::signing::OperatorKey;

use crate::Layout;
use crate::layout::SERVICE;

/// Names of the operators of a development deployment.
pub const OPERATORS: [&str; 2] = ["alice", "bob"];

/// Writes `cluster.key`, `alice.key`, `bob.key`, `bundle.toml` and an
/// `entry-N.toml` for each entry node.
///
/// # Errors
///
/// If the directory or a file cannot be written.
pub fn run(layout: &Layout, folder: &Path, times: &str) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("cluster.key"), ClusterKey::generate_text())?;
    let mut operators = String::new();
    for name in OPERATORS {
        let key = OperatorKey::generate();
        std::fs::write(folder.join(format!("{name}.key")), key.to_text())?;
        operators.push_str(&format!("{name} = \"{}\"\n", key.public().0));
    }
    for i in 0..layout.entries {
        let text = settings(layout, i, &operators, times);
        std::fs::write(folder.join(format!("entry-{i}.toml")), text)?;
    }
    std::fs::write(folder.join("bundle.toml"), bundle(layout, "first", "v1"))
}

fn settings(layout: &Layout, i: u16, operators: &str, times: &str) -> String {
    format!(
        "[node]\nname = \"entry-{i}\"\ndata_centre = \"{}\"\ncallers = \"{}\"\npeers = \"{}\"\n\
         operators = \"{}\"\n\n[platform]\nlog = \"{}\"\ninstances = \"{}\"\n\n[trust]\n\
         cluster_key_file = \"cluster.key\"\n\n[trust.operators]\n{operators}\n[times]\n{times}\n\
         [bounds]\nload_mib_per_s = {}\n",
        layout.entry_data_centre(i),
        layout.callers(i),
        layout.peers(i),
        layout.operators(i),
        layout.log(),
        layout.list(),
        layout.load_mib_per_s,
    )
}

/// Creates a bundle for the layout: one replica per fabric domain, with all but one of the
/// domain's engines (four by default); the small role needs half as many.
pub fn bundle(layout: &Layout, name: &str, version: &str) -> String {
    let domains = layout.engines / layout.engines_per_domain.max(1);
    let size = layout.engines_per_domain.saturating_sub(1).max(1);
    let small = (size / 2).max(1);
    format!(
        "name = \"{name}\"\n\n[weights]\ngroup_downtime = 1.0\nstranded_accelerator = 0.01\n\n\
         [models.assistant]\nversion = \"{version}\"\nreplicas = {domains}\nweights_mib = 512\n\
         adapters = [\"polish\"]\n\n[[models.assistant.roles]]\nname = \"full\"\ninstances = {size}\n\n\
         [[models.assistant.roles]]\nname = \"small\"\ninstances = {small}\nworth = 0.4\n\n\
         [services.{SERVICE}]\npath = \"/{SERVICE}\"\n\n\
         [teams.travel]\nrequests_per_s = 2000.0\ntokens_per_s = 200000.0\n\n\
         [teams.shuttle]\nrequests_per_s = 50.0\ntokens_per_s = 20000.0\n"
    )
}
