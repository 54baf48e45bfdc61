//! Upstreams in evacuated zones, or outside the regions in which a request may run.

use std::collections::{BTreeSet, HashMap};

use mangofront_engines::{Demand, Eligibility, NoUpstream, UpstreamKey, key_of};
use mangofront_routes::AllowedRegions;

use crate::support::{Fleet, SERVICE, long_request, short_request, upstream};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Four engines in each zone; the first two zones are in the north, the third in the south.
fn fleet() -> Fleet {
    let listed = (0..12).map(|number| upstream(number, SERVICE, ZONES[number % ZONES.len()]));
    let fleet = Fleet::of(listed.collect());
    let regions = [
        ("hall-a", "north"),
        ("hall-b", "north"),
        ("hall-c", "south"),
    ];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    fleet.upstreams.set_zone_regions(HashMap::from(regions));
    fleet
}

fn evacuate(fleet: &Fleet, zones: &[&str]) {
    let zones = zones.iter().map(|zone| (*zone).to_owned());
    fleet.upstreams.set_evacuated(zones.collect());
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(regions.iter().map(|region| (*region).to_owned()).collect())
}

fn within(demand: Demand, allowed_regions: AllowedRegions) -> Demand {
    Demand {
        allowed_regions,
        ..demand
    }
}

/// Zones in which requests and their helpers are placed, over many placements.
fn used_zones(fleet: &Fleet, demand: &Demand) -> Result<BTreeSet<String>, NoUpstream> {
    let mut zones = BTreeSet::new();
    let mut held = Vec::new();
    for _ in 0..20 {
        let placed = fleet.place(demand)?;
        let shares = placed.shares.iter();
        zones.extend(shares.map(|share| share.upstream.availability_zone.clone()));
        // Longer prompts would be held behind each other.
        if demand.prompt_tokens < 10_000 {
            held.push(placed);
        }
    }
    Ok(zones)
}

/// Guards against requests, or parts of them, in a zone that operators are working on.
#[test]
fn nothing_is_placed_in_an_evacuated_zone() {
    let demands = [short_request(), long_request(60_000)];
    let zones = demands.each_ref().map(|demand| {
        let fleet = fleet();
        evacuate(&fleet, &["hall-a"]);
        used_zones(&fleet, demand)
    });
    insta::assert_debug_snapshot!(zones);
    let fleet = fleet();
    evacuate(&fleet, &["hall-b", "hall-c"]);
    let open = fleet
        .upstreams
        .open_of_service(SERVICE, &AllowedRegions::Any);
    let calmest = fleet
        .upstreams
        .calmest(SERVICE, &AllowedRegions::Any, &[])
        .unwrap();
    let in_first: Vec<UpstreamKey> = fleet.listed.iter().step_by(3).map(key_of).collect();
    assert_eq!(open.len(), in_first.len());
    assert!(open.iter().all(|key| in_first.contains(key)));
    assert!(in_first.contains(&calmest));
}

/// Guards against callers who wait for upstreams that nobody may use.
#[test]
fn a_request_is_refused_at_once_if_nothing_else_is_left() {
    let fleet = fleet();
    evacuate(&fleet, &ZONES);
    let everywhere = fleet.place(&short_request()).map(|_| ());
    evacuate(&fleet, &["hall-c"]);
    let south = fleet.place(&within(short_request(), only(&["south"])));
    let nowhere = fleet.place(&within(short_request(), only(&["west"])));
    evacuate(&fleet, &[]);
    let again = fleet.place(&within(short_request(), only(&["south"])));
    insta::assert_debug_snapshot!([
        everywhere,
        south.map(|_| ()),
        nowhere.map(|_| ()),
        again.map(|_| ())
    ]);
}

/// Guards against prompts that leave the regions of their route or organisation, also as parts.
#[test]
fn nothing_is_placed_outside_the_allowed_regions() {
    let zones_of = |prompt_tokens, allowed: AllowedRegions| {
        let demand = match prompt_tokens {
            0 => short_request(),
            tokens => long_request(tokens),
        };
        used_zones(&fleet(), &within(demand, allowed))
    };
    insta::assert_debug_snapshot!([
        zones_of(0, only(&["north"])),
        zones_of(60_000, only(&["north"])),
        zones_of(60_000, only(&["south"])),
        zones_of(0, only(&["north"]).intersection(&only(&["south"]))),
    ]);
}

/// Guards against a zone without a known region that counts as allowed.
#[test]
fn a_zone_without_a_known_region_is_in_no_listed_one() {
    let fleet = fleet();
    fleet.upstreams.set_zone_regions(HashMap::new());
    let key = key_of(&fleet.listed[0]);
    let eligibility = |allowed| fleet.upstreams.eligibility(key, &allowed);
    assert_eq!(eligibility(AllowedRegions::Any), Eligibility::Eligible);
    assert_eq!(eligibility(only(&["north"])), Eligibility::OutsideRegions);
    assert_eq!(
        fleet.upstreams.eligibility(0, &AllowedRegions::Any),
        Eligibility::Unknown
    );
}

/// Guards against bodies that pass through a daemon in a region that is neither allowed nor ours.
#[test]
fn bodies_pass_through_allowed_regions_and_the_own_one() {
    let fleet = fleet();
    let passes = |zone, allowed| fleet.upstreams.may_pass_through(zone, &allowed);
    assert!(passes("hall-b", only(&["south"])), "the own region");
    assert!(passes("hall-c", only(&["south"])));
    assert!(!passes("hall-c", only(&["north"])));
    assert!(!passes("hall-x", only(&["north"])), "no region is known");
    assert!(passes("hall-x", AllowedRegions::Any));
    fleet.upstreams.set_zone_regions(HashMap::new());
    assert!(passes("hall-a", only(&["north"])), "the own zone");
    assert!(!passes("hall-b", only(&["north"])), "of unknown regions");
}
