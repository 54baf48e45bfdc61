//! Links to other daemons, and who answers what on them.

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

/// The parts that answer calls of other daemons.
///
/// `once` needs the links and the links need `once`, so it is put in after
/// both were made; a call that comes before gets an empty answer.
#[derive(Debug, Default)]
pub(crate) struct Responders {
    once: std::cell::OnceCell<Once>,
}

impl Responders {
    /// Puts in what answers calls about orders.
    pub(crate) fn set_once(&self, once: Once) {
        // Set once at start; a second value could only be the same part.
        let _ = self.once.set(once);
    }
}

/// Starts the links.
///
/// # Errors
/// [`DaemonError::Peers`] when the address can't be had.
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

/// Settings of the links.
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
            Service::Platform => relay::answer(&platform, &request),
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
    let before = change.previous;
    let instance = change.member.instance;
    let incarnation = change.member.incarnation;
    let same_life = before.is_some_and(|(previous, _)| previous == incarnation);
    match change.member.state {
        MemberState::Alive if same_life => AuditEvent::MemberRefuted {
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

/// Passes an accepted instance list on to the links and to the voters' view.
pub(crate) fn pass_on_list(region: &str, accepted: &AcceptedInstances, peers: &Peers, once: &Once) {
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
    let stays = instance.state == InstanceState::Live && instance.region == region;
    stays.then(|| ListedInstance {
        instance: instance.instance.clone(),
        availability_zone: instance.availability_zone.clone(),
    })
}

/// Calls of `once` carried by the links.
#[derive(Debug)]
pub(crate) struct PeerExchange(pub(crate) Peers);

impl Transport for PeerExchange {
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
            answered.map_err(|error| exchange_error(to, &error))
        }
        .boxed_local()
    }
}

fn exchange_error(peer: InstanceId, error: &CallError) -> TransportError {
    TransportError {
        step: "call",
        peer,
        reason: error.to_string(),
    }
}
