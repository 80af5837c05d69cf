//! How fresh a configuration is that came from a peer.

use workshold_core::hosted::config_freshness::ConfigFreshness;
use workshold_protocol::Millis;

const NOW: Millis = Millis(10_000);

/// Guards against a version that counts as outdated from the moment at which it is taken until the
/// next heartbeat: keys were refused meanwhile.
#[test]
fn a_version_that_peers_announced_is_as_fresh_as_they_said() {
    let mut freshness = ConfigFreshness::default();
    freshness.take(6, NOW);
    assert!(freshness.confirm(7, NOW + Millis(200)));
    assert!(freshness.confirm(7, NOW + Millis(100)), "an older announcement changes nothing");
    assert!(freshness.take(7, Millis::ZERO));
    assert_eq!(freshness.age(NOW + Millis(500)), Some(Millis(300)));
}

#[test]
fn an_announcement_of_another_version_does_not_count() {
    let mut freshness = ConfigFreshness::default();
    freshness.confirm(8, NOW);
    assert!(freshness.take(7, Millis::ZERO));
    assert_eq!(freshness.age(NOW), Some(NOW));
    freshness.confirm(7, NOW - Millis(50));
    assert_eq!(freshness.age(NOW), Some(Millis(50)));
}
