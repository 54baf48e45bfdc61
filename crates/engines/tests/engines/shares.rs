//! Room among callers: fair shares of organisations, and precedence by priority.

use std::time::Duration;

use mangofront_engines::{
    Caller, Demand, LoadUpdate, NoUpstream, OverShare, Placement, fair_share,
};
use quickcheck::QuickCheck;

use crate::support::{Fleet, demand, long_request, short_request};

fn of(organisation: u32, demand: Demand) -> Demand {
    let caller = Caller {
        organisation,
        ..demand.caller
    };
    Demand {
        caller,
        is_refusable: true,
        ..demand
    }
}

fn with_priority(priority: u8, demand: Demand) -> Demand {
    let caller = Caller {
        priority,
        ..demand.caller
    };
    Demand { caller, ..demand }
}

/// Places requests until one is not, or `limit` are.
fn fill(fleet: &Fleet, demand: &Demand, limit: usize) -> (Vec<Placement>, Option<NoUpstream>) {
    let mut placed = Vec::new();
    while placed.len() < limit {
        match fleet.place(demand) {
            Ok(one) => placed.push(one),
            Err(reason) => return (placed, Some(reason)),
        }
    }
    (placed, None)
}

fn over_share(refused: Option<NoUpstream>) -> Option<OverShare> {
    match refused {
        Some(NoUpstream::OrganisationOverShare(over_share)) => Some(over_share),
        _ => None,
    }
}

/// Guards against shares whose sum is more than there is, or that leave something unused while
/// somebody wants it.
#[test]
fn shares_use_what_there_is() {
    fn holds(uses: Vec<u16>, there_is: u16) -> bool {
        let uses: Vec<f64> = uses.into_iter().map(f64::from).collect();
        let (sum, there_is) = (uses.iter().sum::<f64>(), f64::from(there_is));
        match fair_share(&uses, there_is) {
            Some(level) => {
                let cut: f64 = uses.iter().map(|one| one.min(level)).sum();
                // Who needs less than an equal part gets all of it.
                let equal_part = there_is / uses.len() as f64;
                (cut - there_is).abs() < 1e-6 * (1.0 + there_is) && level >= equal_part - 1e-9
            }
            None => sum < there_is + 1e-9,
        }
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u16>, u16) -> bool);
}

/// Guards against a share that grows when another organisation needs more, or shrinks when there
/// is more to share.
#[test]
fn shares_are_monotonic() {
    fn holds(uses: Vec<u16>, more: u16, there_is: u16) -> bool {
        let mut uses: Vec<f64> = uses.into_iter().map(f64::from).collect();
        let there_is = f64::from(there_is);
        let level = |uses: &[f64], there_is| fair_share(uses, there_is).unwrap_or(f64::INFINITY);
        let before = level(&uses, there_is);
        let is_larger = level(&uses, there_is + f64::from(more)) >= before - 1e-9;
        if let Some(first) = uses.first_mut() {
            *first += f64::from(more);
        }
        is_larger && level(&uses, there_is) <= before + 1e-9
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u16>, u16, u16) -> bool);
}

/// Guards against an organisation that takes every slot while others ask too; what those leave is
/// lent to it. The engines have 32 slots, of which 20 are given out before newcomers lack one.
#[test]
fn a_large_organisation_leaves_the_last_slots_to_others() {
    let fleet = Fleet::with_fixed_clock(2);
    let (_small, none) = fill(&fleet, &of(2, short_request()), 3);
    let (large, refused) = fill(&fleet, &of(1, short_request()), 100);
    insta::assert_debug_snapshot!((none, large.len(), over_share(refused)));
    let (others, refused) = fill(&fleet, &of(2, short_request()), 6);
    assert_eq!((others.len(), refused), (6, None));
    // A request that was sent before is not refused, as engines have spent work on it.
    let sent = Demand {
        is_refusable: false,
        ..of(1, short_request())
    };
    assert!(fleet.place(&sent).is_ok());
    // What is free again may be used again.
    drop(large);
    assert!(fleet.place(&of(1, short_request())).is_ok());
}

/// Guards against an organisation whose prompts keep the engines from reading those of others
/// within their target, while there are slots.
#[test]
fn time_to_read_is_shared_too() {
    let fleet = Fleet::with_fixed_clock(2);
    let (_small, _) = fill(&fleet, &of(2, short_request()), 1);
    let (placed, refused) = fill(&fleet, &of(1, demand(30_000, 250, 300)), 100);
    insta::assert_debug_snapshot!((placed.len(), over_share(refused)));
    assert!(fleet.place(&of(2, short_request())).is_ok());
}

/// Guards against sharing out what requests without an organisation have taken.
#[test]
fn work_without_an_organisation_is_not_shared_out() {
    let fleet = Fleet::with_fixed_clock(2);
    let (_unowned, _) = fill(&fleet, &of(0, short_request()), 10);
    let (_small, _) = fill(&fleet, &of(2, short_request()), 1);
    let (placed, refused) = fill(&fleet, &of(1, short_request()), 100);
    insta::assert_debug_snapshot!((placed.len(), over_share(refused)));
}

/// Guards against shares where there is nobody to share with, and against refusing requests
/// without an organisation for one.
#[test]
fn alone_or_without_an_organisation_everything_may_be_used() {
    for organisation in [0, 1] {
        let fleet = Fleet::with_fixed_clock(2);
        let (placed, refused) = fill(&fleet, &of(organisation, short_request()), 100);
        assert_eq!((placed.len(), refused), (34, Some(NoUpstream::Full)));
    }
    let fleet = Fleet::with_fixed_clock(2);
    let _others: Vec<_> = [1, 2]
        .map(|one| fill(&fleet, &of(one, short_request()), 2))
        .into();
    let (placed, refused) = fill(&fleet, &of(0, short_request()), 100);
    assert_eq!((placed.len(), refused), (30, Some(NoUpstream::Full)));
}

/// Guards against an even load in which whoever is ahead by chance is refused.
#[test]
fn equal_organisations_are_not_refused_by_chance() {
    let fleet = Fleet::with_fixed_clock(2);
    let mut placed = Vec::new();
    let refused = (0_u32..).find_map(|number| {
        let demand = of(number % 4 + 1, short_request());
        let result = fleet.place(&demand);
        result.map(|one| placed.push(one)).err()
    });
    assert_eq!((placed.len(), refused), (34, Some(NoUpstream::Full)));
}

/// Guards against shares of this daemon alone, and against the work of a daemon that is gone
/// keeping an organisation from its room.
#[test]
fn the_work_of_other_daemons_counts_until_they_are_gone() {
    let mut other = Fleet::with_fixed_clock(2);
    let (_large, _) = fill(&other, &of(1, short_request()), 24);
    let fleet = Fleet::with_fixed_clock(2);
    let (_small, _) = fill(&fleet, &of(2, short_request()), 2);
    for update in other.sent_updates() {
        fleet.upstreams.apply_update(7, update);
    }
    let refused = fleet.place(&of(1, short_request())).unwrap_err();
    insta::assert_debug_snapshot!(over_share(Some(refused)));
    // The list of running work ends what is not in it.
    let none = LoadUpdate::Running {
        prefilling: Vec::new(),
        decoding: Vec::new(),
    };
    fleet.upstreams.apply_update(7, none);
    let refused = fleet.place(&of(1, short_request())).unwrap_err();
    assert!(over_share(Some(refused)).is_some(), "too new to be missing");
    fleet.upstreams.remove_daemon(7);
    assert!(fleet.place(&of(1, short_request())).is_ok());
}

/// Guards against a less urgent request that takes one of the last slots, and against holding it
/// until it is late, or refusing it for its priority.
#[test]
fn a_less_urgent_request_leaves_the_last_slots_while_it_can() {
    let fleet = Fleet::with_fixed_clock(2);
    let urgent = with_priority(0, demand(5_000, 250, 3_000));
    let (_placed, _) = fill(&fleet, &urgent, 22);
    let less_urgent = with_priority(1, urgent.clone());
    assert_eq!(fleet.place(&less_urgent).unwrap_err(), NoUpstream::Busy);
    let _equal = fleet.place(&urgent).unwrap();
    let late = Demand {
        elapsed: Duration::from_millis(2_900),
        ..less_urgent
    };
    assert!(fleet.place(&late).is_ok());
}

/// Guards against an urgent request that is refused, each time it tries, while less urgent ones
/// take the slots that end.
#[test]
fn an_urgent_request_waits_for_the_slots_of_less_urgent_ones() {
    let fleet = Fleet::with_fixed_clock(2);
    let (_placed, refused) = fill(&fleet, &with_priority(1, short_request()), 100);
    assert_eq!(refused, Some(NoUpstream::Full));
    let outcomes = [0, 1, 2].map(|priority| {
        let demand = with_priority(priority, long_request(20_000));
        fleet.place(&demand).unwrap_err()
    });
    insta::assert_debug_snapshot!(outcomes);
    let late = Demand {
        elapsed: Duration::from_secs(6),
        ..with_priority(0, long_request(20_000))
    };
    assert_eq!(fleet.place(&late).unwrap_err(), NoUpstream::Full);
}

/// Guards against a large prompt refused for its size while less urgent work runs.
#[test]
fn a_large_prompt_is_not_refused_for_its_size_beside_less_urgent_work() {
    let outcomes = [0, 1].map(|priority| {
        let fleet = Fleet::with_fixed_clock(2);
        let less_urgent = with_priority(1, long_request(300_000));
        let _placed = fleet.place(&less_urgent).unwrap();
        let large = Demand {
            request: 9,
            ..of(0, with_priority(priority, long_request(300_000)))
        };
        fleet.place(&large).unwrap_err()
    });
    insta::assert_debug_snapshot!(outcomes);
}
