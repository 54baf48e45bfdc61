//! Links to other daemons and the components that answer calls on them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use mangofront_audit::{AuditEvent, AuditLog};
use mangofront_configuration::{AcceptedInstances, Platform};
use mangofront_once::{ListedInstance, Once, Transport, TransportError, VoterView};
use mangofront_peers::{
    CallError, ListedPeer, MemberChange, MemberState, Peers, PeersOptions, PeersOptionsBuilder,
    Responder, Service,
};
use mangofront_settings::ids::InstanceId;
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_settings::process::DaemonSettings;

use crate::error::DaemonError;
use crate::relay;

/// Components that answer calls of other daemons.
///
/// `once` needs the links and the links need `once`, so it is set after both have
/// been created; a call that arrives before then gets an empty answer.
#[derive(Debug, Default)]
pub(crate) struct Responders {
    once: std::cell::OnceCell<Once>,
}

impl Responders {
    /// Sets the component that answers calls about orders.
    pub(crate) fn set_once(&self, once: Once) {
        // Set once at start; a second value could only be the same component.
        let _ = self.once.set(once);
    }
}

/// Starts the links to other daemons.
///
/// # Errors
/// [`DaemonError::Peers`] if the address can't be bound.
pub(crate) fn start(
    settings: &DaemonSettings,
    audit: &AuditLog,
    platform: &Platform,
    responders: &Rc<Responders>,
) -> Result<Peers, DaemonError> {
    let options = options(settings).build();
    let audit = audit.clone();
    let on_change = Rc::new(move |change: MemberChange| {
        audit.record(audit_event(change));
    });
    let peers = Peers::start(options, on_change, responder(platform, responders))?;
    Ok(peers)
}

/// Options of the links, as far as both kinds of daemon share them.
pub(crate) fn options(settings: &DaemonSettings) -> PeersOptionsBuilder {
    PeersOptions::builder(
        settings.instance.clone(),
        settings.region.clone(),
        settings.availability_zone.clone(),
        settings.peer_address,
    )
    .heartbeat_period(settings.peers.heartbeat())
    .suspect_after(settings.peers.suspect_after())
}

fn responder(platform: &Platform, responders: &Rc<Responders>) -> Responder {
    let platform = platform.clone();
    let responders = Rc::clone(responders);
    Rc::new(move |from, service, request| {
        let answer = match service {
            Service::Platform => relay::handle_fetch(&platform, &request),
            Service::Once => match responders.once.get() {
                Some(once) => once.handle(&from, &request),
                None => Bytes::new(),
            },
            Service::Placement => Bytes::new(),
        };
        async move { answer }.boxed_local()
    })
}

fn audit_event(change: MemberChange) -> AuditEvent {
    let previous = change.previous;
    let instance = change.member.instance;
    let incarnation = change.member.incarnation;
    let same_incarnation = previous.is_some_and(|(previous, _)| previous == incarnation);
    match change.member.state {
        MemberState::Alive if same_incarnation => AuditEvent::MemberRefuted {
            instance,
            incarnation,
        },
        MemberState::Alive => AuditEvent::MemberJoined {
            instance,
            incarnation,
        },
        MemberState::Suspect => AuditEvent::MemberSuspected {
            instance,
            incarnation,
        },
        MemberState::Dead | MemberState::Leaving => AuditEvent::MemberLeft {
            instance,
            incarnation,
        },
    }
}

/// Updates the links and the voters of `once` with an accepted instance list.
pub(crate) fn apply_instances(
    region: &str,
    accepted: &AcceptedInstances,
    peers: &Peers,
    once: &Once,
) {
    let instances = &accepted.list.instances;
    let listed: Vec<ListedPeer> = instances.iter().filter_map(listed_peer).collect();
    peers.set_listed(&listed);
    let voters = instances
        .iter()
        .filter_map(|instance| voter(region, instance));
    once.set_view(&VoterView {
        list_revision: accepted.revision,
        listed: voters.collect(),
    });
}

fn listed_peer(instance: &Instance) -> Option<ListedPeer> {
    let InstanceRole::Entry { peer_address, .. } = &instance.role else {
        return None;
    };
    Some(ListedPeer {
        instance: instance.instance.clone(),
        region: instance.region.clone(),
        availability_zone: instance.availability_zone.clone(),
        address: *peer_address,
        leaving: instance.state == InstanceState::Leaving,
    })
}

fn voter(region: &str, instance: &Instance) -> Option<ListedInstance> {
    let InstanceRole::Entry { .. } = &instance.role else {
        return None;
    };
    let can_vote = instance.state == InstanceState::Live && instance.region == region;
    can_vote.then(|| ListedInstance {
        instance: instance.instance.clone(),
        availability_zone: instance.availability_zone.clone(),
    })
}

/// Transport of `once` over the links to other daemons.
#[derive(Debug)]
pub(crate) struct PeerTransport(pub(crate) Peers);

impl Transport for PeerTransport {
    fn call(
        &self,
        to: &InstanceId,
        request: Bytes,
        timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>> {
        let peers = self.0.clone();
        let to = to.clone();
        async move {
            let answered = peers.call(&to, Service::Once, request, timeout).await;
            answered.map_err(|error| transport_error(to, &error))
        }
        .boxed_local()
    }
}

fn transport_error(peer: InstanceId, error: &CallError) -> TransportError {
    TransportError {
        step: "call",
        peer,
        reason: error.to_string(),
    }
}
