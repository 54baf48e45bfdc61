//! Invariants of the value in force under any sequence of offers.

mod common;

use std::collections::BTreeMap;

use common::{configuration, document, options, peer, start};
use mangofront_configuration::{Platform, Source};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 20_261_202;

/// An offer with one of a few revisions and one of a few values.
#[derive(Debug, Clone)]
struct Offer {
    from_service: bool,
    revision: u64,
    value: Value,
}

#[derive(Debug, Clone, Copy)]
enum Value {
    Valid { target_ms: u64 },
    Invalid,
    NotJson,
}

impl Arbitrary for Offer {
    fn arbitrary(g: &mut Gen) -> Self {
        let values = [
            Value::Valid { target_ms: 100 },
            Value::Valid { target_ms: 200 },
            Value::Invalid,
            Value::NotJson,
        ];
        Self {
            from_service: bool::arbitrary(g),
            revision: u64::arbitrary(g) % 12,
            value: *g.choose(&values).unwrap_or(&Value::Invalid),
        }
    }
}

impl Offer {
    fn body(&self) -> String {
        match self.value {
            Value::Valid { target_ms } => configuration(target_ms),
            Value::Invalid => configuration(0),
            Value::NotJson => "[".to_owned(),
        }
    }

    fn source(&self) -> Source {
        if self.from_service {
            Source::Service
        } else {
            peer()
        }
    }
}

/// Makes all `offers` to `platform`. Returns whether the revision in force never decreased
/// and was always the highest valid one, its value never changed, and the value in force
/// was always one of the valid offers.
fn keeps_invariants(platform: &Platform, offers: &[Offer]) -> bool {
    let mut valid: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut previous = None;
    offers.iter().all(|offer| {
        if let Value::Valid { target_ms } = offer.value {
            valid.entry(offer.revision).or_default().push(target_ms);
        }
        platform.offer(document(offer.revision, offer.body()), offer.source());
        let now = common::revision(platform).zip(common::target_ms(platform));
        let was_offered = now.is_none_or(|(revision, target_ms)| {
            valid
                .get(&revision)
                .is_some_and(|targets| targets.contains(&target_ms))
        });
        let highest = valid.keys().next_back().copied();
        let is_highest = now.map(|(revision, _)| revision) == highest;
        let never_decreased = match (previous, now) {
            (Some((before, value)), Some((revision, target_ms))) => {
                revision > before || (revision == before && target_ms == value)
            }
            (Some(_), None) => false,
            (None, _) => true,
        };
        previous = now;
        was_offered && is_highest && never_decreased
    })
}

fn property(offers: Vec<Offer>) -> bool {
    let runtime = compio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let unreachable = "127.0.0.1:9".parse().expect("address");
        let (platform, _changes) = start(options(unreachable));
        keeps_invariants(&platform, &offers)
    })
}

#[test]
fn revision_in_force_never_decreases_and_is_the_highest_valid_offer() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(property as fn(Vec<Offer>) -> bool);
}
