//! Agreement of the daemons on trials of quarantined suspects.
//!
//! A trial may crash its upstream, so there is one in the whole fleet at a time. Each suspect has
//! a coordinator, the first of the live daemons by rendezvous hashing, which allows one trial after
//! the other. Daemons that are partitioned from each other may have a coordinator each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use mangofront_dissemination::Origin;
use mangofront_engines::Upstreams;
use mangofront_peers::{Member, Peers};
use mangofront_quarantine::Suspect;
use mangofront_settings::ids::InstanceId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::datagram::{Message, Nonce};
use crate::peer_messages::PeerMessageSender;

/// Time for the coordinator to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a coordinator that did not reply is not asked again.
const NO_REPLY_PAUSE: Duration = Duration::from_millis(100);

/// Suspects in one question.
const MAX_SUSPECTS: usize = 32;

/// A message about trials. Any may be lost, late or doubled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TrialMessage {
    /// The sender wants to try a request with all of these suspects.
    Ask {
        /// Identifies the question.
        nonce: Nonce,
        /// What keeps the request from upstreams.
        suspects: Vec<Suspect>,
    },
    /// The sender's trial of these suspects has ended or did not begin.
    End {
        /// The suspects.
        suspects: Vec<Suspect>,
    },
    /// Reply to [`Self::Ask`].
    Decided {
        /// The question.
        nonce: Nonce,
        /// Time until a trial may begin, in milliseconds; `None` if the sender may begin it.
        remaining_ms: Option<u32>,
    },
}

/// Dependencies of [`Trials`].
#[derive(Debug)]
pub struct TrialsParts {
    /// Name of this daemon.
    pub instance: InstanceId,
    /// Membership of the other daemons.
    pub peers: Peers,
    /// What crashes upstreams.
    pub upstreams: Upstreams,
    /// Messages to other daemons.
    pub messages: PeerMessageSender,
}

/// Trials of this daemon, and those that it coordinates; clones share their state.
#[derive(Debug, Clone)]
pub struct Trials(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    parts: TrialsParts,
    next_nonce: Cell<Nonce>,
    questions: RefCell<HashMap<Nonce, oneshot::Sender<Option<Duration>>>>,
}

/// A trial of this daemon; ends when dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    trials: Trials,
    /// Address of the coordinator; `None` if it is this daemon.
    coordinator: Option<IpAddr>,
    suspects: Vec<Suspect>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let parts = &self.trials.0.parts;
        let suspects = std::mem::take(&mut self.suspects);
        match self.coordinator {
            None => parts.upstreams.end_trial(&suspects),
            Some(coordinator) => {
                let message = Message::Trial(TrialMessage::End { suspects });
                parts.messages.send(vec![coordinator], message);
            }
        }
    }
}

impl Trials {
    /// Creates a coordinator without trials.
    #[must_use]
    pub fn new(parts: TrialsParts) -> Self {
        let nonce = xxh3_64(parts.instance.as_bytes()) ^ parts.peers.incarnation();
        Self(Rc::new(Shared {
            parts,
            next_nonce: Cell::new(nonce),
            questions: RefCell::default(),
        }))
    }

    /// Begins the trial of a request with these suspects, if the coordinator allows it.
    pub(crate) async fn begin(&self, suspects: &[Suspect]) -> Option<Trial> {
        let suspects = &suspects[..suspects.len().min(MAX_SUSPECTS)];
        let upstreams = &self.0.parts.upstreams;
        let coordinator = self.coordinator(suspects);
        let trial = || Trial {
            trials: self.clone(),
            coordinator,
            suspects: suspects.to_vec(),
        };
        let Some(address) = coordinator else {
            return upstreams.begin_trial(suspects).ok().map(|()| trial());
        };
        // Keeps further requests of this daemon from asking meanwhile.
        upstreams.block_trials(suspects, REPLY_TIMEOUT);
        match self.ask(address, suspects).await {
            Some(None) => Some(trial()),
            Some(Some(remaining)) => {
                upstreams.block_trials(suspects, remaining);
                None
            }
            None => {
                upstreams.block_trials(suspects, NO_REPLY_PAUSE);
                // The coordinator may have allowed it, and only the reply was lost.
                drop(trial());
                None
            }
        }
    }

    /// Asks the coordinator at `to`; `None` if it does not reply.
    async fn ask(&self, to: IpAddr, suspects: &[Suspect]) -> Option<Option<Duration>> {
        let nonce = self.0.next_nonce.get();
        self.0.next_nonce.set(nonce.wrapping_add(1));
        let (sender, reply) = oneshot::channel();
        self.0.questions.borrow_mut().insert(nonce, sender);
        let suspects = suspects.to_vec();
        let message = TrialMessage::Ask { nonce, suspects };
        self.0
            .parts
            .messages
            .send(vec![to], Message::Trial(message));
        let reply = compio::time::timeout(REPLY_TIMEOUT, reply).await;
        self.0.questions.borrow_mut().remove(&nonce);
        reply.ok()?.ok()
    }

    /// Handles a message of another daemon.
    pub(crate) fn handle(&self, sender: &Origin, message: TrialMessage) {
        match message {
            TrialMessage::Ask { nonce, suspects } => {
                let begun = self.0.parts.upstreams.begin_trial(&suspects);
                let remaining_ms = begun.err().map(|remaining| {
                    // Rounded up, so that the sender does not ask too early.
                    u32::try_from(remaining.as_millis() + 1).unwrap_or(u32::MAX)
                });
                let message = TrialMessage::Decided {
                    nonce,
                    remaining_ms,
                };
                let messages = &self.0.parts.messages;
                messages.send(vec![sender.address], Message::Trial(message));
            }
            TrialMessage::End { suspects } => self.0.parts.upstreams.end_trial(&suspects),
            TrialMessage::Decided {
                nonce,
                remaining_ms,
            } => {
                if let Some(question) = self.0.questions.borrow_mut().remove(&nonce) {
                    let remaining = remaining_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                    // The request may have ended meanwhile.
                    let _ = question.send(remaining);
                }
            }
        }
    }

    /// Address of the coordinator of these suspects; `None` if it is this daemon.
    fn coordinator(&self, suspects: &[Suspect]) -> Option<IpAddr> {
        let parts = &self.0.parts;
        // All questions about a suspect should go to one daemon, also if they name others.
        let seed = suspects.iter().max().map_or(0, hash);
        let rank = |instance: &str| xxh3_64_with_seed(instance.as_bytes(), seed);
        let members = parts.peers.members();
        let others = members
            .iter()
            .filter(|member| member.state.is_responsive() && member.instance != parts.instance);
        let first = others.max_by_key(|member: &&Member| rank(&member.instance))?;
        let is_other_first = rank(&first.instance) > rank(&parts.instance);
        is_other_first.then(|| first.address.ip())
    }
}

/// Hash of a suspect, the same at all daemons.
fn hash(suspect: &Suspect) -> u64 {
    match suspect {
        Suspect::Request(fingerprint) => xxh3_64(&fingerprint.to_le_bytes()),
        Suspect::PromptPart { service, part } => {
            xxh3_64_with_seed(&part.to_le_bytes(), u64::from(*service))
        }
    }
}
