//! Records and messages from anyone but an authorised writer are rejected.

use std::collections::BTreeMap;

use proptest::prelude::*;
use workshold_protocol::Error;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::CostWeights;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::BundleHash;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::OperatorName;
use workshold_protocol::peer::PeerQuery;
use workshold_protocol::peer::PeerRequest;
use workshold_protocol::peer::decode_sealed;
use workshold_protocol::peer::encode_sealed;
use workshold_protocol::record;
use workshold_protocol::record::Author;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::KeyExpiry;
use workshold_protocol::record::SignOff;
use workshold_protocol::signing::ClusterKey;
use workshold_protocol::signing::OperatorKey;
use workshold_protocol::signing::TrustedOperators;

fn cluster_key() -> ClusterKey {
    ClusterKey::from_text(&ClusterKey::generate_text()).unwrap()
}

fn trusted_operators(key: &OperatorKey) -> TrustedOperators {
    TrustedOperators::new([(OperatorName::new("alice").unwrap(), key.public())]).unwrap()
}

fn sign_off() -> Envelope {
    let fact = Fact::BundleSignedOff(SignOff { bundle: BundleHash::of(b"b"), parent: None });
    Envelope::new(Millis(1), vec![fact])
}

fn forget_keys() -> Envelope {
    Envelope::new(Millis(1), vec![Fact::KeysForgotten(KeyExpiry { before: Millis(9) })])
}

#[test]
fn records_of_nodes_and_operators_are_accepted() {
    let (cluster, operator) = (cluster_key(), OperatorKey::generate());
    let trusted = trusted_operators(&operator);
    let (envelope, author) =
        record::open(&record::seal_as_node(&forget_keys(), &cluster), &cluster, &trusted).unwrap();
    assert_eq!((envelope.facts, author), (forget_keys().facts, Author::Node));
    let text = record::seal_as_operator(&sign_off(), &operator);
    let (_, author) = record::open(&text, &cluster, &trusted).unwrap();
    assert_eq!(author, Author::Operator(OperatorName::new("alice").unwrap()));
}

#[test]
fn nodes_may_not_sign_off_and_operators_may_not_write_facts_of_nodes() {
    let (cluster, operator) = (cluster_key(), OperatorKey::generate());
    let trusted = trusted_operators(&operator);
    for text in [
        record::seal_as_node(&sign_off(), &cluster),
        record::seal_as_operator(&forget_keys(), &operator),
    ] {
        let opened = record::open(&text, &cluster, &trusted);
        assert!(matches!(opened, Err(Error::NotAllowed { .. })), "{opened:?}");
    }
}

#[test]
fn records_under_unknown_keys_are_rejected() {
    let (cluster, operator) = (cluster_key(), OperatorKey::generate());
    let trusted = trusted_operators(&operator);
    let other_cluster = record::seal_as_node(&forget_keys(), &cluster_key());
    assert_eq!(record::open(&other_cluster, &cluster, &trusted), Err(Error::BadSeal));
    let untrusted = record::seal_as_operator(&sign_off(), &OperatorKey::generate());
    let opened = record::open(&untrusted, &cluster, &trusted);
    assert!(matches!(opened, Err(Error::UntrustedKey { .. })), "{opened:?}");
}

#[test]
fn a_bundle_that_was_changed_after_signing_is_rejected() {
    let (cluster, operator) = (cluster_key(), OperatorKey::generate());
    let bundle = Bundle {
        name: "good".to_owned(),
        weights: CostWeights::default(),
        models: BTreeMap::new(),
        services: BTreeMap::new(),
        teams: BTreeMap::new(),
    };
    let mut signed = SignedBundle::sign(bundle, &operator);
    signed.bundle.name = "changed".to_owned();
    let envelope = Envelope::new(Millis(1), vec![Fact::BundlePublished(Box::new(signed))]);
    let text = record::seal_as_operator(&envelope, &operator);
    let opened = record::open(&text, &cluster, &trusted_operators(&operator));
    assert_eq!(opened, Err(Error::BadSignature));
}

proptest! {
    #[test]
    fn arbitrary_text_is_rejected_as_a_record(text in ".*") {
        let operator = OperatorKey::generate();
        prop_assert!(record::open(&text, &cluster_key(), &trusted_operators(&operator)).is_err());
    }

    #[test]
    fn a_message_with_one_changed_byte_is_rejected(position in 0_usize..200, flip in 1_u8..=255) {
        let key = cluster_key();
        let from = NodeId::new("node-1").unwrap();
        let ask = PeerQuery::Records { from: workshold_protocol::ids::Offset(7) };
        let mut bytes = encode_sealed(&PeerRequest { nonce: 5, from, ask }, &key);
        let position = position % bytes.len();
        bytes[position] ^= flip;
        prop_assert_eq!(decode_sealed::<PeerRequest>(&bytes, &key), Err(Error::BadSeal));
    }

    #[test]
    fn arbitrary_toml_does_not_panic(text in "[a-z0-9_\\[\\]=\"\\.\n ]{0,200}") {
        if let Ok(bundle) = Bundle::from_toml(&text) {
            let _ = bundle.faults();
        }
    }
}
