//! What all tasks of a VM share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use sedgepath_adapter::settings::Settings;
use sedgepath_core::direct::Steering;

use super::pool::Pool;

/// What all tasks of a VM share.
#[derive(Debug)]
pub struct Shell {
    /// The settings of the process.
    pub settings: Settings,
    /// The decisions. Borrowed for a moment at a time, never across a wait.
    pub steering: RefCell<Steering>,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The requests that have not been answered.
    pub requests: Cell<usize>,
    /// Callers' open connections.
    pub connections: Cell<usize>,
    /// Tells connections that the VM is about to stop.
    pub stop: tokio::sync::watch::Sender<StopPhase>,
}

/// How far a planned stop has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// None has begun.
    Serving,
    /// Requests are served; each connection ends with its next answer.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

impl Shell {
    /// Creates the shared state.
    pub fn new(settings: Settings, steering: Steering) -> Rc<Self> {
        Rc::new(Self {
            settings,
            steering: RefCell::new(steering),
            pool: Pool::default(),
            requests: Cell::new(0),
            connections: Cell::new(0),
            stop: tokio::sync::watch::Sender::new(StopPhase::Serving),
        })
    }
}
