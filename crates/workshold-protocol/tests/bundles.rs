//! Validation of a bundle reports all faults at once, each with its path.

use workshold_protocol::bundle::Bundle;

#[test]
fn faults_are_named_with_their_places() {
    let text = r#"
name = " "
[weights]
group_downtime = -1.0
stranded_accelerator = 0.1
[models.big]
version = "v1"
replicas = 2
weights_mib = 0
roles = []
[models.small]
version = "v1"
replicas = 1
[[models.small.roles]]
name = "full"
instances = 0
[[models.small.roles]]
name = "full"
instances = 4
worth = 2.0
[services.a]
path = "/gate"
[services.b]
path = "/gate/inner"
[services.c]
path = "/v1/mine"
[services.d]
path = "nowhere"
[teams.t]
requests_per_s = 0.0
tokens_per_s = 10.0
key_hashes = ["short"]
"#;
    let faults: Vec<_> =
        Bundle::from_toml(text).unwrap().faults().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn an_unknown_key_is_rejected_by_name() {
    let err = Bundle::from_toml("name = \"b\"\nmodles = 1\n").unwrap_err().to_string();
    assert!(err.contains("modles"), "{err}");
}
