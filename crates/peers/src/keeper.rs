//! The task that watches the clock and keeps the links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::{JoinHandle, spawn};
use mangofront_settings::ids::InstanceId;
use rand::seq::IteratorRandom;

use crate::link;
use crate::member::MemberState;
use crate::state::{Shared, State};
use crate::topology::{self, Candidate};

/// Daemons tried at once while none has ever answered.
const JOIN_CONTACTS: usize = 3;

/// Periods between two tries of a dead daemon, once joined.
const CONTACT_EVERY_PERIODS: u32 = 4;

/// A neighbour's task; dropping it ends the link.
struct Link {
    address: SocketAddr,
    _task: JoinHandle<()>,
}

/// Keeps everything going until the task is dropped.
pub(crate) async fn run(shared: Rc<Shared>) {
    let slice = link::slice(shared.options.heartbeat_period);
    let mut links = BTreeMap::new();
    let mut contacts = Vec::new();
    let mut seen = 0;
    let mut slices = 0;
    loop {
        let now = Instant::now();
        if shared.state.borrow_mut().tick(now) {
            log::warn!("peers: the process was paused, its view counts as stale");
        }
        let beat = slices % link::SLICES == 0;
        if beat {
            age(&shared, now);
            contacts.retain(|task: &JoinHandle<()>| !task.is_finished());
            contacts.extend(contact_lost(&shared, slices, now));
            shared.report_changes();
        }
        let changed = shared.state.borrow().table.last_change();
        if beat || changed != seen {
            seen = changed;
            keep_links(&shared, &mut links, now);
        }
        slices = slices.wrapping_add(1);
        compio::time::sleep(slice).await;
    }
}

/// What time alone changes.
fn age(shared: &Shared, now: Instant) {
    let options = &shared.options;
    let mut state = shared.state.borrow_mut();
    state.pulses.beat(now);
    // After a pause only fresh news may condemn; before it the time was not ours.
    if !state.freshness.is_stale(now) {
        state
            .table
            .age(options.dead_after, options.tombstone_after, now);
    }
    let State {
        table,
        publications,
        ..
    } = &mut *state;
    publications.retain(|origin| table.get(origin).is_some());
    shared.call_links.borrow_mut().close_idle(now);
}

/// Starts and ends links so that they are those of the present view.
fn keep_links(shared: &Rc<Shared>, links: &mut BTreeMap<InstanceId, Link>, now: Instant) {
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
            state.end_contact(instance);
        }
        keep
    });
    for (instance, address) in wanted {
        if links.contains_key(&instance) {
            continue;
        }
        state.begin_contact(&instance, now);
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

/// Members that are heard of and not dead.
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

/// Tries a few daemons that are listed or known and don't answer.
///
/// This is how a newcomer finds the others and how two sides of a cut find each
/// other again. Each daemon tries only one at a time, drawn at random, so that
/// the healing of a cut brings no storm.
fn contact_lost(shared: &Rc<Shared>, slices: u32, now: Instant) -> Vec<JoinHandle<()>> {
    let state = shared.state.borrow();
    let joined = state.freshness.joined();
    let turn = rand::random_ratio(1, CONTACT_EVERY_PERIODS);
    if joined && !turn && slices > 0 {
        return Vec::new();
    }
    let lost = state.members(now).into_iter().filter(|member| {
        let unheard = member.incarnation == 0;
        member.instance != shared.options.instance && (unheard || member.state == MemberState::Dead)
    });
    let count = if joined { 1 } else { JOIN_CONTACTS };
    lost.sample(&mut rand::rng(), count)
        .into_iter()
        .map(|member| {
            let shared = Rc::clone(shared);
            spawn(link::try_contact(shared, member.instance, member.address))
        })
        .collect()
}
