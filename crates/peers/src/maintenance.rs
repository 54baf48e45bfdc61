//! The task that applies timeouts and opens and closes links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::{JoinHandle, spawn};
use mangofront_settings::ids::InstanceId;
use rand::seq::IteratorRandom;

use crate::link;
use crate::member::{Member, MemberState};
use crate::state::{Shared, State};
use crate::topology::{self, Candidate};

/// Daemons contacted at once until one has answered.
const JOIN_CONTACTS: usize = 3;

/// Average number of periods between two attempts to contact a dead daemon, after joining.
const CONTACT_EVERY_PERIODS: u32 = 4;

/// Periods in which one of the daemons that have come into the list is contacted each time.
const NEWLY_LISTED_PERIODS: u32 = 10;

/// A neighbour's task; dropping it closes the link.
struct Link {
    address: SocketAddr,
    _task: JoinHandle<()>,
}

/// Runs maintenance until the task is dropped.
pub(crate) async fn run(shared: Rc<Shared>) {
    let check_interval = link::check_interval(shared.options.heartbeat_period);
    let mut links = BTreeMap::new();
    let mut contacts = Vec::new();
    let mut seen_change = 0;
    let mut checks = 0;
    loop {
        let now = Instant::now();
        if shared.state.borrow_mut().tick(now) {
            log::warn!("peers: the process was paused, its view counts as stale");
        }
        let is_period_start = checks % link::CHECKS_PER_PERIOD == 0;
        if is_period_start {
            apply_timeouts(&shared, now);
            contacts.retain(|task: &JoinHandle<()>| !task.is_finished());
            contacts.extend(contact_unreachable(&shared, checks, now));
            shared.report_changes();
        }
        let last_change = shared.state.borrow().table.last_change();
        if is_period_start || last_change != seen_change {
            seen_change = last_change;
            update_links(&shared, &mut links, now);
        }
        checks = checks.wrapping_add(1);
        compio::time::sleep(check_interval).await;
    }
}

/// Applies the changes that are due to time alone.
fn apply_timeouts(shared: &Shared, now: Instant) {
    let options = &shared.options;
    let mut state = shared.state.borrow_mut();
    state.zone_heartbeats.increment_own(now);
    // After a pause members may be declared dead only on current information, as this
    // process could not receive their answers during it.
    if !state.freshness.is_stale(now) {
        state
            .table
            .apply_timeouts(options.dead_after, options.tombstone_after, now);
    }
    let State {
        table,
        publications,
        ..
    } = &mut *state;
    publications.retain(|origin| table.get(origin).is_some());
    shared.call_connections.borrow_mut().close_idle(now);
}

/// Opens and closes links so that they match the neighbours of the current view.
fn update_links(shared: &Rc<Shared>, links: &mut BTreeMap<InstanceId, Link>, now: Instant) {
    let others = candidates(&shared.state.borrow(), shared, now);
    let known = others.len();
    let wanted = topology::neighbours(&shared.options, others);
    let full_mesh = wanted.len() == known;
    let wanted: BTreeMap<InstanceId, SocketAddr> = wanted
        .into_iter()
        .map(|candidate| (candidate.instance, candidate.address))
        .collect();
    let mut state = shared.state.borrow_mut();
    state.full_mesh = full_mesh;
    links.retain(|instance, link| {
        let keep = wanted.get(instance) == Some(&link.address);
        if !keep {
            state.untrack_neighbour(instance);
        }
        keep
    });
    for (instance, address) in wanted {
        if links.contains_key(&instance) {
            continue;
        }
        state.track_neighbour(&instance, now);
        let task = spawn(link::run(Rc::clone(shared), instance.clone(), address));
        links.insert(
            instance,
            Link {
                address,
                _task: task,
            },
        );
    }
}

/// Other members that have a record and aren't dead.
fn candidates(state: &State, shared: &Shared, now: Instant) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (instance, entry) in state.table.iter() {
        let (Some(record), Some(address)) = (&entry.record, entry.address()) else {
            continue;
        };
        if *instance == shared.options.instance || state.state_of(entry, now) == MemberState::Dead {
            continue;
        }
        candidates.push(Candidate {
            instance: instance.clone(),
            region: record.region.clone(),
            availability_zone: record.availability_zone.clone(),
            address,
            avoid: entry.avoid_until.is_some_and(|until| now < until),
        });
    }
    candidates
}

/// Contacts a few daemons that are listed or known and don't answer.
///
/// A new daemon finds the others this way, and the two sides of a network partition find
/// each other again. Each daemon contacts only one at a time, chosen at random, so that
/// the end of a partition causes no burst of messages. One that has just come into the list
/// probably runs, so one of those is contacted besides.
fn contact_unreachable(shared: &Rc<Shared>, checks: u32, now: Instant) -> Vec<JoinHandle<()>> {
    let state = shared.state.borrow();
    let has_joined = state.freshness.has_joined();
    let is_chosen = rand::random_ratio(1, CONTACT_EVERY_PERIODS);
    let has_turn = !has_joined || is_chosen || checks == 0;
    let members = state.members(now);
    let unreachable = members.iter().filter(|member| {
        member.instance != shared.options.instance
            && (never_answered(member) || member.state == MemberState::Dead)
    });
    let unreachable: Vec<&Member> = unreachable.collect();
    let new = unreachable
        .iter()
        .filter(|member| is_newly_listed(&state, shared, member, now));
    let count = match (has_joined, has_turn) {
        (false, _) => JOIN_CONTACTS,
        (true, true) => 1,
        (true, false) => 0,
    };
    let mut rng = rand::rng();
    let mut chosen = unreachable.iter().sample(&mut rng, count);
    if let Some(member) = new.choose(&mut rng).filter(|_| has_joined) {
        chosen.retain(|other| other.instance != member.instance);
        chosen.push(member);
    }
    let contacts = chosen.into_iter().map(|member| {
        let (instance, address) = (member.instance.clone(), member.address);
        spawn(link::try_contact(Rc::clone(shared), instance, address))
    });
    contacts.collect()
}

/// Whether a member that has never answered has come into the list a moment ago.
fn is_newly_listed(state: &State, shared: &Shared, member: &Member, now: Instant) -> bool {
    let listed_at = state.table.get(&member.instance);
    let listed_at = listed_at.and_then(|entry| entry.listed_at);
    let new_for = shared.options.heartbeat_period * NEWLY_LISTED_PERIODS;
    never_answered(member)
        && listed_at.is_some_and(|at| now.saturating_duration_since(at) < new_for)
}

fn never_answered(member: &Member) -> bool {
    member.incarnation == 0
}
