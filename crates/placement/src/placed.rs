//! The guard of one placed request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use mangofront_settings::ids::InstanceId;

use crate::demand::{Estimate, GroupMember};
use crate::engine::Engine;

/// A request's place on an engine; dropping it takes it out of the view.
#[derive(Debug)]
pub struct Placed {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Engine's HTTP address.
    pub address: SocketAddr,
    /// Priority to send, 0 most urgent.
    pub priority: u8,
    /// Prediction at the time of the choice.
    pub estimate: Estimate,
    /// Members that share the prompt when one engine's memory is too small.
    pub group: Option<Vec<GroupMember>>,
    pub(crate) engine: Rc<RefCell<Engine>>,
}

impl Placed {
    /// Notes that the first token has come.
    pub fn first_token(&mut self) {}

    /// Notes how many tokens of the answer have come so far.
    pub fn tokens(&mut self, _generated_tokens: u32) {}
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut engine = self.engine.borrow_mut();
        engine.outstanding = engine.outstanding.saturating_sub(1);
    }
}
