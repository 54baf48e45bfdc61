//! Long prompts that one engine would hold, spread over several.

mod support;

use mangofront_placement::Policy;
use support::{daemon, fleet};

#[test]
fn a_long_prompt_is_spread_and_starts_sooner() {
    let fleet = fleet(8);
    let explained = fleet.placement.explain(&fleet.patient(240_000));
    let one = fleet.placement.estimate(&fleet.patient(60_000)).unwrap();
    let placed = fleet.placement.place(&fleet.patient(240_000), &[]).unwrap();
    let group = placed.group.as_ref().unwrap();
    assert_eq!(group.len(), 8);
    let tokens: u64 = group.iter().map(|member| member.tokens).sum();
    assert_eq!(tokens, 240_064);
    assert!(placed.estimate.time_to_first_token < one.time_to_first_token);
    // The decision is told with its members and the time that spoke for it.
    assert_eq!(explained.group, placed.group);
    assert_eq!(explained.estimate, Some(placed.estimate));
    let alone = explained.considered.iter().map(|engine| engine.estimate);
    let alone = alone.min_by_key(|estimate| estimate.time_to_first_token);
    assert!(alone.unwrap().time_to_first_token > placed.estimate.time_to_first_token);
    // Members are asked from the long end, for all daemons alike.
    let members: Vec<_> = group.iter().map(|member| &member.instance).collect();
    assert!(members.into_iter().eq(fleet.order().iter().rev()));
}

#[test]
fn what_is_short_is_not_spread() {
    let fleet = fleet(8);
    let placed = fleet.placement.place(&fleet.patient(60_000), &[]).unwrap();
    assert!(placed.group.is_none());
}

#[test]
fn busy_engines_are_not_members() {
    let fleet = fleet(6);
    let order = fleet.order();
    let busy: Vec<_> = order[2..].to_vec();
    for instance in &busy {
        let mut report = support::report(2);
        report.running = 1;
        report.waiting = 1;
        report.waiting_prefill_tokens = 300_000;
        report.kv_used_tokens = 300_000;
        fleet.placement.report(instance, report);
    }
    let placed = fleet.placement.place(&fleet.patient(200_000), &[]).unwrap();
    let group = placed.group.as_ref().unwrap();
    let members: Vec<_> = group.iter().map(|member| member.instance.clone()).collect();
    assert_eq!(members, [order[1].clone(), order[0].clone()]);
}

#[test]
fn experiments_with_other_policies_do_not_spread() {
    let clock = mangofront_placement::Clock::manual(std::time::Instant::now());
    let fleet = daemon("entry-1", 8, clock, Policy::LeastOutstanding);
    let placed = fleet.placement.place(&fleet.patient(240_000), &[]).unwrap();
    assert!(placed.group.is_none());
}
