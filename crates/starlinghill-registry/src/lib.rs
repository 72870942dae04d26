//! Workshop: the tool rack shows which tools are in their place. Here it is the registry: it hears the beats of backends and
//! the questions of gateways, tells each gateway what is new, keeps the tenants' count while that is its duty, and takes
//! all calls from outside, also those for the store of configuration beside it.

pub mod http;
pub mod members;
pub mod peers;
pub mod program;
pub mod router;
pub mod state;
pub mod wire;
