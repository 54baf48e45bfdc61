//! Which upstreams are used, and which of them other daemons are told of.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mangofront_gateway::{Contact, Missing, Registered, Registrations};
use mangofront_routes::Upstream;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const KEPT: Duration = Duration::from_secs(2);

fn upstream(id: u8, leaving: bool) -> Upstream {
    Upstream {
        id: format!("i-{id}"),
        started_at_ms: 1,
        service: "a".to_owned(),
        address: format!("10.0.0.{id}:80").parse().expect("an address"),
        availability_zone: "z".to_owned(),
        slots: 4,
        registered_at: 1,
        leaving,
    }
}

fn names<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> BTreeSet<String> {
    upstreams.map(|upstream| upstream.id.clone()).collect()
}

#[test]
fn one_that_may_have_lapsed_is_used_for_a_while_and_told_to_nobody() {
    let now = Instant::now();
    let until = now + KEPT;
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, false));
    let id = "i-1".to_owned();
    assert_eq!(registrations.miss(&id, Some(until)), Missing::Kept(until));
    assert_eq!(registrations.used().count(), 1);
    assert_eq!(registrations.published().count(), 0);
    assert!(!registrations.end_keeping(&id, now), "not yet");
    assert!(registrations.end_keeping(&id, until));
    assert_eq!(registrations.used().count(), 0);
}

#[test]
fn one_that_said_that_it_leaves_is_not_kept() {
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true));
    let until = Instant::now() + KEPT;
    let missing = registrations.miss(&"i-1".to_owned(), Some(until));
    assert_eq!(missing, Missing::Removed);
    assert_eq!(registrations.used().count(), 0);
}

#[test]
fn one_that_is_back_is_not_removed_by_the_end_of_its_keeping() {
    let until = Instant::now() + KEPT;
    let mut registrations = Registrations::default();
    let id = "i-1".to_owned();
    registrations.register(upstream(1, false));
    registrations.miss(&id, Some(until));
    assert_eq!(
        registrations.register(upstream(1, false)),
        Registered::Unchanged
    );
    assert!(!registrations.end_keeping(&id, until));
    assert_eq!(registrations.published().count(), 1);
}

/// What becomes of an upstream, and who hears of it.
#[derive(Debug, Clone, Copy)]
enum Step {
    Registers(u8),
    SaysThatItLeaves(u8),
    Gone(u8),
    /// The second daemon takes over what the first hands out.
    Copied,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 5;
        match u8::arbitrary(g) % 4 {
            0 => Self::Registers(id),
            1 => Self::SaysThatItLeaves(id),
            2 => Self::Gone(id),
            _ => Self::Copied,
        }
    }
}

/// A daemon that has just lost the source keeps what is missing. Whatever it hands on is
/// what is published, so that a daemon that trusts it never uses one that has left.
#[test]
fn a_copy_holds_what_is_published_and_nothing_else() {
    fn property(steps: Vec<Step>) -> bool {
        let until = Some(Instant::now() + KEPT);
        let mut source: BTreeSet<String> = BTreeSet::new();
        let (mut first, mut second) = (Registrations::default(), Registrations::default());
        steps.into_iter().chain([Step::Copied]).all(|step| {
            match step {
                Step::Registers(id) | Step::SaysThatItLeaves(id) => {
                    let leaving = matches!(step, Step::SaysThatItLeaves(_));
                    source.insert(format!("i-{id}"));
                    first.register(upstream(id, leaving));
                }
                Step::Gone(id) => {
                    source.remove(&format!("i-{id}"));
                    first.miss(&format!("i-{id}"), until);
                }
                Step::Copied => {
                    let copied: Vec<Upstream> = first.published().cloned().collect();
                    let missing = second.ids();
                    for id in &missing - &copied.iter().map(|one| one.id.clone()).collect() {
                        second.miss(&id, None);
                    }
                    for one in copied {
                        second.register(one);
                    }
                    return names(second.used()) == source;
                }
            }
            names(first.published()) == source
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// What is missing is kept for a moment after the source is back, not after it is noticed.
#[test]
fn keeping_ends_a_moment_after_the_contact_is_regained() {
    let now = Instant::now();
    let mut contact = Contact::default();
    assert_eq!(contact.keep_until(now, KEPT), None, "never out of touch");
    contact.note(false, now);
    assert_eq!(contact.keep_until(now, KEPT), Some(now + KEPT));
    contact.note(true, now);
    let later = now + KEPT / 2;
    contact.note(true, later);
    assert_eq!(contact.keep_until(later, KEPT), Some(now + KEPT));
    assert_eq!(contact.keep_until(now + KEPT, KEPT), None);
}
