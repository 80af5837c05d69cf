//! Tests of the ownership and expiry of idempotency keys.

use rstest::rstest;
use uuid::Uuid;
use workshold_core::keys::KeyStatus;
use workshold_core::keys::Keys;
use workshold_core::keys::key_time;
use workshold_core::state::Rejection;
use workshold_protocol::Millis;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RequestDigest;
use workshold_protocol::record::Intent;
use workshold_protocol::record::KeyExpiry;

fn intent(key: &str, time: u64, node: &str) -> Intent {
    Intent {
        key: KeyDigest::of(key.as_bytes()),
        key_time: Millis(time),
        request: RequestDigest::of(b"request"),
        node: NodeId::new(node).unwrap(),
        incarnation: Incarnation(1),
    }
}

#[test]
fn the_first_intent_in_the_log_owns_the_key() {
    let mut keys = Keys::default();
    assert_eq!(keys.claim(&intent("a", 10, "n1"), Offset(0)), Ok(()));
    assert_eq!(keys.claim(&intent("a", 10, "n2"), Offset(1)), Err(Rejection::KeyTaken));
    let (key, request) = (KeyDigest::of(b"a"), RequestDigest::of(b"request"));
    let KeyStatus::Owned(owner) = keys.status(&key, Millis(10), &request) else { panic!() };
    assert_eq!(owner.node.as_str(), "n1");
}

#[test]
fn a_forgotten_key_is_refused_and_never_free_again() {
    let mut keys = Keys::default();
    keys.claim(&intent("a", 10, "n1"), Offset(0)).unwrap();
    keys.forget(KeyExpiry { before: Millis(11) }).unwrap();
    assert!(keys.is_empty());
    let (key, request) = (KeyDigest::of(b"a"), RequestDigest::of(b"request"));
    assert_eq!(keys.status(&key, Millis(10), &request), KeyStatus::Forgotten);
    assert_eq!(keys.claim(&intent("a", 10, "n2"), Offset(2)), Err(Rejection::KeyForgotten));
}

#[test]
fn a_key_used_for_another_request_is_reported_as_reused() {
    let mut keys = Keys::default();
    keys.claim(&intent("a", 10, "n1"), Offset(0)).unwrap();
    let other = RequestDigest::of(b"another request");
    assert_eq!(keys.status(&KeyDigest::of(b"a"), Millis(10), &other), KeyStatus::Reused);
}

#[rstest]
#[case("not a uuid")]
#[case("0b8c5f2e-6c0a-4d0e-9a55-0d8d4d5f6f10")]
#[case("")]
fn rejects_keys_that_are_not_uuid_version_7(#[case] key: &str) {
    assert!(key_time(key).is_err());
}

#[test]
fn extracts_the_creation_time_of_a_key() {
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, 1_700_000_000, 123_000_000);
    let key = Uuid::new_v7(stamp).to_string();
    assert_eq!(key_time(&key), Ok(Millis(1_700_000_000_123)));
}
